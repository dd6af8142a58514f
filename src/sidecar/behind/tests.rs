//! When a node is asked for its version.

use std::time::Duration;

use crate::sidecar::behind::Behind;

#[test]
fn a_version_is_asked_for_once_it_has_been_lacking_for_a_while() {
    let grace = Duration::from_millis(50);
    let mut behind = Behind::default();
    assert!(!behind.hear(2, 2, grace));
    assert!(!behind.hear(3, 2, grace));
    std::thread::sleep(grace);
    // A node that is nearer has a shorter grace, counted from the same moment.
    assert!(behind.hear(3, 2, grace));
    assert!(!behind.hear(3, 2, Duration::ZERO), "asked a moment ago");
    assert_eq!(behind.highest(), 3);
    assert!(!behind.hear(3, 3, grace));
    assert!(!behind.hear(4, 3, grace), "counted anew");
}
