//! In-memory fakes and test fleets: the platform's store, engines, plain services and the node network.

pub mod control_fleet;
pub mod engine_control;
pub mod engine_options;
pub mod engine_orders;
pub mod engine_stream;
pub mod engine_world;
pub mod fake_store;
pub mod gated_edges;
pub mod node_fleet;
pub mod peer_network;
pub mod request_rig;
pub mod token_text;
pub mod world_edges;
pub mod world_oracle;
pub mod world_state;
