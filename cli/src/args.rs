//! Parses the command line against the tables of subcommands and options.

use crate::help;
use crate::subcommands::GLOBAL_OPTIONS;
use crate::subcommands::OPTIONS;
use crate::subcommands::SUBCOMMANDS;
use crate::subcommands::Subcommand;
use crate::subcommands::SubcommandSpec;
use crate::subcommands::Takes;
use getopts::Matches;
use getopts::Options;
use guavaladder_lib::schema_check::is_similar;

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Run a subcommand.
    Run(Box<Invocation>),
    /// Print a text and exit.
    Print(String),
}

/// A subcommand with its argument and options.
#[derive(Debug)]
pub struct Invocation {
    /// Subcommand.
    pub subcommand: Subcommand,
    /// Its argument; empty where it takes none.
    pub argument: String,
    matches: Matches,
}

/// Errors of the command line.
#[derive(Debug, thiserror::Error)]
pub enum ArgsError {
    /// An option is unknown, lacks its value, or has one too many.
    #[error("{0}; hint: see `guavaladder help`")]
    Options(#[from] getopts::Fail),
    /// No such subcommand.
    #[error("unknown subcommand {words:?}; hint: {hint}")]
    UnknownSubcommand {
        /// What was given.
        words: String,
        /// A similar one or the list.
        hint: String,
    },
    /// The subcommand needs an argument.
    #[error("`{words}` needs {argument}; hint: see `guavaladder help {words}`")]
    MissingArgument {
        /// Subcommand.
        words: &'static str,
        /// Argument that lacks.
        argument: &'static str,
    },
    /// There are too many arguments.
    #[error("unexpected argument {argument:?}; hint: see `guavaladder help {words}`")]
    UnexpectedArgument {
        /// Subcommand.
        words: &'static str,
        /// The argument.
        argument: String,
    },
    /// The subcommand does not take this option.
    #[error("`{words}` takes no --{option}; hint: see `guavaladder help {words}`")]
    ForeignOption {
        /// Subcommand.
        words: &'static str,
        /// The option.
        option: &'static str,
    },
    /// An option's value is not acceptable.
    #[error("--{option}: found {found:?}; allowed: {allowed}; hint: correct the value")]
    Value {
        /// The option.
        option: &'static str,
        /// What was given.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// An option is required.
    #[error("--{option} is required; hint: {hint}")]
    Required {
        /// The option.
        option: &'static str,
        /// What to do.
        hint: &'static str,
    },
}

impl Invocation {
    /// Returns an option's value.
    pub fn value(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    /// Returns all values of a repeatable option.
    pub fn values(&self, option: &str) -> Vec<String> {
        self.matches.opt_strs(option)
    }

    /// Tells whether an option was given.
    pub fn has(&self, option: &str) -> bool {
        self.matches.opt_present(option)
    }

    /// Returns an option's value as a whole number.
    pub fn number(&self, option: &'static str) -> Result<Option<u64>, ArgsError> {
        let allowed = "a whole number";
        self.parsed(option, allowed)
    }

    /// Returns an option's value as a decimal number.
    pub fn decimal(&self, option: &'static str) -> Result<Option<f64>, ArgsError> {
        self.parsed(option, "a decimal number")
    }

    fn parsed<T: std::str::FromStr>(
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

/// Parses the arguments after the program's name.
pub fn parse(args: impl Iterator<Item = String>) -> Result<Command, ArgsError> {
    let matches = all_options().parse(args)?;
    if matches.opt_present("version") {
        return Ok(Command::Print(format!("guavaladder {}", env!("CARGO_PKG_VERSION"))));
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        [] | ["help"] => return Ok(Command::Print(help::overview())),
        ["help", rest @ ..] => return Ok(Command::Print(help::subcommand(find(rest)?))),
        _ => {}
    }
    let spec = find(&words)?;
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
        match spec.takes {
            Takes::Nothing => options.optflag(short, spec.name, spec.text),
            Takes::One(value) => options.optopt(short, spec.name, spec.text, value),
            Takes::Many(value) => options.optmulti(short, spec.name, spec.text, value),
        };
    }
    options
}

/// Finds the subcommand that the words begin with.
fn find(words: &[&str]) -> Result<&'static SubcommandSpec, ArgsError> {
    let starts = |spec: &&SubcommandSpec| {
        let own: Vec<&str> = spec.words.split(' ').collect();
        words.starts_with(&own)
    };
    SUBCOMMANDS.iter().find(starts).ok_or_else(|| unknown(words))
}

fn unknown(words: &[&str]) -> ArgsError {
    let given = words.iter().take(2).copied().collect::<Vec<_>>().join(" ");
    let first = words.first().copied().unwrap_or_default();
    let is_family = |spec: &&SubcommandSpec| spec.words.split(' ').next() == Some(first);
    let family: Vec<&str> = SUBCOMMANDS.iter().filter(is_family).map(|spec| spec.words).collect();
    let similar = SUBCOMMANDS.iter().find(|spec| {
        is_similar(spec.words, &given)
            || spec.words.split(' ').next().is_some_and(|w| is_similar(w, first))
    });
    let hint = match (family.is_empty(), similar) {
        (false, _) => format!("use one of: {}", family.join(", ")),
        (true, Some(spec)) => format!("did you mean `{}`?", spec.words),
        (true, None) => "see `guavaladder help`".to_string(),
    };
    ArgsError::UnknownSubcommand { words: given, hint }
}

fn check_options(spec: &'static SubcommandSpec, matches: &Matches) -> Result<(), ArgsError> {
    for option in OPTIONS {
        let is_allowed =
            GLOBAL_OPTIONS.contains(&option.name) || spec.options.contains(&option.name);
        if matches.opt_present(option.name) && !is_allowed {
            return Err(ArgsError::ForeignOption { words: spec.words, option: option.name });
        }
    }
    Ok(())
}

fn argument(spec: &'static SubcommandSpec, words: &[&str]) -> Result<String, ArgsError> {
    let rest = &words[spec.words.split(' ').count()..];
    let expected = usize::from(spec.argument.is_some());
    if let Some(extra) = rest.get(expected) {
        let argument = extra.to_string();
        return Err(ArgsError::UnexpectedArgument { words: spec.words, argument });
    }
    match (spec.argument, rest.first()) {
        (Some(argument), None) => Err(ArgsError::MissingArgument { words: spec.words, argument }),
        (_, given) => Ok(given.unwrap_or(&"").to_string()),
    }
}
