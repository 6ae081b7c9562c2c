//! In-memory fakes and test fleets: the platform's store, engines, plain services and the node network.

pub mod control_fleet;
pub mod engine_options;
pub mod engine_orders;
pub mod engine_stream;
pub mod execution_oracle;
pub mod fake_instances;
pub mod fake_state;
pub mod fake_store;
pub mod fault_injection;
pub mod gate;
pub mod node_fleet;
pub mod peer_network;
pub mod request_rig;
pub mod token_text;
pub mod trait_impls;
