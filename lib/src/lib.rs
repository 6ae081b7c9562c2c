//! The substance of guavaladder: configuration, platform client, membership, groups, routing,
//! requests and reports. The daemon and the command line are thin programs over this library.

pub mod call_queue;
pub mod clock;
pub mod config_diff;
pub mod config_view;
pub mod cx;
pub mod duration_ms;
pub mod engine;
pub mod event_log;
pub mod facts;
pub mod generated;
pub mod http_server;
pub mod ids;
pub mod instance_view;
pub mod member_view;
pub mod metric_names;
pub mod metrics;
pub mod object_view;
pub mod object_watch;
pub mod operator_api;
pub mod operator_client;
pub mod operator_error;
pub mod operator_status;
pub mod operator_why;
pub mod peer_socket;
pub mod plain_service;
pub mod platform;
pub mod prefix_hash;
pub mod schema_check;
pub mod settings;
pub mod store_client;
pub mod store_error;
pub mod store_outage;
pub mod timer;
pub mod token_hash;
