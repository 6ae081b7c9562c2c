//! Tests of matching requests to routes and API keys to customers.

use crate::util::config;
use guavaladder_serving::route_match::CurrentConfig;
use guavaladder_serving::route_match::MatchError;
use guavaladder_serving::route_match::RoutingTable;
use rstest::rstest;

#[rstest]
#[case::longest_prefix("a.example", "/a/b/c", Ok("deep"))]
#[case::shorter_prefix("a.example", "/a/x", Ok("mid"))]
#[case::root("a.example", "/x", Ok("all"))]
#[case::prefix_ends_within_a_segment("a.example", "/a/bc", Ok("mid"))]
#[case::port_and_case("A.Example:80", "/a/", Ok("mid"))]
#[case::other_host("b.example", "/a/", Err(MatchError::NoRoute))]
fn route_by_host_and_path(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Result<&str, MatchError>,
) {
    let table = RoutingTable::new(config(1));
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), expected);
}

#[rstest]
#[case::known(Some("key-1"), false, Ok(Some("baker")))]
#[case::unknown(Some("key-2"), false, Err(MatchError::NoCustomer))]
#[case::missing(None, false, Err(MatchError::NoCustomer))]
#[case::public_route(None, true, Ok(None))]
fn customer_by_key(
    #[case] key: Option<&str>,
    #[case] is_public: bool,
    #[case] expected: Result<Option<&str>, MatchError>,
) {
    let mut config = config(1);
    config.routes.iter_mut().for_each(|route| route.is_public = is_public);
    let table = RoutingTable::new(config);
    let route = table.route("a.example", "/").unwrap();
    let found = table.customer(route, key);
    assert_eq!(found.map(|customer| customer.map(|c| c.name.as_str())), expected);
}

#[test]
fn configuration_version_never_decreases() {
    let current = CurrentConfig::new();
    assert!(current.update_if_newer(config(5)));
    assert!(!current.update_if_newer(config(4)));
    assert!(!current.update_if_newer(config(5)));
    assert_eq!(current.version(), Some(5));
    assert!(current.update_if_newer(config(9)));
    assert_eq!(current.version(), Some(9));
}
