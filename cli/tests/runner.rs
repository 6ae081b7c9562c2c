//! Runs the integration tests of the command line.

mod test_arguments;
mod test_calls;
mod test_changes;
mod world;
