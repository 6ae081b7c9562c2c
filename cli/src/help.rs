//! Renders the help texts from the tables of subcommands and options.

use crate::subcommands::GLOBAL_OPTIONS;
use crate::subcommands::OPTIONS;
use crate::subcommands::OptionArity;
use crate::subcommands::SUBCOMMANDS;
use crate::subcommands::SubcommandSpec;

/// Returns the help text of the program.
pub fn overview() -> String {
    let mut text = String::from(
        "Usage: guavaladder [OPTIONS] SUBCOMMAND\n\nOperates a guavaladder fleet through any of its \
         nodes.\n\nSubcommands:\n",
    );
    for spec in SUBCOMMANDS {
        let usage = format!("{} {}", spec.name, spec.argument.unwrap_or_default());
        text.push_str(&format!("    {usage:<24} {}\n", spec.description));
    }
    text.push_str("    help SUBCOMMAND          prints the help of a subcommand\n\nOptions:\n");
    push_options(&mut text, &["endpoint", "token-file", "json", "version", "help"]);
    text.push_str(
        "\nExit status: 0 success; 1 failed, no change was made or the outcome is unknown; 2 wrong \
         arguments; 3 configuration rejected;\n4 conflict with another change; 5 accepted but not in force on \
         every node within the wait; 6 token rejected.",
    );
    text
}

/// Returns the help text of a subcommand.
pub fn subcommand(spec: &SubcommandSpec) -> String {
    let argument = spec.argument.unwrap_or_default();
    let mut text = format!("Usage: guavaladder {} {argument}", spec.name).trim_end().to_string();
    text.push_str(&format!(" [OPTIONS]\n\nIt {}.\n\nOptions:\n", spec.description));
    push_options(&mut text, spec.options);
    push_options(&mut text, &GLOBAL_OPTIONS);
    text.trim_end().to_string()
}

fn push_options(text: &mut String, names: &[&str]) {
    for option in OPTIONS.iter().filter(|option| names.contains(&option.name)) {
        let usage = match option.arity {
            OptionArity::Flag => format!("--{}", option.name),
            OptionArity::Single(value) | OptionArity::Repeated(value) => {
                format!("--{} {value}", option.name)
            }
        };
        text.push_str(&format!("    {usage:<24} {}\n", option.description));
    }
}
