//! Runs the tests of the stand-ins and of the oracles.

mod test_call_oracle;
mod test_fake_fleet;
mod test_store_oracle;
