//! Stand-ins for the platform and the upstreams, and measurements over them. Not shipped.

pub mod call_oracle;
pub mod call_record;
pub mod caller;
pub mod daemon_process;
pub mod demo;
pub mod fleet_daemons;
pub mod fleet_load;
pub mod fleet_model;
pub mod fleet_plan;
pub mod load;
pub mod load_client;
pub mod operator;
pub mod process_usage;
pub mod soak;
pub mod soak_faults;
pub mod soak_schedule;
pub mod sse;
pub mod standin_engine;
pub mod standin_fleet;
pub mod standin_plain;
pub mod standin_platform;
pub mod standin_server;
pub mod standins;
pub mod store_oracle;
pub mod timeline;
