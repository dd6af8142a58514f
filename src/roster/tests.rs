//! Tests of roster copies and of suspicions.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::roster::{
    ApplyOutcome, Change, Crash, Member, Position, Presence, Registrar, Suspicions, Update, View,
};

fn member(number: usize) -> Member {
    let address = "127.0.0.1:1".parse().unwrap();
    Member {
        node: format!("node-{number}"),
        incarnation: 1,
        revision: 0,
        region: "r".into(),
        data_center: "d".into(),
        mesh: address,
        control: address,
        offer: None,
        presence: Presence::Serving,
    }
}

/// Applies joins (`true`) and departures (`false`) of members to `view` through a registrar, and
/// returns the updates that it issued.
fn updates(steps: &[(usize, bool)], view: &mut View, epoch: u64) -> Vec<Update> {
    let mut registrar = Registrar::new("d", view.position("d"), epoch);
    let mut updates = Vec::new();
    for (number, joins) in steps {
        if *joins {
            registrar.handle_announcement(member(*number), view);
        } else {
            let node = format!("node-{number}");
            registrar.queue_change(Change::Left {
                node,
                incarnation: 1,
            });
        }
        while let Some(update) = registrar.next_update() {
            assert_eq!(view.apply(&update), ApplyOutcome::Applied);
            updates.push(update);
        }
    }
    updates
}

fn names(view: &View) -> Vec<String> {
    let roster = view.roster();
    roster
        .members_in("d")
        .iter()
        .map(|member| member.node.clone())
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A copy that gets updates delayed, repeated and out of order never moves back, and equals the
    /// registrar's copy once it has pulled the updates that it lacks.
    #[test]
    fn updates_out_of_order_converge(
        steps in prop::collection::vec((0_usize..8, any::<bool>()), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let mut source = View::default();
        let updates = updates(&steps, &mut source, 1);
        let mut copy = View::default();
        let mut last = Position::default();
        for index in order {
            copy.apply(&updates[index.index(updates.len())]);
            prop_assert!(copy.position("d") >= last, "a copy moved back");
            last = copy.position("d");
        }
        for update in source.updates_after(&copy.positions()) {
            prop_assert_eq!(copy.apply(&update), ApplyOutcome::Applied);
        }
        prop_assert_eq!(copy.position("d"), source.position("d"));
        prop_assert_eq!(names(&copy), names(&source));
    }
}

#[test]
fn members_unknown_to_a_new_registrar_stay_for_the_grace_period() {
    let mut copy = View::default();
    updates(&[(1, true), (2, true)], &mut copy, 1);
    let mut empty = View::default();
    updates(&[(3, true)], &mut empty, 2);
    for update in empty.updates_after(&copy.positions()) {
        copy.apply(&update);
    }
    assert_eq!(names(&copy), ["node-1", "node-2", "node-3"]);
    assert!(!copy.expire(Duration::from_secs(30)));
    assert!(copy.expire(Duration::ZERO));
    assert_eq!(names(&copy), ["node-3"]);
}

#[test]
fn updates_of_an_earlier_epoch_are_ignored() {
    let mut source = View::default();
    let old = updates(&[(1, true), (1, false)], &mut source, 1);
    let mut copy = View::default();
    copy.apply(&old[0]);
    let mut successor = View::default();
    successor.apply(&old[0]);
    for update in updates(&[(2, true)], &mut successor, 2) {
        copy.apply(&update);
    }
    assert_eq!(copy.apply(&old[1]), ApplyOutcome::AlreadyApplied);
    assert_eq!(names(&copy), ["node-1", "node-2"]);
}

fn crash(number: u64, fingerprints: &[u64]) -> Crash {
    Crash {
        node: "node-1".into(),
        number,
        incarnation: 1,
        fingerprints: fingerprints.to_vec(),
    }
}

#[test]
fn a_fingerprint_is_refused_after_two_crashes() {
    let suspicions = Suspicions::default();
    suspicions.record_crash(&crash(1, &[7, 8]));
    suspicions.record_crash(&crash(1, &[7, 8]));
    assert!(
        !suspicions.must_refuse(7),
        "a crash reported twice was counted twice"
    );
    assert!(suspicions.is_suspect(7));
    suspicions.record_crash(&crash(2, &[7]));
    assert!(suspicions.must_refuse(7));
    assert!(!suspicions.must_refuse(8));
}

#[test]
fn a_completed_request_clears_its_fingerprint() {
    let suspicions = Suspicions::default();
    suspicions.record_crash(&crash(1, &[7]));
    assert!(
        suspicions.record_completion(7),
        "the other nodes must be notified"
    );
    assert!(!suspicions.is_suspect(7));
    assert_eq!(suspicions.exclude_completed(vec![7, 9, 9]), [9]);
}
