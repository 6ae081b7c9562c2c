//! The context shared by all components of a node.

use crate::byte_budget::ByteBudget;
use crate::clock::Clock;
use crate::config_view::ConfigView;
use crate::event_log::EventLog;
use crate::facts::Facts;
use crate::generated::events::Event;
use crate::generated::settings::DaemonSettings;
use crate::ids::Incarnation;
use crate::instance_view::InstanceView;
use crate::member_view::MemberView;
use crate::metrics::Metrics;
use crate::object_view::ObjectView;
use crate::service_levels::ServiceLevels;
use crate::timer::Timers;
use std::sync::Arc;

const MEBIBYTE: usize = 1 << 20;
/// Divisor of the memory that gives the bytes for request bodies. A body also exists as a part of the request
/// that is executed, and of the one that is sent to a replica.
const BODY_SHARE: usize = 8;
/// Divisor of the memory that gives the bytes for request bodies of unknown senders.
const UNKNOWN_BODY_SHARE: usize = 32;

/// Shared context of a node: settings, clock, timers, events, metrics and the views of the platform's
/// objects and of the other nodes.
///
/// Clones are cheap and share the same state.
#[derive(Debug, Clone)]
pub struct Cx {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Incarnation of this run of the node: the wall-clock time at start in milliseconds.
    pub incarnation: Incarnation,
    /// Clock of the node.
    pub clock: Clock,
    /// Timer service for periodic tasks.
    pub timers: Timers,
    /// Log of numbered events.
    pub events: EventLog,
    /// Counters and gauges of the node.
    pub metrics: Metrics,
    /// View of the platform's objects.
    pub view: ObjectView,
    /// Current configuration.
    pub config: ConfigView,
    /// View of the platform's instance list.
    pub instances: InstanceView,
    /// View of all nodes of the fleet and their state.
    pub members: MemberView,
    /// Facts that the nodes share by gossip.
    pub facts: Facts,
    /// Service level measurements of the requests that this node received.
    pub service_levels: ServiceLevels,
    /// Account of the request bodies of callers and operators.
    pub body_bytes: ByteBudget,
    /// Account of the request bodies whose senders are not known before the bodies have been read.
    pub unknown_body_bytes: ByteBudget,
}

impl Cx {
    /// Starts the timer service and builds the context.
    ///
    /// Must be called within a tokio runtime.
    pub fn new(settings: DaemonSettings, clock: Clock, metrics: Metrics) -> Self {
        let view = ObjectView::new();
        let memory = settings.memory_mb as usize * MEBIBYTE;
        Self {
            settings: Arc::new(settings),
            incarnation: clock.unix().as_millis() as Incarnation,
            timers: Timers::new(clock.clone()),
            events: EventLog::new(clock.clone()),
            metrics,
            config: ConfigView::new(view.clone()),
            view,
            instances: InstanceView::new(),
            members: MemberView::new(),
            facts: Facts::new(),
            service_levels: ServiceLevels::new(clock.clone()),
            body_bytes: ByteBudget::new(memory / BODY_SHARE),
            unknown_body_bytes: ByteBudget::new(memory / UNKNOWN_BODY_SHARE),
            clock,
        }
    }

    /// Returns the id of this node.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    /// Records an event in the event log.
    pub fn record(&self, event: Event) {
        self.events.record(event);
    }
}
