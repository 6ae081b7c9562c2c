//! The configuration of the data path: routes, services, customers and the limits on callers.
//!
//! It is decoded once from what the platform's store holds and never changed afterwards; a newer
//! version replaces it as a whole.

use std::collections::HashMap;
use std::time::Duration;

/// Version of the configuration; grows with each change, in uneven steps.
pub type ConfigVersion = u64;

/// One version of the whole configuration.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Customers by API key; empty when no route asks for a key.
    pub customers: HashMap<String, Customer>,
}

/// What may be repeated of the requests on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once for each attempt of its caller.
    NonIdempotent,
    /// The answer is a stream of events.
    Streaming {
        /// Whether another replica may go on after the last event that was delivered.
        is_resumable: bool,
    },
}

/// Where requests of one host and path prefix go.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub targets: Vec<(String, u32)>,
    /// Most replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Longest pause between two events with which a stream is on time.
    pub longest_pause: Option<Duration>,
}

/// A service that requests are sent to.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one replica accepts from all nodes together.
    pub max_connections: u32,
    /// Properties of its model engine; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// Properties of the model engine of a service.
#[derive(Debug, Clone, Default)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Models.
    pub models: Vec<Model>,
    /// Time of one token step with nobody writing.
    pub step: Duration,
    /// Time that each writing request adds to a step.
    pub step_per_request: Duration,
    /// Prompt tokens that are read in a second.
    pub read_tokens_per_second: f64,
    /// Token steps of a pass.
    pub steps_per_pass: u32,
    /// Loads of weights that may start in a second, over all instances.
    pub loads_per_second: f64,
    /// Loads that run side by side without slowing each other down.
    pub loads_at_once: u32,
    /// Time from the order to open until a group serves.
    pub open_delay: Duration,
}

/// A model that groups of instances serve.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Instances of a group.
    pub size: usize,
    /// Part of the work at the start, from 0 to 1.
    pub share: f64,
    /// Factor on all times of the model's groups.
    pub pace: f64,
    /// Time to load the weights from the weight store.
    pub load_time: Duration,
    /// Time to join with weights that are staged on the host.
    pub warm_time: Duration,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Bytes of the header of a request.
    pub max_header_bytes: usize,
    /// Bytes of the body of a request.
    pub max_body_bytes: usize,
    /// Longest time in which the header of a request arrives.
    pub header_timeout: Duration,
    /// Longest time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that hold before a configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A customer of the callers' API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Rank of its requests, which replaces that of the route.
    pub priority: Option<u8>,
}

impl FleetConfig {
    /// Returns a service's model engine.
    pub fn engine(&self, service: &str) -> Option<&Engine> {
        self.services.get(service).and_then(|service| service.engine.as_ref())
    }
}

impl Engine {
    /// Returns a model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the time between two events of a stream in a group of a model that runs `running` requests;
    /// `None` for a plain instance and for an unknown model.
    pub fn pass_time_of(&self, model: Option<&str>, running: u32) -> Option<Duration> {
        Some(self.pass_time(self.model(model?)?, running))
    }

    /// Returns the time between two events of a stream in a group that runs `running` requests.
    pub fn pass_time(&self, model: &Model, running: u32) -> Duration {
        let step = self.step + self.step_per_request * running;
        step.mul_f64(f64::from(self.steps_per_pass.max(1)) * model.pace.max(0.01))
    }
}
