//! Tests of when entries are compared.

use std::thread::sleep;
use std::time::Duration;

use super::{MIN_PAUSE, ROSTER_GRACE, RosterLag};

const MARGIN: Duration = Duration::from_millis(20);

/// Guards against comparisons while updates are in transit.
#[test]
fn a_difference_is_compared_after_the_grace_time() {
    let mut lag = RosterLag::default();
    assert!(!lag.record("watcher", true, false));
    sleep(ROSTER_GRACE + MARGIN);
    assert!(lag.record("watcher", true, false));
}

#[test]
fn a_difference_that_ended_starts_anew() {
    let mut lag = RosterLag::default();
    assert!(!lag.record("watcher", true, false));
    sleep(ROSTER_GRACE + MARGIN);
    assert!(!lag.record("watcher", false, false));
    assert!(!lag.record("watcher", true, false));
}

/// Guards against a node that compares its entries with every status while they go on to differ.
#[test]
fn comparisons_that_change_nothing_come_at_growing_intervals() {
    let mut lag = RosterLag::default();
    assert!(lag.record("peer", true, true));
    sleep(MIN_PAUSE + MARGIN);
    assert!(lag.record("peer", true, true));
    sleep(MIN_PAUSE + MARGIN);
    assert!(!lag.record("peer", true, true));
}
