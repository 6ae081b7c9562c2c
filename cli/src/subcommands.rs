//! Tables of all subcommands and options.

/// How many values an option takes; the text names the value in help texts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OptionArity {
    /// None: the option is a flag.
    Flag,
    /// One; the option may be given once.
    Single(&'static str),
    /// One each time that the option is given; it may be repeated.
    Repeated(&'static str),
}

/// Describes an option of the program.
pub struct OptionSpec {
    /// Long name, without the leading dashes.
    pub name: &'static str,
    /// How many values the option takes.
    pub arity: OptionArity,
    /// Description in help texts.
    pub description: &'static str,
}

/// Identifies a subcommand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subcommand {
    /// `status`
    Status,
    /// `config get`
    ConfigGet,
    /// `config diff FILE`
    ConfigDiff,
    /// `config apply FILE`
    ConfigApply,
    /// `config history`
    ConfigHistory,
    /// `service create ID`
    ServiceCreate,
    /// `service list`
    ServiceList,
    /// `service show ID`
    ServiceShow,
    /// `exception add ID`
    ExceptionAdd,
    /// `exception list`
    ExceptionList,
    /// `exception remove ID`
    ExceptionRemove,
    /// `instance list`
    InstanceList,
    /// `why ID`
    Why,
    /// `report burn`
    ReportBurn,
    /// `token hash`
    TokenHash,
    /// `log explain REQUEST`
    LogExplain,
    /// `log account`
    LogAccount,
}

/// Describes a subcommand: its name, argument and options.
pub struct SubcommandSpec {
    /// The subcommand described.
    pub subcommand: Subcommand,
    /// Name on the command line, one or two words.
    pub name: &'static str,
    /// Placeholder of the positional argument in help texts, if there is one.
    pub argument: Option<&'static str>,
    /// Names of the accepted options, without the global ones.
    pub options: &'static [&'static str],
    /// Description in help texts.
    pub description: &'static str,
}

/// Names of the options that every subcommand accepts.
pub const GLOBAL_OPTIONS: [&str; 3] = ["endpoint", "token-file", "json"];

const fn option(name: &'static str, arity: OptionArity, description: &'static str) -> OptionSpec {
    OptionSpec { name, arity, description }
}

/// All options, in the order of the help texts.
pub const OPTIONS: &[OptionSpec] = &[
    option(
        "endpoint",
        OptionArity::Repeated("IP:PORT"),
        "operator API address of a node, repeatable, tried in order (default: GUAVALADDER_ENDPOINTS, \
         comma-separated)",
    ),
    option(
        "token-file",
        OptionArity::Single("FILE"),
        "file with the bearer token (default: the token in GUAVALADDER_TOKEN)",
    ),
    option("json", OptionArity::Flag, "print JSON"),
    option("help", OptionArity::Flag, "print help"),
    option("version", OptionArity::Flag, "print the version"),
    option("reason", OptionArity::Single("TEXT"), "reason for the change; recorded in the history"),
    option("author", OptionArity::Single("NAME"), "author of the change (default: USER)"),
    option(
        "based-on",
        OptionArity::Single("N"),
        "version that a configuration file without a version is based on",
    ),
    option(
        "change-id",
        OptionArity::Single("ID"),
        "id of the change; resending it with the same id is safe",
    ),
    option(
        "wait",
        OptionArity::Single("SECONDS"),
        "maximum wait until the change is in force on every node (default: 10)",
    ),
    option("limit", OptionArity::Single("N"), "number of entries (default: 20)"),
    option("kind", OptionArity::Single("KIND"), "engine or plain (default: engine)"),
    option("model", OptionArity::Single("MODEL"), "model, for an engine service"),
    option("model-version", OptionArity::Single("VERSION"), "version of the model"),
    option("adapter", OptionArity::Single("ADAPTER"), "adapter on top of the model"),
    option("replicas", OptionArity::Single("N"), "desired number of groups"),
    option("members", OptionArity::Single("N"), "instances in a group"),
    option("priority", OptionArity::Single("N"), "priority among services, 0 to 100"),
    option(
        "downtime-weight",
        OptionArity::Single("W"),
        "weight of group downtime against stranded accelerators, 0.0 to 1.0; at 1 only downtime \
         counts",
    ),
    option(
        "not-idempotent",
        OptionArity::Flag,
        "requests of the service are executed at most once",
    ),
    option(
        "exclude-instance",
        OptionArity::Single("ID"),
        "exclude an instance from planning and routing",
    ),
    option("cordon-instance", OptionArity::Single("ID"), "assign no new group to an instance"),
    option("cordon-domain", OptionArity::Single("ID"), "place no new group in a fabric domain"),
    option(
        "pin-instance",
        OptionArity::Single("ID"),
        "reserve an instance for the service given by --service",
    ),
    option("service", OptionArity::Single("ID"), "service that the option or the list applies to"),
    option("expires-in", OptionArity::Single("SECONDS"), "time after which the exception expires"),
    option(
        "log",
        OptionArity::Repeated("FILE"),
        "log file of a node, repeatable; its base name identifies the node",
    ),
    option(
        "late",
        OptionArity::Repeated("ROUTE=MS"),
        "time after which the first part of a response of a route is late, repeatable",
    ),
    option("html", OptionArity::Single("FILE"), "write the report to FILE as an HTML page"),
];

const fn subcommand(
    subcommand: Subcommand,
    name: &'static str,
    argument: Option<&'static str>,
    options: &'static [&'static str],
    description: &'static str,
) -> SubcommandSpec {
    SubcommandSpec { subcommand, name, argument, options, description }
}

const CHANGE_OPTIONS: [&str; 4] = ["reason", "author", "change-id", "wait"];

/// All subcommands, in the order of the help text.
pub const SUBCOMMANDS: &[SubcommandSpec] = &[
    subcommand(Subcommand::Status, "status", None, &[], "shows an overview of the fleet"),
    subcommand(Subcommand::ConfigGet, "config get", None, &[], "prints the configuration in force"),
    subcommand(
        Subcommand::ConfigDiff,
        "config diff",
        Some("FILE"),
        &[],
        "shows the changes that a file would make, and its problems",
    ),
    subcommand(
        Subcommand::ConfigApply,
        "config apply",
        Some("FILE"),
        &["reason", "author", "change-id", "wait", "based-on"],
        "puts a configuration into force; FILE is an edited output of `config get`",
    ),
    subcommand(
        Subcommand::ConfigHistory,
        "config history",
        None,
        &["limit"],
        "lists the changes, newest first",
    ),
    subcommand(
        Subcommand::ServiceCreate,
        "service create",
        Some("ID"),
        &[
            "reason",
            "author",
            "change-id",
            "wait",
            "kind",
            "model",
            "model-version",
            "adapter",
            "replicas",
            "members",
            "priority",
            "downtime-weight",
            "not-idempotent",
        ],
        "adds a service to the configuration",
    ),
    subcommand(Subcommand::ServiceList, "service list", None, &[], "lists the services"),
    subcommand(
        Subcommand::ServiceShow,
        "service show",
        Some("ID"),
        &[],
        "shows a service with its groups",
    ),
    subcommand(
        Subcommand::ExceptionAdd,
        "exception add",
        Some("ID"),
        &[
            "reason",
            "author",
            "change-id",
            "wait",
            "exclude-instance",
            "cordon-instance",
            "cordon-domain",
            "pin-instance",
            "service",
            "replicas",
            "expires-in",
        ],
        "adds an exception; --reason is required",
    ),
    subcommand(Subcommand::ExceptionList, "exception list", None, &[], "lists the exceptions"),
    subcommand(
        Subcommand::ExceptionRemove,
        "exception remove",
        Some("ID"),
        &CHANGE_OPTIONS,
        "removes an exception",
    ),
    subcommand(
        Subcommand::InstanceList,
        "instance list",
        None,
        &["service"],
        "lists the instances with their groups",
    ),
    subcommand(
        Subcommand::Why,
        "why",
        Some("ID"),
        &[],
        "lists the events about a group, request, instance or node",
    ),
    subcommand(
        Subcommand::ReportBurn,
        "report burn",
        None,
        &["html"],
        "reports the burn rates of the error budgets",
    ),
    subcommand(
        Subcommand::TokenHash,
        "token hash",
        None,
        &[],
        "prints the hash of a token, as used in settings and configuration",
    ),
    subcommand(
        Subcommand::LogExplain,
        "log explain",
        Some("REQUEST"),
        &["log"],
        "merges the logs of several nodes into a timeline of a request",
    ),
    subcommand(
        Subcommand::LogAccount,
        "log account",
        None,
        &["log", "late"],
        "counts from the logs of several nodes how requests ended, and why",
    ),
];
