//! Integration tests of the command-line client.

mod node_fixture;
mod test_arguments;
mod test_calls;
mod test_changes;
