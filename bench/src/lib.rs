//! Stand-ins for the platform and the upstreams, and measurements over them. Not shipped.

pub mod call_oracle;
pub mod call_record;
pub mod caller;
pub mod daemon_process;
pub mod demo;
pub mod fleet_plan;
pub mod groups;
pub mod groups_instance;
pub mod groups_meter;
pub mod groups_sim;
pub mod groups_trace;
pub mod operator;
pub mod sse;
pub mod standin_engine;
pub mod standin_fleet;
pub mod standin_plain;
pub mod standin_platform;
pub mod standin_server;
pub mod standins;
pub mod timeline;
