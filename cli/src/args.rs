//! Parses the command line against the tables of subcommands and options.

use crate::help;
use crate::subcommands::GLOBAL_OPTIONS;
use crate::subcommands::OPTIONS;
use crate::subcommands::OptionArity;
use crate::subcommands::SUBCOMMANDS;
use crate::subcommands::Subcommand;
use crate::subcommands::SubcommandSpec;
use getopts::Matches;
use getopts::Options;
use guavaladder_lib::schema_check::is_similar;

/// Action that the command line selects.
#[derive(Debug)]
pub enum Command {
    /// Run a subcommand.
    Run(Box<Invocation>),
    /// Print a text, such as the help or the version, and exit.
    Print(String),
}

/// A subcommand with its argument and options.
#[derive(Debug)]
pub struct Invocation {
    /// The subcommand to run.
    pub subcommand: Subcommand,
    /// Its positional argument; empty if the subcommand takes none.
    pub argument: String,
    matches: Matches,
}

/// Errors in the command-line arguments.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is unknown, its value is missing, or it was given more often than allowed.
    #[error("{0}; hint: see `guavaladder help`")]
    Options(#[from] getopts::Fail),
    /// No such subcommand.
    #[error("unknown subcommand {words:?}; hint: {hint}")]
    UnknownSubcommand {
        /// First words of the command line.
        words: String,
        /// A similar subcommand, or a list of subcommands.
        hint: String,
    },
    /// The subcommand needs an argument.
    #[error("`{subcommand}` needs {argument}; hint: see `guavaladder help {subcommand}`")]
    MissingArgument {
        /// Name of the subcommand.
        subcommand: &'static str,
        /// Name of the missing argument.
        argument: &'static str,
    },
    /// There are too many arguments.
    #[error("unexpected argument {argument:?}; hint: see `guavaladder help {subcommand}`")]
    UnexpectedArgument {
        /// Name of the subcommand.
        subcommand: &'static str,
        /// The first surplus argument.
        argument: String,
    },
    /// The subcommand does not accept this option.
    #[error("`{subcommand}` takes no --{option}; hint: see `guavaladder help {subcommand}`")]
    OptionNotAccepted {
        /// Name of the subcommand.
        subcommand: &'static str,
        /// Name of the option.
        option: &'static str,
    },
    /// The value of an option can't be parsed.
    #[error("--{option}: found {found:?}; allowed: {allowed}; hint: correct the value")]
    Value {
        /// Name of the option.
        option: &'static str,
        /// The value as given.
        found: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// A required option is missing.
    #[error("--{option} is required; hint: {hint}")]
    Required {
        /// Name of the option.
        option: &'static str,
        /// Advice to the operator.
        hint: &'static str,
    },
}

impl Invocation {
    /// Returns the value of an option, if it was given.
    pub fn value(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    /// Returns all values of a repeatable option.
    pub fn values(&self, option: &str) -> Vec<String> {
        self.matches.opt_strs(option)
    }

    /// Returns whether an option was given.
    pub fn has(&self, option: &str) -> bool {
        self.matches.opt_present(option)
    }

    /// Returns an option's value as a whole number.
    pub fn number(&self, option: &'static str) -> Result<Option<u64>, ArgsError> {
        let allowed = "a whole number";
        self.parse_value(option, allowed)
    }

    /// Returns an option's value as a decimal number.
    pub fn decimal(&self, option: &'static str) -> Result<Option<f64>, ArgsError> {
        self.parse_value(option, "a decimal number")
    }

    fn parse_value<T: std::str::FromStr>(
        &self,
        option: &'static str,
        allowed: &'static str,
    ) -> Result<Option<T>, ArgsError> {
        let Some(found) = self.value(option) else { return Ok(None) };
        match found.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(ArgsError::Value { option, found, allowed }),
        }
    }
}

/// Parses the command-line arguments without the program name.
pub fn parse(args: impl Iterator<Item = String>) -> Result<Command, ArgsError> {
    let matches = all_options().parse(args)?;
    if matches.opt_present("version") {
        return Ok(Command::Print(format!("guavaladder {}", env!("CARGO_PKG_VERSION"))));
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] | ["help"] => return Ok(Command::Print(help::overview())),
        ["help", rest @ ..] => return Ok(Command::Print(help::subcommand(find_subcommand(rest)?))),
        _ => {}
    }
    let spec = find_subcommand(&words)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(help::subcommand(spec)));
    }
    check_options(spec, &matches)?;
    let argument = argument(spec, &words)?;
    let invocation = Invocation { subcommand: spec.subcommand, argument, matches };
    Ok(Command::Run(Box::new(invocation)))
}

fn all_options() -> Options {
    let mut options = Options::new();
    for spec in OPTIONS {
        let short = if spec.name == "help" { "h" } else { "" };
        match spec.arity {
            OptionArity::Flag => options.optflag(short, spec.name, spec.description),
            OptionArity::Single(value) => options.optopt(short, spec.name, spec.description, value),
            OptionArity::Repeated(value) => {
                options.optmulti(short, spec.name, spec.description, value)
            }
        };
    }
    options
}

/// Finds the subcommand whose name the words start with.
fn find_subcommand(words: &[&str]) -> Result<&'static SubcommandSpec, ArgsError> {
    let is_named = |spec: &&SubcommandSpec| {
        let name: Vec<&str> = spec.name.split(' ').collect();
        words.starts_with(&name)
    };
    SUBCOMMANDS.iter().find(is_named).ok_or_else(|| unknown_subcommand(words))
}

fn unknown_subcommand(words: &[&str]) -> ArgsError {
    let given = words.iter().take(2).copied().collect::<Vec<_>>().join(" ");
    let first = words.first().copied().unwrap_or_default();
    let is_in_group = |spec: &&SubcommandSpec| spec.name.split(' ').next() == Some(first);
    let group: Vec<&str> = SUBCOMMANDS.iter().filter(is_in_group).map(|spec| spec.name).collect();
    let similar = SUBCOMMANDS.iter().find(|spec| {
        is_similar(spec.name, &given)
            || spec.name.split(' ').next().is_some_and(|w| is_similar(w, first))
    });
    let hint = match (group.is_empty(), similar) {
        (false, _) => format!("use one of: {}", group.join(", ")),
        (true, Some(spec)) => format!("did you mean `{}`?", spec.name),
        (true, None) => "see `guavaladder help`".to_string(),
    };
    ArgsError::UnknownSubcommand { words: given, hint }
}

fn check_options(spec: &'static SubcommandSpec, matches: &Matches) -> Result<(), ArgsError> {
    for option in OPTIONS {
        let is_allowed =
            GLOBAL_OPTIONS.contains(&option.name) || spec.options.contains(&option.name);
        if matches.opt_present(option.name) && !is_allowed {
            return Err(ArgsError::OptionNotAccepted {
                subcommand: spec.name,
                option: option.name,
            });
        }
    }
    Ok(())
}

fn argument(spec: &'static SubcommandSpec, words: &[&str]) -> Result<String, ArgsError> {
    let rest = &words[spec.name.split(' ').count()..];
    let expected = usize::from(spec.argument.is_some());
    if let Some(extra) = rest.get(expected) {
        let argument = extra.to_string();
        return Err(ArgsError::UnexpectedArgument { subcommand: spec.name, argument });
    }
    match (spec.argument, rest.first()) {
        (Some(argument), None) => {
            Err(ArgsError::MissingArgument { subcommand: spec.name, argument })
        }
        (_, given) => Ok(given.unwrap_or(&"").to_string()),
    }
}
