//! Which entries are believed, and which target is chosen.

use std::sync::Arc;
use std::time::Duration;

use crate::directory::{Directory, Locality};
use crate::link::{Entry, Load};
use crate::roster::Presence;
use crate::testing::{self, NullService};

const USUAL: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(800);

fn entry(node: &str, region: &str, center: &str, incarnation: u64, revision: u64) -> Entry {
    Entry {
        revision,
        ..testing::entry(node, region, center, incarnation)
    }
}

fn directory() -> Directory {
    let directory = Directory::new(Locality {
        node: "own".into(),
        region: "bkk".into(),
        data_center: "bkk-a".into(),
    });
    directory.set_link_service(Arc::new(NullService));
    directory
}

/// Three targets: in this data centre, in this region, and in another region.
fn three() -> Directory {
    let directory = directory();
    directory.merge(vec![
        entry("far", "hkt", "hkt-a", 1, 0),
        entry("near", "bkk", "bkk-a", 1, 0),
        entry("region", "bkk", "bkk-b", 1, 0),
    ]);
    directory
}

fn ranked(directory: &Directory, excluded: &[String]) -> Vec<String> {
    let ranked = directory.rank("booking", USUAL, OBJECTIVE, excluded);
    ranked.iter().map(|e| e.entry.node.clone()).collect()
}

fn load(running: u32, slowness_percent: u32, failing_percent: u32) -> Load {
    Load {
        running,
        queued: 0,
        slots: 10,
        run_ms: 100,
        slowness_percent,
        failing_percent,
    }
}

#[tokio::test]
async fn near_targets_come_first() {
    assert_eq!(ranked(&three(), &[]), ["near", "region", "far"]);
}

#[tokio::test]
async fn excluded_targets_are_left_out() {
    assert_eq!(ranked(&three(), &["near".into()]), ["region", "far"]);
}

macro_rules! avoids_the_near_target {
    ($($name:ident: $load:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            let directory = three();
            directory.find("near").unwrap().record_load($load);
            assert_eq!(ranked(&directory, &[])[0], "region");
        })*
    };
}

avoids_the_near_target! {
    when_it_is_far_too_slow: load(0, 900, 100),
    when_it_has_a_long_queue: Load { queued: 90, ..load(10, 100, 0) },
    when_most_of_its_answers_fail: load(0, 100, 95),
}

#[tokio::test]
async fn a_target_that_leaves_gets_nothing_new() {
    let directory = three();
    let mut leaving = entry("near", "bkk", "bkk-a", 1, 1);
    leaving.presence = Presence::Leaving;
    directory.merge(vec![leaving]);
    assert_eq!(ranked(&directory, &[]), ["region", "far"]);
}

#[tokio::test]
async fn older_entries_change_nothing() {
    let directory = directory();
    assert_eq!(
        directory
            .merge(vec![entry("a", "bkk", "bkk-a", 5, 3)])
            .len(),
        1
    );
    let digest = directory.digest();
    for older in [(5, 3), (5, 2), (4, 9)] {
        let entry = entry("a", "bkk", "bkk-a", older.0, older.1);
        assert!(directory.merge(vec![entry]).is_empty(), "{older:?}");
    }
    assert_eq!(directory.digest(), digest);
    assert_eq!(
        directory
            .merge(vec![entry("a", "bkk", "bkk-a", 6, 0)])
            .len(),
        1
    );
    assert_ne!(directory.digest(), digest);
}

#[tokio::test]
async fn a_node_that_is_gone_comes_back_only_as_a_new_process() {
    let directory = three();
    directory.forget("near", 1);
    directory.merge(vec![entry("near", "bkk", "bkk-a", 1, 7)]);
    assert!(directory.find("near").is_none());
    directory.merge(vec![entry("near", "bkk", "bkk-a", 2, 0)]);
    assert!(directory.find("near").is_some());
}

#[tokio::test]
async fn nodes_that_know_the_same_have_the_same_digest() {
    let (one, other) = (directory(), directory());
    let entries = vec![
        entry("a", "bkk", "bkk-a", 1, 0),
        entry("b", "hkt", "hkt-a", 1, 0),
    ];
    one.merge(entries.clone());
    other.merge(entries.into_iter().rev().collect());
    assert_eq!(one.digest(), other.digest());
}

#[tokio::test]
async fn a_target_that_was_slow_is_tried_again_after_a_while() {
    let directory = three();
    directory.find("near").unwrap().record_load(load(0, 900, 0));
    let slow = directory.find("near").unwrap().cost(USUAL, OBJECTIVE);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let later = directory.find("near").unwrap().cost(USUAL, OBJECTIVE);
    assert!(later < slow.mul_f64(0.85), "{later:?} after {slow:?}");
}

/// An entry of `node` at the address of the node `near`.
fn at_near(node: &str, incarnation: u64) -> Entry {
    Entry {
        address: testing::entry("near", "bkk", "bkk-a", 1).address,
        ..entry(node, "bkk", "bkk-a", incarnation, 0)
    }
}

#[tokio::test]
async fn a_node_ends_where_another_one_has_its_address() {
    let directory = three();
    directory.merge(vec![at_near("new", 2)]);
    assert_eq!(ranked(&directory, &[]), ["new", "region", "far"]);
    // What is still said of the former node comes too late.
    directory.merge(vec![entry("near", "bkk", "bkk-a", 1, 5)]);
    assert_eq!(ranked(&directory, &[]), ["new", "region", "far"]);
    assert_eq!(directory.take_replaced(), ["near"]);
    assert!(directory.take_replaced().is_empty());
}

#[tokio::test]
async fn a_node_that_started_before_the_one_at_its_address_is_not_believed() {
    let directory = three();
    directory.merge(vec![at_near("old", 0)]);
    assert_eq!(ranked(&directory, &[]), ["near", "region", "far"]);
}
