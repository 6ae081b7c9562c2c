//! Matches requests to routes by host and longest path prefix, and API keys to customers.

use crate::fleet_config::ConfigVersion;
use crate::fleet_config::Customer;
use crate::fleet_config::FleetConfig;
use crate::fleet_config::Route;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;

/// A configuration with its routes indexed by host.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Configuration that contains the routes.
    pub config: FleetConfig,
    /// Indexes into `config.routes` by lower-case host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

/// Errors of matching a request to a route or a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MatchError {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the request has none or an unknown one.
    NoCustomer,
}

impl RoutingTable {
    /// Builds the index of a configuration's routes.
    pub fn new(config: FleetConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| usize::MAX - config.routes[*index].path_prefix.len());
        }
        Self { config, by_host }
    }

    /// Returns the route with the longest matching path prefix. The port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Result<&Route, MatchError> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = match self.by_host.get(name) {
            Some(indexes) => Some(indexes),
            None => self.by_host.get(&name.to_ascii_lowercase()),
        };
        let routes = indexes.into_iter().flatten().map(|index| &self.config.routes[*index]);
        let mut matching = routes.filter(|route| path.starts_with(&route.path_prefix));
        matching.next().ok_or(MatchError::NoRoute)
    }

    /// Returns the customer with the given API key, or `None` if the key is absent or unknown and the
    /// route does not require one.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Customer>, MatchError> {
        let customer = key.and_then(|key| self.config.customers.get(key));
        let needs_key = !route.is_public && self.config.needs_keys;
        match customer {
            None if needs_key => Err(MatchError::NoCustomer),
            customer => Ok(customer),
        }
    }
}

/// The current configuration of this node. Its version never decreases while the process runs.
#[derive(Debug, Clone)]
pub struct CurrentConfig {
    tx: Arc<watch::Sender<Option<Arc<RoutingTable>>>>,
}

impl CurrentConfig {
    /// Returns a handle without a configuration.
    pub fn new() -> Self {
        let (tx, _) = watch::channel(None);
        Self { tx: Arc::new(tx) }
    }

    /// Replaces the current configuration if the given one is newer; returns whether it was replaced.
    pub fn update_if_newer(&self, config: FleetConfig) -> bool {
        if self.version().is_some_and(|version| config.version <= version) {
            return false;
        }
        self.tx.send_replace(Some(Arc::new(RoutingTable::new(config))));
        true
    }

    /// Returns the current configuration.
    pub fn get(&self) -> Option<Arc<RoutingTable>> {
        self.tx.borrow().clone()
    }

    /// Returns the version of the current configuration.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.tx.borrow().as_ref().map(|table| table.config.version)
    }

    /// Returns a receiver that is notified of each new configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RoutingTable>>> {
        self.tx.subscribe()
    }
}

impl Default for CurrentConfig {
    fn default() -> Self {
        Self::new()
    }
}
