//! Builders of test data that several test modules share.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::event_log::EventLog;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_serving::fleet_config::Customer;
use guavaladder_serving::fleet_config::Engine;
use guavaladder_serving::fleet_config::FleetConfig;
use guavaladder_serving::fleet_config::Model;
use guavaladder_serving::fleet_config::Route;
use guavaladder_serving::fleet_config::RouteKind;
use guavaladder_serving::fleet_config::Service;
use guavaladder_serving::instance::EngineStatus;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance::Membership;
use guavaladder_serving::instance::MembershipState;
use guavaladder_serving::network::Network;
use guavaladder_serving::rate_limited_log::RateLimitedLog;
use guavaladder_serving::serving_cx::ServingCx;
use guavaladder_serving::serving_settings;
use serde_json::json;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

pub const SERVICE: &str = "drafting";

/// Returns the context of a node whose tasks are not running.
pub fn serving_cx(number: u8) -> ServingCx {
    let address = |port: u16| format!("127.0.0.{number}:{port}");
    let settings = json!({
        "node": format!("n{number}"), "data_centre": "east", "peer_port": 7004,
        "store": "127.0.0.1:1",
        "listen": {
            "callers": address(7001), "readiness": address(7002), "directory": address(7003),
        },
    });
    let settings = serving_settings::parse(&settings.to_string()).expect("valid settings");
    let clock = Clock::with_tokio_time(Duration::from_secs(1_700_000_000));
    ServingCx::new(settings, Arc::new(PlatformDialect::new()), clock, Network::Tcp)
}

pub fn log() -> RateLimitedLog {
    RateLimitedLog::new("n1", EventLog::new(Clock::new()))
}

pub fn model(name: &str, size: usize, share: f64) -> Model {
    Model {
        name: name.to_string(),
        size,
        share,
        pace: 1.0,
        load_time: Duration::from_secs(16),
        warm_time: Duration::from_millis(1600),
    }
}

pub fn engine() -> Engine {
    Engine {
        slots: 26,
        models: vec![model("large", 4, 0.67), model("small", 2, 0.33)],
        step: Duration::from_micros(6070),
        step_per_request: Duration::from_micros(241),
        prefill_tokens_per_second: 46_000.0,
        steps_per_pass: 5,
        loads_per_second: 4.0,
        loads_at_once: 6,
        open_delay: Duration::from_millis(300),
    }
}

pub fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_string(),
        host: "a.example".to_string(),
        path_prefix: path_prefix.to_string(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        priority: 2,
        targets: vec![(SERVICE.to_string(), 1)],
        max_attempts: 2,
        is_public: false,
        max_event_interval: None,
    }
}

pub fn config(version: u64) -> FleetConfig {
    let customer = Customer { name: "baker".to_string(), priority: Some(1) };
    let drafting = Service { engine: Some(engine()), ..Service::default() };
    FleetConfig {
        version,
        routes: vec![route("all", "/"), route("deep", "/a/b/"), route("mid", "/a/")],
        services: HashMap::from([
            (SERVICE.to_string(), drafting),
            ("orders".to_string(), Service::default()),
        ]),
        needs_keys: true,
        customers: HashMap::from([("key-1".to_string(), customer)]),
        ..FleetConfig::default()
    }
}

pub fn instance(id: &str, service: &str) -> Instance {
    let number: u16 = id.bytes().map(u16::from).sum();
    Instance {
        id: id.to_string(),
        service: service.to_string(),
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        data_centre: "east".to_string(),
        slots: 6,
        is_draining: false,
        engine: EngineStatus { born_ms: 1, ..EngineStatus::default() },
    }
}

pub fn member(id: &str, model: &str, rank: usize, state: MembershipState) -> Instance {
    let mut member = instance(id, SERVICE);
    member.engine.model = Some(model.to_string());
    member.engine.domain = Some("d0".to_string());
    member.engine.membership = Some(Membership { group: "g".to_string(), epoch: 7, rank, state });
    member
}
