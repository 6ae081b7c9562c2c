//! Tests of the selection of node addresses for callers.

use guavaladder_serving::directory::select_addresses;
use guavaladder_serving::node_table::EntryNode;
use rstest::rstest;

fn entry(last: u8, data_centre: &str) -> EntryNode {
    EntryNode { address: ([10, 0, 0, last], 80).into(), data_centre: data_centre.to_string() }
}

#[rstest]
#[case::two_local("east", 2)]
#[case::one_local("west", 4)]
#[case::none_local("south", 4)]
fn local_addresses_are_preferred(#[case] data_centre: &str, #[case] expected: usize) {
    let entries = [entry(1, "east"), entry(2, "east"), entry(3, "west"), entry(4, "north")];
    assert_eq!(select_addresses(&entries, data_centre).len(), expected);
}

#[test]
fn addresses_are_bounded() {
    let entries: Vec<EntryNode> = (0..=255).map(|last| entry(last, "east")).collect();
    assert_eq!(select_addresses(&entries, "east").len(), 64);
}
