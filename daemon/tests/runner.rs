//! Test binary with all integration tests of the daemon.

mod kept_callers;
#[expect(dead_code, reason = "shared with the other test binary")]
mod process;
mod stop_fleet;
mod test_lifecycle;
mod test_node_stop;
mod test_serving_log;
mod test_serving_stop;
mod test_serving_stop_requests;
mod test_serving_stop_streams;
mod test_start;
