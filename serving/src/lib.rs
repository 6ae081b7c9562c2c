//! Serving node for the users' platform: forwards requests to replicas, and assembles and repairs
//! the groups of instances that form them.
//!
//! The platform lists the instances, and its object store holds the only persistent state.
//!
//! Decisions are plain functions and types without I/O: `group_plan`, `placement`, `retry_budget`,
//! `crash_record`, `replica_set`, `route_match`. The platform's wire format is behind the `Dialect`
//! trait.

pub mod admission;
pub mod admission_stats;
pub mod admission_sync;
pub mod attempt;
pub mod attempt_loop;
pub mod awaited_answer;
pub mod awaited_config;
pub mod candidates;
pub mod cold_instances;
pub mod cold_sync;
pub mod config_sync;
pub mod connection;
pub mod crash_keys;
pub mod crash_record;
pub mod crash_store;
pub mod crash_sync;
pub mod customer_use;
pub mod demand_sync;
pub mod dialect;
pub mod directory;
pub mod down_reports;
pub mod evacuation_sync;
pub mod evacuations;
pub mod expired_members;
pub mod failed_attempts;
pub mod fleet_config;
pub mod fleet_retries;
pub mod fleet_view;
pub mod group_allocation;
pub mod group_control;
pub mod group_plan;
pub mod group_steps;
pub mod instance;
pub mod instance_deferrals;
pub mod instance_list_delta;
pub mod instance_list_sync;
pub mod instance_notices;
pub mod instance_reach;
pub mod key_hash;
pub mod lease_manager;
pub mod lease_state;
pub mod list_part_sync;
pub mod list_parts;
pub mod listeners;
pub mod load_estimate;
pub mod load_table;
pub mod local_response;
pub mod metered_stream;
pub mod model_demand;
pub mod network;
pub mod next_replica;
pub mod node_registry;
pub mod node_relay;
pub mod node_stop;
pub mod node_table;
pub mod order_client;
pub mod pause_record;
pub mod peer_codec;
pub mod peer_exchange;
pub mod placement;
pub mod plain_forward;
pub mod rate_limit_sync;
pub mod rate_limited_log;
pub mod rate_limits;
pub mod rate_relay;
pub mod registration_tracker;
pub mod replica_health;
pub mod replica_set;
pub mod request_handler;
pub mod request_task;
pub mod response_body;
pub mod retry_budget;
pub mod retry_sync;
pub mod route_match;
pub mod serving_cx;
pub mod serving_metrics;
pub mod serving_node;
pub mod serving_settings;
pub mod size_stats;
pub mod sse;
pub mod store;
pub mod store_era;
pub mod stream_forward;
pub mod stream_relay;
pub mod unproven_instances;
pub mod upstream_pool;
pub mod upstream_stream;
