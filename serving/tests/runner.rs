//! Tests of the serving crate, with one module per topic.

mod fleet;
mod test_attempts;
mod test_crash_record;
mod test_directory;
mod test_expired_members;
mod test_fleet_view;
mod test_group_faults;
mod test_group_plan;
mod test_instance_list_delta;
mod test_lease_state;
mod test_load_table;
mod test_node_table;
mod test_pages;
mod test_peer_codec;
mod test_placement;
mod test_rate_limited_log;
mod test_raw_http;
mod test_registration_tracker;
mod test_replica_set;
mod test_retry_budget;
mod test_route_match;
mod test_serving_path;
mod test_serving_settings;
mod test_sse;
mod test_store;
mod util;
