//! Tables of the subcommands and options.

/// Kind of value that an option takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takes {
    /// No value.
    Nothing,
    /// One value of this kind.
    One(&'static str),
    /// A value of this kind at each repetition.
    Many(&'static str),
}

/// One option of the program.
pub struct OptionSpec {
    /// Name without the dashes.
    pub name: &'static str,
    /// Kind of its value.
    pub takes: Takes,
    /// Purpose.
    pub text: &'static str,
}

/// One subcommand.
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
}

/// Words, argument, options and purpose of a subcommand.
pub struct SubcommandSpec {
    /// Subcommand.
    pub subcommand: Subcommand,
    /// Words that name it.
    pub words: &'static str,
    /// Name of its argument.
    pub argument: Option<&'static str>,
    /// Options that it takes besides the global ones.
    pub options: &'static [&'static str],
    /// Purpose.
    pub text: &'static str,
}

/// Options that every subcommand takes.
pub const GLOBAL_OPTIONS: [&str; 3] = ["endpoint", "token-file", "json"];

const fn option(name: &'static str, takes: Takes, text: &'static str) -> OptionSpec {
    OptionSpec { name, takes, text }
}

/// Every option.
pub const OPTIONS: &[OptionSpec] = &[
    option(
        "endpoint",
        Takes::Many("IP:PORT"),
        "operators' address of a node, repeatable, tried in turn (or GUAVALADDER_ENDPOINTS, with commas)",
    ),
    option(
        "token-file",
        Takes::One("FILE"),
        "file with the bearer token (or the token itself in GUAVALADDER_TOKEN)",
    ),
    option("json", Takes::Nothing, "print JSON"),
    option("help", Takes::Nothing, "print help"),
    option("version", Takes::Nothing, "print the version"),
    option("reason", Takes::One("TEXT"), "why the change is made; kept in the history"),
    option("author", Takes::One("NAME"), "who makes the change (default: USER)"),
    option("based-on", Takes::One("N"), "version that a bare configuration starts from"),
    option("change-id", Takes::One("ID"), "id of the change; the same one makes a repetition safe"),
    option(
        "wait",
        Takes::One("SECONDS"),
        "longest wait until it is in force everywhere (default: 10)",
    ),
    option("limit", Takes::One("N"), "number of entries (default: 20)"),
    option("kind", Takes::One("KIND"), "engine or plain (default: engine)"),
    option("model", Takes::One("MODEL"), "model, for an engine service"),
    option("model-version", Takes::One("VERSION"), "version of the model"),
    option("adapter", Takes::One("ADAPTER"), "adapter on top of the model"),
    option("replicas", Takes::One("N"), "wanted number of groups"),
    option("members", Takes::One("N"), "instances in a group"),
    option("priority", Takes::One("N"), "priority among services, 0 to 100"),
    option("downtime-weight", Takes::One("W"), "0.0 to 1.0: 1 cares for group downtime only"),
    option("not-idempotent", Takes::Nothing, "its requests run at most once"),
    option("exclude-instance", Takes::One("ID"), "take an instance out of planning and routing"),
    option("cordon-instance", Takes::One("ID"), "give an instance no new group"),
    option("cordon-domain", Takes::One("ID"), "give a fabric domain no new group"),
    option("pin-instance", Takes::One("ID"), "keep an instance for the service of --service"),
    option("service", Takes::One("ID"), "service that is meant"),
    option("expires-in", Takes::One("SECONDS"), "time after which the exception no longer holds"),
    option(
        "log",
        Takes::Many("FILE"),
        "log of a node, repeatable; the file's name stands for the node",
    ),
    option("html", Takes::One("FILE"), "write the report as one HTML page"),
];

const fn subcommand(
    subcommand: Subcommand,
    words: &'static str,
    argument: Option<&'static str>,
    options: &'static [&'static str],
    text: &'static str,
) -> SubcommandSpec {
    SubcommandSpec { subcommand, words, argument, options, text }
}

const CHANGE_OPTIONS: [&str; 4] = ["reason", "author", "change-id", "wait"];

/// Every subcommand.
pub const SUBCOMMANDS: &[SubcommandSpec] = &[
    subcommand(Subcommand::Status, "status", None, &[], "shows the fleet at a glance"),
    subcommand(Subcommand::ConfigGet, "config get", None, &[], "prints the configuration in force"),
    subcommand(
        Subcommand::ConfigDiff,
        "config diff",
        Some("FILE"),
        &[],
        "shows what a file would change, and its problems",
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
        "explains what was decided about a group, request, instance or node",
    ),
    subcommand(
        Subcommand::ReportBurn,
        "report burn",
        None,
        &["html"],
        "reports how fast the objectives' budgets burn",
    ),
    subcommand(
        Subcommand::TokenHash,
        "token hash",
        None,
        &[],
        "prints the hash of a token, as settings and configuration hold it",
    ),
    subcommand(
        Subcommand::LogExplain,
        "log explain",
        Some("REQUEST"),
        &["log"],
        "joins the lines of several nodes' logs into one account of a request",
    ),
];
