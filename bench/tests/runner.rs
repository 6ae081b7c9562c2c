//! Tests of the fake platform and upstreams, the oracles and the fault schedule.

mod test_call_oracle;
mod test_fake_fleet;
mod test_store_oracle;
