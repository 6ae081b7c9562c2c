//! Help texts, rendered from the tables of subcommands and options.

use crate::subcommands::GLOBAL_OPTIONS;
use crate::subcommands::OPTIONS;
use crate::subcommands::SUBCOMMANDS;
use crate::subcommands::SubcommandSpec;
use crate::subcommands::Takes;

/// Returns the help of the program.
pub fn overview() -> String {
    let mut text = String::from(
        "Usage: guavaladder [OPTIONS] SUBCOMMAND\n\nOperates a guavaladder fleet through any of its \
         nodes.\n\nSubcommands:\n",
    );
    for spec in SUBCOMMANDS {
        let usage = format!("{} {}", spec.words, spec.argument.unwrap_or_default());
        text.push_str(&format!("    {usage:<24} {}\n", spec.text));
    }
    text.push_str("    help SUBCOMMAND          prints the options of a subcommand\n\nOptions:\n");
    push_options(&mut text, &["endpoint", "token-file", "json", "version", "help"]);
    text.push_str(
        "\nExit status: 0 done; 1 failed, nothing was changed or it is not known; 2 wrong arguments; \
         3 configuration refused;\n4 conflict with another change; 5 accepted but not in force on \
         every node within the wait; 6 token refused.",
    );
    text
}

/// Returns the help of a subcommand.
pub fn subcommand(spec: &SubcommandSpec) -> String {
    let argument = spec.argument.unwrap_or_default();
    let mut text = format!("Usage: guavaladder {} {argument}", spec.words).trim_end().to_string();
    text.push_str(&format!(" [OPTIONS]\n\nIt {}.\n\nOptions:\n", spec.text));
    push_options(&mut text, spec.options);
    push_options(&mut text, &GLOBAL_OPTIONS);
    text.trim_end().to_string()
}

fn push_options(text: &mut String, names: &[&str]) {
    for option in OPTIONS.iter().filter(|option| names.contains(&option.name)) {
        let usage = match option.takes {
            Takes::Nothing => format!("--{}", option.name),
            Takes::One(value) | Takes::Many(value) => format!("--{} {value}", option.name),
        };
        text.push_str(&format!("    {usage:<24} {}\n", option.text));
    }
}
