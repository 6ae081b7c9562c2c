//! The context that every part of a node holds.

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

/// What all parts of a node share: identity, time, events, metrics and the view of objects.
#[derive(Debug, Clone)]
pub struct Cx {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Incarnation of this run of the node, taken from the calendar at start.
    pub incarnation: Incarnation,
    /// Clock.
    pub clock: Clock,
    /// Timer service.
    pub timers: Timers,
    /// Numbered events.
    pub events: EventLog,
    /// Metrics.
    pub metrics: Metrics,
    /// View of the platform's objects.
    pub view: ObjectView,
    /// Configuration in force.
    pub config: ConfigView,
    /// View of the platform's instance list.
    pub instances: InstanceView,
    /// View of the entry nodes.
    pub members: MemberView,
    /// Facts shared among the nodes.
    pub facts: Facts,
    /// Service levels of the requests that this node took.
    pub service_levels: ServiceLevels,
}

impl Cx {
    /// Starts the timer service and builds the context; call it within a tokio runtime.
    pub fn new(settings: DaemonSettings, clock: Clock, metrics: Metrics) -> Self {
        let view = ObjectView::new();
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
            clock,
        }
    }

    /// Returns the id of this node.
    pub fn node(&self) -> &str {
        &self.settings.node
    }

    /// Records an event.
    pub fn record(&self, event: Event) {
        self.events.record(event);
    }
}
