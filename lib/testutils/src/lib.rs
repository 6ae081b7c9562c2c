//! Fakes for tests: the platform's store, and engines and plain services on in-memory instances.

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
