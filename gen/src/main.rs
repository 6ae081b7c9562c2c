//! Generates the Rust types and the catalogues of events and metrics, which are committed.
//!
//! `guavaladder-gen` writes the outputs that differ. `guavaladder-gen --check` only compares them
//! and exits with status 1 if any differs.

mod events;
mod metrics;
mod rust_types;

use anyhow::Context;
use anyhow::Result;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;

/// Path and expected text of a generated file.
struct Output {
    path: PathBuf,
    text: String,
}

fn main() -> ExitCode {
    match run() {
        Ok(0) => ExitCode::SUCCESS,
        Ok(n) => {
            eprintln!(
                "{n} generated files are out of date; hint: run `cargo run -p guavaladder-gen`"
            );
            ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<usize> {
    let mut opts = getopts::Options::new();
    opts.optflag("", "check", "compare the outputs instead of writing them");
    let matches = opts.parse(std::env::args().skip(1))?;
    let check = matches.opt_present("check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut differing = 0;
    for output in outputs(&root)? {
        let current = fs::read_to_string(&output.path).unwrap_or_default();
        if current == output.text {
            continue;
        }
        differing += 1;
        if check {
            eprintln!("differs: {}", output.path.display());
        } else {
            fs::write(&output.path, output.text)
                .with_context(|| format!("writing {}", output.path.display()))?;
        }
    }
    Ok(if check { differing } else { 0 })
}

/// Generates the expected text of all outputs without writing them.
fn outputs(root: &Path) -> Result<Vec<Output>> {
    let generated = root.join("lib/src/generated");
    let mut outputs = vec![];
    let mut names = vec![];
    for path in json_files(&root.join("schema"))? {
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let schema = read_json(&path)?;
        let text = rust_types::generate(&schema).with_context(|| format!("schema {name}"))?;
        outputs
            .push(Output { path: generated.join(format!("{name}.rs")), text: format_rust(&text)? });
        names.push(name);
    }
    let event_schemas = json_files(&root.join("schema/events"))?
        .iter()
        .map(|path| read_json(path))
        .collect::<Result<Vec<_>>>()?;
    let events = events::parse(&event_schemas)?;
    outputs.push(Output {
        path: generated.join("events.rs"),
        text: format_rust(&events::rust_source(&events))?,
    });
    outputs.push(Output { path: root.join("docs/events.md"), text: events::catalogue(&events) });
    let metric_names = root.join("lib/src/metric_names.rs");
    let source = fs::read_to_string(&metric_names)
        .with_context(|| format!("reading {}", metric_names.display()))?;
    outputs.push(Output { path: root.join("docs/metrics.md"), text: metrics::catalogue(&source)? });
    names.push("events".to_string());
    names.sort();
    outputs.push(Output { path: generated.join("mod.rs"), text: modules_source(&names) });
    Ok(outputs)
}

fn modules_source(names: &[String]) -> String {
    let mut text = String::from("//! Types generated from `schema/` by `guavaladder-gen`.\n\n");
    for name in names {
        text.push_str(&format!("pub mod {name};\n"));
    }
    text
}

fn json_files(dir: &Path) -> Result<Vec<PathBuf>> {
    let mut paths = vec![];
    for entry in fs::read_dir(dir).with_context(|| format!("listing {}", dir.display()))? {
        let path = entry?.path();
        if path.extension().is_some_and(|ext| ext == "json") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

fn read_json(path: &Path) -> Result<serde_json::Value> {
    let text = fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("parsing {}", path.display()))
}

/// Formats Rust source with the rustfmt settings of the workspace.
fn format_rust(text: &str) -> Result<String> {
    use std::io::Write;
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("../rustfmt.toml");
    let mut child = Command::new("rustfmt")
        .arg("--config-path")
        .arg(config)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .context("starting rustfmt")?;
    child.stdin.take().context("rustfmt has no standard input")?.write_all(text.as_bytes())?;
    let output = child.wait_with_output()?;
    anyhow::ensure!(output.status.success(), "rustfmt rejected the generated source:\n{text}");
    Ok(String::from_utf8(output.stdout)?)
}
