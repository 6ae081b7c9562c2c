//! Configuration of the data path: routes, services, customers and the limits on callers.
//!
//! It is decoded from the object in the platform's store and immutable afterwards; a newer version
//! replaces it as a whole.

use std::collections::HashMap;
use std::time::Duration;

/// Version of the configuration; increases with each change, not necessarily by 1.
pub type ConfigVersion = u64;

/// One version of the whole configuration.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    /// Version of this configuration.
    pub version: ConfigVersion,
    /// Routes by which requests are matched to services.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Whether requests need an API key, except on public routes.
    pub needs_keys: bool,
    /// Customers by API key.
    pub customers: HashMap<String, Customer>,
}

/// How requests on a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may be executed more than once.
    Idempotent,
    /// A request is executed at most once for each attempt of its caller.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming {
        /// Whether another replica can resume the stream after the last delivered event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { is_resumable: true })
    }
}

/// Routing of the requests with one host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the request must name.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: String,
    /// How requests may be retried.
    pub kind: RouteKind,
    /// Maximum time that a request waits for its response.
    pub timeout: Duration,
    /// Target time within which the response, or the first event of a stream, should arrive.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Target services with their traffic weights.
    pub targets: Vec<(String, u32)>,
    /// Maximum number of replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Target for the longest interval between two events of a stream.
    pub max_event_interval: Option<Duration>,
}

/// A service that handles requests.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one replica accepts from all nodes together.
    pub max_connections: u32,
    /// Model engine of the service; `None` for a plain service.
    pub engine: Option<Engine>,
    /// How instances behave after they started; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// Behaviour of the instances of a service while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which an instance is cold after it started.
    pub period: Duration,
    /// Requests per second that a cold instance tolerates.
    pub per_second: f64,
}

/// Properties of the model engine of a service.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Number of requests that a group runs concurrently.
    pub slots: u32,
    /// Models that the service offers.
    pub models: Vec<Model>,
    /// Duration of one decode step without any generating request.
    pub step: Duration,
    /// Time that each generating request adds to a decode step.
    pub step_per_request: Duration,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Decode steps per pass; a stream sends one event per pass.
    pub steps_per_pass: u32,
    /// Maximum number of weight loads started per second over all instances.
    pub loads_per_second: f64,
    /// Number of concurrent weight loads that do not slow each other down.
    pub loads_at_once: u32,
    /// Time from the `open` order until the group serves requests.
    pub open_delay: Duration,
}

/// A model that groups of instances serve.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Number of instances in a group.
    pub size: usize,
    /// Initial fraction of the service's work, from 0 to 1.
    pub share: f64,
    /// Factor on all processing times of the model's groups.
    pub pace: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join a group if the weights are staged on the host.
    pub warm_time: Duration,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Maximum size of a request header in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request header to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until a configuration has been read.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer, identified by an API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
}

impl FleetConfig {
    /// Returns the model engine of a service.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service).and_then(|service| service.engine.as_ref())
    }

    /// Returns whether a service is scheduled by measurements: its largest groups have at least
    /// `from_size_ratio` times the instances of its smallest. Between groups of similar size, moving instances
    /// gains fewer slots than the loads of weights cost.
    pub fn is_measured(&self, service: &str, from_size_ratio: Option<f64>) -> bool {
        let Some((from_size_ratio, engine)) = from_size_ratio.zip(self.engine(service)) else {
            return false;
        };
        let sizes = || engine.models.iter().map(|model| model.size);
        let (smallest, largest) = (sizes().min().unwrap_or(0), sizes().max().unwrap_or(0));
        smallest > 0
            && engine.models.len() > 1
            && largest as f64 >= smallest as f64 * from_size_ratio
    }
}

impl Engine {
    /// Returns the model with a name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the expected interval between two events of a stream in a group of `model` that runs
    /// `running` requests; `None` for a plain instance or an unknown model.
    pub fn pass_time_of(&self, model: Option<&str>, running: u32) -> Option<Duration> {
        Some(self.pass_time(self.model(model?)?, running))
    }

    /// Returns the expected interval between two events of a stream in a group of `model` that runs
    /// `running` requests.
    pub fn pass_time(&self, model: &Model, running: u32) -> Duration {
        let step = self.step + self.step_per_request * running;
        step.mul_f64(f64::from(self.steps_per_pass.max(1)) * model.pace.max(0.01))
    }
}
