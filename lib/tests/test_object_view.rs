//! Tests of the object view.

use guavaladder_lib::object_view::Applied;
use guavaladder_lib::object_view::ObjectView;
use guavaladder_lib::object_view::ViewedObject;
use rstest::rstest;

fn object(version: u64, value: Option<&str>) -> ViewedObject {
    ViewedObject { key: "config/current".to_string(), version, value: value.map(Into::into) }
}

#[rstest]
#[case::newer(2, Applied::Newer)]
#[case::same(1, Applied::Known)]
#[case::older(0, Applied::Known)]
fn apply_by_version(#[case] version: u64, #[case] expected: Applied) {
    let view = ObjectView::new();
    assert_eq!(view.apply(object(1, Some("a"))), Applied::Newer);
    assert_eq!(view.apply(object(version, Some("b"))), expected);
    let current = view.get("config/current").and_then(|current| current.value).unwrap();
    assert_eq!(&*current == "b", expected == Applied::Newer);
}

#[test]
fn apply_older_write_after_tombstone_is_rejected() {
    let view = ObjectView::new();
    view.apply(object(5, None));
    assert_eq!(view.apply(object(4, Some("late"))), Applied::Known);
    assert_eq!(view.get("config/current"), None);
}
