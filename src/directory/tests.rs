//! Tests of merging entries and of ranking targets.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::canary::{Notice, Stage};
use crate::directory::{Demand, Directory, Locality};
use crate::link::{Entry, Load};
use crate::roster::Presence;
use crate::testing::{self, NullHandler};

/// Expected latency of a request.
const EXPECTED: Duration = Duration::from_millis(100);
/// Latency objective of its route.
const OBJECTIVE: Duration = Duration::from_millis(800);
const DEMAND: Demand = Demand {
    service: "booking",
    expected_latency: EXPECTED,
    objective: OBJECTIVE,
    nested: false,
    body_bytes: 0,
    by_work: false,
};

fn entry(node: &str, region: &str, data_center: &str, incarnation: u64, revision: u64) -> Entry {
    Entry {
        revision,
        ..testing::entry(node, region, data_center, incarnation)
    }
}

fn directory() -> Directory {
    let directory = Directory::new(Locality {
        node: "own".into(),
        region: "bkk".into(),
        data_center: "bkk-a".into(),
    });
    directory.set_link_handler(Arc::new(NullHandler));
    directory
}

/// A directory with three targets: `near` in this data centre, `region` in another one of this
/// region, and `far` in another region.
fn three_targets() -> Directory {
    let directory = directory();
    directory.merge(vec![
        entry("far", "hkt", "hkt-a", 1, 0),
        entry("near", "bkk", "bkk-a", 1, 0),
        entry("region", "bkk", "bkk-b", 1, 0),
    ]);
    directory
}

/// Names of the nodes of the ranked targets, best first.
fn ranked(directory: &Directory, excluded: &[String]) -> Vec<String> {
    let ranked = directory.rank(&DEMAND, excluded);
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
        work_ms: 0,
    }
}

#[tokio::test]
async fn nearer_targets_rank_first() {
    assert_eq!(ranked(&three_targets(), &[]), ["near", "region", "far"]);
}

#[tokio::test]
async fn excluded_targets_are_not_ranked() {
    assert_eq!(
        ranked(&three_targets(), &["near".into()]),
        ["region", "far"]
    );
}

macro_rules! tests_that_the_nearest_target_is_avoided {
    ($($name:ident: $load:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            let directory = three_targets();
            directory.find("near").unwrap().record_load($load, Instant::now());
            assert_eq!(ranked(&directory, &[])[0], "region");
        })*
    };
}

tests_that_the_nearest_target_is_avoided! {
    a_slow_target_is_avoided: load(0, 900, 0),
    a_target_with_a_long_queue_is_avoided: Load { queued: 90, ..load(10, 100, 0) },
    a_failing_target_is_avoided: load(0, 100, 95),
}

/// Whether a request with a body of this size prefers a near target whose queue takes half of its
/// objective to an idle one in another data centre of the region.
fn waits_nearby(body_bytes: usize) -> bool {
    let directory = three_targets();
    let busy = Load {
        queued: 60,
        ..load(10, 100, 0)
    };
    directory
        .find("near")
        .unwrap()
        .record_load(busy, Instant::now());
    let demand = Demand {
        body_bytes,
        ..DEMAND
    };
    directory.rank(&demand, &[])[0].entry.node == "near"
}

#[tokio::test]
async fn only_a_large_body_waits_for_a_near_target() {
    assert!(!waits_nearby(0));
    assert!(waits_nearby(200_000));
}

#[tokio::test]
async fn a_leaving_target_is_not_ranked() {
    let directory = three_targets();
    let mut leaving = entry("near", "bkk", "bkk-a", 1, 1);
    leaving.presence = Presence::Leaving;
    directory.merge(vec![leaving]);
    assert_eq!(ranked(&directory, &[]), ["region", "far"]);
}

#[tokio::test]
async fn entries_that_are_not_newer_are_ignored() {
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
async fn a_forgotten_node_returns_only_with_a_higher_incarnation() {
    let directory = three_targets();
    directory.forget("near", 1);
    directory.merge(vec![entry("near", "bkk", "bkk-a", 1, 7)]);
    assert!(directory.find("near").is_none());
    directory.merge(vec![entry("near", "bkk", "bkk-a", 2, 0)]);
    assert!(directory.find("near").is_some());
}

#[tokio::test]
async fn directories_with_the_same_entries_have_the_same_digest() {
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
async fn reported_slowness_fades_over_time() {
    let directory = three_targets();
    directory
        .find("near")
        .unwrap()
        .record_load(load(0, 900, 0), Instant::now());
    let slow = directory
        .find("near")
        .unwrap()
        .cost(&DEMAND, Instant::now());
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let later = directory
        .find("near")
        .unwrap()
        .cost(&DEMAND, Instant::now());
    assert!(later < slow.mul_f64(0.85), "{later:?} after {slow:?}");
}

/// An entry of `node` at the address of the node `near`.
fn entry_at_near_address(node: &str, incarnation: u64) -> Entry {
    Entry {
        address: testing::entry("near", "bkk", "bkk-a", 1).address,
        ..entry(node, "bkk", "bkk-a", incarnation, 0)
    }
}

#[tokio::test]
async fn a_newer_node_replaces_the_one_at_its_address() {
    let directory = three_targets();
    directory.merge(vec![entry_at_near_address("new", 2)]);
    assert_eq!(ranked(&directory, &[]), ["new", "region", "far"]);
    // An entry of the replaced node that arrives later is ignored.
    directory.merge(vec![entry("near", "bkk", "bkk-a", 1, 5)]);
    assert_eq!(ranked(&directory, &[]), ["new", "region", "far"]);
    assert_eq!(directory.take_replaced(), ["near"]);
    assert!(directory.take_replaced().is_empty());
}

#[tokio::test]
async fn an_older_node_does_not_replace_the_one_at_its_address() {
    let directory = three_targets();
    directory.merge(vec![entry_at_near_address("old", 0)]);
    assert_eq!(ranked(&directory, &[]), ["near", "region", "far"]);
}

/// A directory with `old` targets of version `v1` and `new` ones of version `v2`, at an order to `v2`
/// at `stage`.
fn two_versions(old: usize, new: usize, stage: Stage) -> Directory {
    let directory = directory();
    for (version, count) in [("v1", old), ("v2", new)] {
        let entries = (0..count).map(|number| {
            let mut entry = entry(&format!("{version}-{number}"), "bkk", "bkk-a", 1, 0);
            entry.target.as_mut().unwrap().version = version.into();
            entry
        });
        directory.merge(entries.collect());
    }
    let notice = Notice {
        service: "booking".into(),
        target: "v2".into(),
        order: 1,
        stage,
        share: 0.04,
    };
    directory.canary.learn(&notice, Instant::now());
    directory
}

/// Versions of the targets that one call may go to, best first.
fn versions(directory: &Directory, excluded: &[String]) -> Vec<String> {
    let turn = directory.canary.begin_call("booking");
    let ranked = directory.rank_versions(&DEMAND, excluded, turn);
    ranked.iter().map(|e| e.version().to_owned()).collect()
}

macro_rules! tests_of_the_versions_that_calls_go_to {
    ($($name:ident: $old:expr, $new:expr, $stage:expr => $versions:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            assert_eq!(versions(&two_versions($old, $new, $stage), &[]), $versions);
        })*
    };
}

tests_of_the_versions_that_calls_go_to! {
    a_shift_excludes_old_targets: 1, 2, Stage::Shift => ["v2", "v2"],
    done_excludes_old_targets: 1, 2, Stage::Done => ["v2", "v2"],
    done_serves_with_old_targets_if_no_other_is_left: 1, 0, Stage::Done => ["v1"],
    a_rollback_excludes_new_targets: 2, 1, Stage::RolledBack => ["v1", "v1"],
    a_rollback_serves_with_new_targets_if_no_other_is_left: 0, 1, Stage::RolledBack => ["v2"],
    a_trial_serves_with_new_targets_if_no_other_is_left: 0, 1, Stage::Trial => ["v2"],
}

/// A fault that shows only under load would not show if the few requests of a trial were spread over
/// all new targets.
#[tokio::test]
async fn a_trial_uses_few_targets_and_its_share_of_calls() {
    let directory = two_versions(30, 30, Stage::Trial);
    let mut trials = Vec::new();
    for _ in 0..1_000 {
        let turn = directory.canary.begin_call("booking");
        let first = directory.rank_versions(&DEMAND, &[], turn).remove(0);
        if first.version() == "v2" {
            // The next call would prefer another target.
            first.record_load(load(10, 900, 0), Instant::now());
            trials.push(first.entry.node.clone());
        }
    }
    assert!((39..=41).contains(&trials.len()), "{}", trials.len());
    trials.sort();
    trials.dedup();
    // 4 % of the load of 30 targets is that of 1.2, so 2 targets are used at most.
    assert!(trials.len() <= 2, "{trials:?}");
}

/// A call that has failed at all targets of the only allowed version must not go to another one.
#[tokio::test]
async fn targets_that_were_tried_do_not_open_another_version() {
    let directory = two_versions(2, 1, Stage::Done);
    assert!(versions(&directory, &["v2-0".into()]).is_empty());
}

/// A node that has missed a stage may still send requests to a target that must not run them.
#[tokio::test]
async fn a_target_of_a_retired_or_withdrawn_version_runs_no_request() {
    for (stage, refused) in [
        (Stage::Trial, None),
        (Stage::Shift, None),
        (Stage::Withdrawn, Some("v2")),
        (Stage::RolledBack, Some("v2")),
        (Stage::Done, Some("v1")),
    ] {
        let directory = two_versions(1, 1, stage);
        for version in ["v1", "v2"] {
            let is_retired = directory.is_retired("booking", version);
            assert_eq!(is_retired, refused == Some(version), "{stage} {version}");
        }
    }
    assert!(!two_versions(1, 0, Stage::Done).is_retired("booking", "v1"));
}

/// Rows of nodes that know no versions of targets must still be read.
#[test]
fn a_row_without_a_version_is_read() {
    let mut row = serde_json::to_value(testing::entry("n", "bkk", "bkk-a", 1)).unwrap();
    row["target"].as_object_mut().unwrap().remove("version");
    let entry: Entry = serde_json::from_value(row).unwrap();
    assert_eq!(entry.target.unwrap().version, "");
}

/// An entry of a process that started at `incarnation`, by the heartbeat with this number.
fn announcement(incarnation: u64, sequence: u64) -> Entry {
    let mut entry = entry("near", "bkk", "bkk-a", incarnation, 1);
    if let Some(target) = &mut entry.target {
        target.sequence = sequence;
    }
    entry
}

/// Guards against requests to a target that left, after a restart of its node that does not know of it.
#[tokio::test]
async fn a_target_is_not_used_by_an_older_heartbeat_than_an_earlier_process_announced() {
    let directory = directory();
    let mut departed = announcement(1, 3);
    departed.target = departed.target.map(crate::link::Target::departed);
    directory.merge(vec![departed]);
    let started = Entry {
        target: None,
        ..announcement(2, 0)
    };
    directory.merge(vec![started.clone()]);
    let told = directory.former_entry(&started).unwrap();
    assert!(told.incarnation < started.incarnation);
    assert!(told.target.unwrap().has_departed());
    let announced = Entry {
        revision: 2,
        ..announcement(2, 4)
    };
    directory.merge(vec![announced.clone()]);
    assert!(ranked(&directory, &[]).is_empty());
    assert!(directory.former_entry(&announced).is_some());
}

/// Guards against a copy that is ignored because the node's next process is known already.
#[tokio::test]
async fn an_announcement_of_an_earlier_process_counts_after_the_next_one_started() {
    let directory = directory();
    directory.merge(vec![announcement(2, 4)]);
    assert_eq!(ranked(&directory, &[]), ["near"]);
    directory.merge(vec![announcement(1, 5)]);
    assert!(ranked(&directory, &[]).is_empty());
    directory.merge(vec![Entry {
        revision: 2,
        ..announcement(2, 6)
    }]);
    assert_eq!(ranked(&directory, &[]), ["near"]);
}

/// Guards against a departure that is forgotten with the node's row.
#[tokio::test]
async fn a_removed_node_is_told_what_it_announced() {
    let directory = directory();
    directory.merge(vec![announcement(1, 3)]);
    directory.forget("near", 1);
    let started = Entry {
        target: None,
        ..announcement(2, 0)
    };
    directory.merge(vec![started.clone()]);
    let told = directory.former_entry(&started);
    assert_eq!(told.unwrap().target.unwrap().sequence, 3);
}
