//! Runs the integration tests of the library.

mod test_object_view;
mod test_operator_api;
mod test_settings;
