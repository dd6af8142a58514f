//! Which target is believed to stand beside the node.

use std::time::Duration;

use crate::dialect::{Heartbeat, Phase};
use crate::target::Taken;
use crate::target::identity::Identity;

const BORN: u64 = 1_000_000;

fn heartbeat(id: &str, started_ms: u64, sequence: u64, phase: Phase) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        started_ms,
        sequence,
        service: "booking".into(),
        slots: 2,
        phase,
        cold_left: Duration::ZERO,
    }
}

/// What happens to a target, in order.
#[derive(Clone, Copy)]
enum Event {
    Beat(&'static str, u64, u64, Phase),
    Leave(&'static str, Option<u64>),
    Recall(&'static str, u64, u64),
}

use Event::{Beat, Leave, Recall};
use Phase::{Draining, Ready};

/// Plays events; returns the identity and phase that are believed at the end.
fn believed(events: &[Event]) -> Option<(String, Phase)> {
    let mut identity = Identity::default();
    for event in events {
        match *event {
            Beat(id, started_ms, sequence, phase) => {
                identity.take(heartbeat(id, started_ms, sequence, phase));
            }
            Recall(id, started_ms, sequence) => identity.recall(id, started_ms, sequence),
            Leave(id, started_ms) => {
                identity.leave(id, started_ms, BORN + 50);
            }
        }
    }
    let current = identity.current();
    current.map(|known| (known.id.clone(), known.phase))
}

macro_rules! believes {
    ($($name:ident: [$($event:expr),* $(,)?] => $expected:expr,)*) => {
        $(#[test]
        fn $name() {
            let expected: Option<(&str, Phase)> = $expected;
            let expected = expected.map(|(id, phase)| (id.to_owned(), phase));
            assert_eq!(believed(&[$($event),*]), expected);
        })*
    };
}

believes! {
    a_late_heartbeat_does_not_undo_draining:
        [Beat("a", BORN, 2, Draining), Beat("a", BORN, 1, Ready)] => Some(("a", Draining)),
    a_late_heartbeat_does_not_bring_back_a_target_that_left:
        [Beat("a", BORN, 1, Ready), Leave("a", None), Beat("a", BORN, 2, Ready)] => None,
    a_departure_binds_a_node_that_has_just_started:
        [Leave("a", None), Beat("a", BORN, 7, Ready)] => None,
    a_departure_with_its_start_binds_that_start_only:
        [Leave("a", Some(BORN)), Beat("a", BORN + 1, 1, Ready)] => Some(("a", Ready)),
    a_target_that_starts_again_under_its_identity_is_taken:
        [Beat("a", BORN, 9, Ready), Leave("a", None), Beat("a", BORN + 100, 1, Ready)]
            => Some(("a", Ready)),
    an_unknown_departure_does_not_bind_a_later_start:
        [Leave("a", None), Beat("a", BORN + 100, 1, Ready)] => Some(("a", Ready)),
    a_heartbeat_of_an_earlier_target_does_not_replace_the_new_one:
        [Beat("b", BORN + 10, 1, Ready), Beat("a", BORN, 30, Draining)] => Some(("b", Ready)),
    a_departure_of_an_earlier_target_does_not_touch_the_new_one:
        [Beat("a", BORN, 1, Ready), Beat("b", BORN + 10, 1, Ready), Leave("a", None)]
            => Some(("b", Ready)),
    a_restarted_node_ignores_heartbeats_that_its_earlier_process_had_passed:
        [Recall("a", BORN, 4), Beat("a", BORN, 3, Ready)] => None,
    a_restarted_node_takes_later_heartbeats:
        [Recall("a", BORN, 4), Beat("a", BORN, 5, Draining)] => Some(("a", Draining)),
    a_restarted_node_takes_a_later_target:
        [Recall("a", BORN, 4), Beat("b", BORN + 5, 1, Ready)] => Some(("b", Ready)),
    a_newer_target_replaces_the_earlier_one:
        [Beat("a", BORN, 30, Ready), Beat("b", BORN + 10, 1, Ready)] => Some(("b", Ready)),
}

#[test]
fn a_heartbeat_that_only_counts_on_changes_nothing() {
    let mut identity = Identity::default();
    assert_eq!(
        identity.take(heartbeat("a", BORN, 1, Ready)),
        Taken::Changed
    );
    assert_eq!(
        identity.take(heartbeat("a", BORN, 2, Ready)),
        Taken::Unchanged
    );
    assert_eq!(identity.take(heartbeat("a", BORN, 2, Ready)), Taken::Stale);
}
