//! The `log explain` subcommand, which builds the timeline of a request from the logs of several
//! nodes.

use crate::args::Invocation;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::log_explain;
use std::fs;
use std::path::Path;

/// Prints the timeline of a request.
pub fn explain(invocation: &Invocation) -> Result<(), CliError> {
    let files = invocation.values("log");
    if files.is_empty() {
        return Err(CliError::Usage {
            message: "no log file given".to_string(),
            hint: "give --log FILE once for each node".to_string(),
        });
    }
    let mut lines = vec![];
    for file in &files {
        let bytes =
            fs::read(file).map_err(|source| CliError::File { path: file.clone(), source })?;
        let text = String::from_utf8_lossy(&bytes);
        let source = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|line| log_explain::parse(line, &source)));
    }
    let request = invocation.argument.clone();
    let timeline = log_explain::explain(&request, &lines);
    if timeline.lines.is_empty() {
        return Err(CliError::Usage {
            message: format!("request {request:?} not found in {} log files", files.len()),
            hint: "events of successful requests are rate-limited and may be missing; give the \
                   logs of all nodes"
                .to_string(),
        });
    }
    if invocation.has("json") {
        return output::print_json(&timeline);
    }
    for line in &timeline.lines {
        output::print(&line.text())?;
    }
    if timeline.sources.len() > 1 {
        let nodes = timeline.sources.join(", ");
        output::print(&format!("note: each node's times come from its own clock ({nodes})"))?;
    }
    Ok(())
}
