//! Runs the tests of the stand-ins and of the oracles.

mod test_standins;
