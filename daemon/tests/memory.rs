//! Test binary with the tests of the memory and connections that clients can take from a daemon. They
//! measure the process, so that only one of them runs at a time.

mod daemon_stand;
mod load_run;
#[expect(dead_code, reason = "shared with the other test binary")]
mod process;
mod process_usage;
mod serving_stand;
mod stalling_client;
mod test_caller_limits;
mod test_own_limits;
