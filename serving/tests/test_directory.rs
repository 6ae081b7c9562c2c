//! Tests of the selection of node addresses for callers.

use guavaladder_serving::directory::reaching_instances;
use guavaladder_serving::directory::select_addresses;
use guavaladder_serving::node_table::EntryNode;
use rstest::rstest;

fn entry(last: u8, data_centre: &str) -> EntryNode {
    let data_centre = data_centre.to_string();
    EntryNode { address: ([10, 0, 0, last], 80).into(), data_centre, is_cut: false }
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

#[test]
fn nodes_without_links_to_instances_are_left_out_unless_all_are() {
    let cut = |last| EntryNode { is_cut: true, ..entry(last, "east") };
    let left = reaching_instances(vec![cut(1), entry(2, "west"), cut(3)]);
    assert_eq!(left, [entry(2, "west")]);
    assert_eq!(reaching_instances(vec![cut(1), cut(3)]).len(), 2);
}
