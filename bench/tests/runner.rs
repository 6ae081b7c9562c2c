//! Tests of the fake platform and upstreams, the oracles and the fault schedule.

mod test_call_oracle;
mod test_fake_fleet;
mod test_serving_soak;
mod test_store_oracle;
