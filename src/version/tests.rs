//! Tests that a version is applied as a whole or not at all, and only if it is higher.

use std::sync::Arc;

use proptest::prelude::*;

use crate::platform::Dialect;
use crate::version::Versions;

fn versions() -> Versions {
    Versions::new(Arc::new(Dialect))
}

fn config(version: u64) -> Vec<u8> {
    format!(
        r#"{{"Version":{version},"Resources":[
        {{"KindOf":"Services","Metadata":{{"Name":"s"}},"Spec":{{}}}},
        {{"KindOf":"Routes","Metadata":{{"Name":"r{version}"}},"Spec":{{"Host":"h","Prefix":"/p/",
        "Type":"safe","TimeoutS":1,"GoalS":0.5,"Priority":1,"Attempts":2,"Service":"s"}}}}]}}"#
    )
    .into_bytes()
}

#[test]
fn a_truncated_version_changes_nothing() {
    let versions = versions();
    assert!(versions.apply(&config(3), "test"));
    let bytes = config(4);
    assert!(!versions.apply(&bytes[..bytes.len() / 2], "test"));
    assert_eq!(versions.number(), 3);
    let in_force = versions.in_force().load_full().unwrap();
    let route = in_force.table.find("h", "GET", "/p/a").unwrap();
    assert_eq!(route.name, "r3");
}

#[test]
fn a_version_is_packed_as_a_delta_against_the_version_of_the_other_node() {
    let (sender, receiver) = (versions(), versions());
    sender.apply(&config(1), "test");
    let first = sender.pack_above(0).unwrap().unwrap();
    assert_eq!(first.base, 0);
    assert!(receiver.apply(&receiver.unpack(&first).unwrap(), "peer"));
    sender.apply(&config(5), "test");
    let delta = sender.pack_above(receiver.number()).unwrap().unwrap();
    assert_eq!(delta.base, 1);
    assert!(delta.bytes.len() < first.bytes.len());
    assert!(receiver.apply(&receiver.unpack(&delta).unwrap(), "peer"));
    assert_eq!(receiver.number(), 5);
    assert!(sender.pack_above(5).unwrap().is_none());
}

#[test]
fn a_delta_against_an_unknown_version_is_rejected() {
    let (sender, receiver) = (versions(), versions());
    sender.apply(&config(1), "test");
    sender.apply(&config(2), "test");
    let delta = sender.pack_above(1).unwrap().unwrap();
    assert!(receiver.unpack(&delta).is_err());
}

proptest! {
    #[test]
    fn the_number_of_the_version_in_force_never_decreases(
        numbers in prop::collection::vec(1_u64..50, 1..40)
    ) {
        let versions = versions();
        let mut highest = 0;
        for number in numbers {
            let applied = versions.apply(&config(number), "test");
            prop_assert_eq!(applied, number > highest);
            highest = highest.max(number);
            prop_assert_eq!(versions.number(), highest);
            let in_force = versions.in_force().load_full().unwrap();
            prop_assert_eq!(in_force.version.0, highest);
        }
    }
}
