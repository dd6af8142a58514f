//! Tests of when a newer version is fetched from another node.

use std::time::Duration;

use crate::sidecar::version_lag::VersionLag;

#[test]
fn a_version_is_fetched_after_the_grace_time_and_not_again_at_once() {
    let grace = Duration::from_millis(50);
    let mut lag = VersionLag::default();
    assert!(!lag.record(2, 2, grace));
    assert!(!lag.record(3, 2, grace));
    std::thread::sleep(grace);
    // The grace time counts from the first report of a higher version.
    assert!(lag.record(3, 2, grace));
    // Two fetches are never that close together, not even if the second has no grace time.
    assert!(!lag.record(3, 2, Duration::ZERO), "fetched a moment ago");
    assert_eq!(lag.highest(), 3);
    assert!(!lag.record(3, 3, grace));
    assert!(!lag.record(4, 3, grace), "the grace time starts again");
}
