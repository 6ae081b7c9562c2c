//! Test binary with all integration tests of the library.

mod test_burn_report;
mod test_caller_api;
mod test_catalogues;
mod test_config_change;
mod test_config_check;
mod test_config_fuzz;
mod test_fake_instances;
mod test_fake_store;
mod test_generation;
mod test_gossip_order;
mod test_groups;
mod test_groups_fuzz;
mod test_http_adapters;
mod test_ledger;
mod test_log_explain;
mod test_log_queue;
mod test_member_table;
mod test_membership;
mod test_object_view;
mod test_operator_api;
mod test_peer_codec;
mod test_planner;
mod test_request_fuzz;
mod test_settings;
mod test_store_client;
mod test_suspects;
