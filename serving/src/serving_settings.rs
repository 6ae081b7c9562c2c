//! Reads and validates the settings file of a daemon on the users' platform.

use guavaladder_lib::generated::serving_settings as file;
use guavaladder_lib::generated::serving_settings::LogFormat;
use guavaladder_lib::schema_check;
use guavaladder_lib::schema_check::Problem;
use guavaladder_lib::settings::SettingsError;
use log::LevelFilter;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// JSON schema of the settings file.
const SCHEMA: &str = include_str!("../../schema/serving_settings.json");

const MIB: usize = 1 << 20;

/// Validated settings of a daemon on the users' platform.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingSettings {
    /// Id of the node, unique in the fleet.
    pub node: String,
    /// Data centre of the node.
    pub data_centre: String,
    /// Listen address for requests of callers.
    pub callers: SocketAddr,
    /// Listen address for the platform's readiness probe.
    pub readiness: SocketAddr,
    /// Listen address for resolve queries of callers.
    pub directory: SocketAddr,
    /// UDP address for messages between nodes, and TCP address for requests that they pass on; all nodes use
    /// the same port.
    pub peers: SocketAddr,
    /// Listen address for metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time from the platform's request to stop until it kills the process.
    pub shutdown: Duration,
    /// Retries that are allowed per request for a service.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Additional retries per service and window, over all nodes.
    pub retry_slack: f64,
    /// Maximum time for which callers may cache a response of the directory.
    pub max_resolve_ttl: Duration,
    /// Maximum number of file descriptors that the process may use.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// Ratio of group sizes from which a service is scheduled by measurements; `None` if no service is.
    pub measured_from_size_ratio: Option<f64>,
    /// Whether replicas of such services are chosen by estimates of their load.
    pub uses_load_estimate: bool,
    /// Whether their groups follow the measured demand of each model.
    pub uses_demand_allocation: bool,
    /// Whether their scarce slots go to requests by urgency, share of the customer and timeliness.
    pub uses_admission: bool,
    /// Number of nodes above which changes of the instance list are sent in parts, and its reads are spread.
    pub large_fleet_above: usize,
    /// Names of all data centres; empty if they are not known.
    pub data_centres: Vec<String>,
    /// Multiple of its rate that a cold instance may get in one second.
    pub cold_over: f64,
    /// Requests that a cold instance may get in one second beyond that.
    pub cold_slack: f64,
    /// Time within which no request reaches an evacuated data centre; `None` if evacuations are not watched.
    pub evacuation: Option<Duration>,
    /// Format of the log lines.
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    pub log_level: LevelFilter,
}

/// Reads a settings file and validates everything that needs no network access.
pub fn read(path: &Path) -> Result<ServingSettings, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { file: file.clone(), source })?;
    parse(&text).map_err(|problems| SettingsError::Problems { file, problems })
}

/// Parses and validates the text of a settings file.
pub fn parse(text: &str) -> Result<ServingSettings, Vec<Problem>> {
    let document = schema_check::check(SCHEMA, text)?;
    let settings: file::ServingSettings = serde_json::from_value(document).map_err(|e| {
        vec![Problem::new(
            "/",
            &e.to_string(),
            "settings that match the schema",
            "correct the file",
        )]
    })?;
    let mut problems = vec![];
    let mut address = |path: &str, text: &str| match text.parse::<SocketAddr>() {
        Ok(address) => address,
        Err(_) => {
            let hint = "use an IP address and a port; host names are not resolved";
            let found = format!("{text:?}");
            problems.push(Problem::new(
                path,
                &found,
                "`ip:port`, for example 127.0.0.1:7000",
                hint,
            ));
            SocketAddr::from(([0, 0, 0, 0], 0))
        }
    };
    let callers = address("/listen/callers", &settings.listen.callers);
    let readiness = address("/listen/readiness", &settings.listen.readiness);
    let directory = address("/listen/directory", &settings.listen.directory);
    let store = address("/store", &settings.store);
    for (path, other) in [
        ("/listen/callers", callers),
        ("/listen/readiness", readiness),
        ("/listen/directory", directory),
    ] {
        if other.ip() == callers.ip() && other.port() == settings.peer_port {
            problems.push(Problem::new(
                "/peer_port",
                &format!("the port of {path}, {other}"),
                "a port that no address under /listen has",
                "nodes use it for TCP, too",
            ));
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let bounds = settings.bounds.unwrap_or_else(default_bounds);
    let scheduling = settings.scheduling.as_ref();
    Ok(ServingSettings {
        peers: SocketAddr::new(callers.ip(), settings.peer_port),
        metrics: settings.metrics_port.map(|port| SocketAddr::new(callers.ip(), port)),
        node: settings.node,
        data_centre: settings.data_centre,
        callers,
        readiness,
        directory,
        store,
        shutdown: Duration::from_secs_f64(bounds.shutdown_s),
        retry_ratio: bounds.retry_ratio,
        retry_window: Duration::from_secs_f64(bounds.retry_window_s),
        retry_slack: bounds.retry_slack,
        max_resolve_ttl: Duration::from_secs_f64(bounds.max_answer_keep_s),
        max_descriptors: settings.max_descriptors as usize,
        memory: settings.memory_mb as usize * MIB,
        measured_from_size_ratio: scheduling.and_then(|s| s.measured_from_size_ratio),
        uses_load_estimate: scheduling.is_some_and(|s| s.load_estimate),
        uses_demand_allocation: scheduling.is_some_and(|s| s.demand_allocation),
        uses_admission: scheduling.is_some_and(|s| s.admission),
        large_fleet_above: settings.large_fleet_above as usize,
        data_centres: settings.data_centres.unwrap_or_default(),
        cold_over: bounds.cold_over.unwrap_or(1.0),
        cold_slack: bounds.cold_slack.unwrap_or(0.0),
        evacuation: bounds.evacuate_s.map(Duration::from_secs_f64),
        log_format: settings.log.as_ref().and_then(|log| log.format).unwrap_or(LogFormat::Text),
        log_level: level_filter(settings.log.as_ref().and_then(|log| log.level)),
    })
}

fn level_filter(level: Option<file::LogLevel>) -> LevelFilter {
    match level {
        Some(file::LogLevel::Off) => LevelFilter::Off,
        Some(file::LogLevel::Error) => LevelFilter::Error,
        Some(file::LogLevel::Warn) => LevelFilter::Warn,
        Some(file::LogLevel::Info) | None => LevelFilter::Info,
        Some(file::LogLevel::Debug) => LevelFilter::Debug,
    }
}

fn default_bounds() -> file::ServingBounds {
    // All keys have defaults, so an empty object always decodes.
    serde_json::from_str("{}")
        .unwrap_or_else(|e| unreachable!("the default bounds must decode: {e}"))
}
