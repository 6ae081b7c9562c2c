//! `log explain`: the account of a request from the logs of several nodes.

use crate::args::Invocation;
use crate::error::CliError;
use crate::output;
use guavaladder_lib::log_explain;
use std::fs;
use std::path::Path;

/// Prints the account of a request.
pub fn explain(invocation: &Invocation) -> Result<(), CliError> {
    let files = invocation.values("log");
    if files.is_empty() {
        return Err(CliError::Usage {
            message: "no log was named".to_string(),
            hint: "use --log FILE, once for each node".to_string(),
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
    let account = log_explain::explain(&request, &lines);
    if account.lines.is_empty() {
        return Err(CliError::Usage {
            message: format!("no line of {} logs names request {request:?}", files.len()),
            hint: "ordinary answers are thinned out; name the logs of all nodes".to_string(),
        });
    }
    if invocation.has("json") {
        return output::print_json(&account);
    }
    for line in &account.lines {
        output::print(&line.text())?;
    }
    if account.sources.len() > 1 {
        let nodes = account.sources.join(", ");
        output::print(&format!("note: times are those of each node's own clock ({nodes})"))?;
    }
    Ok(())
}
