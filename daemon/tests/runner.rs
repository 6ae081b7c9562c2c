//! Test binary with all integration tests of the daemon.

mod process;
mod test_lifecycle;
mod test_serving_log;
mod test_serving_stop;
mod test_start;
