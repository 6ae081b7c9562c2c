//! Matching of requests to routes by host and longest path prefix, and of keys to customers.

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
    /// The configuration.
    pub config: FleetConfig,
    /// Indexes of the routes of a host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
}

/// Why a request has no route or may not use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MatchError {
    /// No route has this host and a prefix of this path.
    NoRoute,
    /// The route asks for a key, and the request has none that is known.
    NoCustomer,
}

impl RoutingTable {
    /// Indexes a configuration.
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

    /// Returns the route of a request.
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

    /// Returns the customer of a request on a route; `None` where no key is needed.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Customer>, MatchError> {
        let customer = key.and_then(|key| self.config.customers.get(key));
        let needs_key = !route.is_public && !self.config.customers.is_empty();
        match customer {
            None if needs_key => Err(MatchError::NoCustomer),
            customer => Ok(customer),
        }
    }
}

/// The configuration in force on this node, which never gets older within a run.
#[derive(Debug, Clone)]
pub struct ConfigInForce {
    tx: Arc<watch::Sender<Option<Arc<RoutingTable>>>>,
}

impl ConfigInForce {
    /// Returns a node's configuration before any is known.
    pub fn new() -> Self {
        let (tx, _) = watch::channel(None);
        Self { tx: Arc::new(tx) }
    }

    /// Puts a configuration into force unless it is older than the one in force; tells whether it did.
    pub fn offer(&self, config: FleetConfig) -> bool {
        if self.version().is_some_and(|version| config.version <= version) {
            return false;
        }
        self.tx.send_replace(Some(Arc::new(RoutingTable::new(config))));
        true
    }

    /// Returns the configuration in force.
    pub fn get(&self) -> Option<Arc<RoutingTable>> {
        self.tx.borrow().clone()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.tx.borrow().as_ref().map(|table| table.config.version)
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<RoutingTable>>> {
        self.tx.subscribe()
    }
}

impl Default for ConfigInForce {
    fn default() -> Self {
        Self::new()
    }
}
