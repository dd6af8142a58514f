//! Tests of the list of running requests.

use std::sync::Arc;

use super::{Parent, Running};

/// Guards against calls that are no longer recognised as those of a running request: the end of an
/// earlier attempt removed the next one, which has the same id.
#[test]
fn the_end_of_an_earlier_attempt_does_not_end_the_next() {
    let running = Arc::new(Running::default());
    let first = running.add("a", Parent { repeated: false });
    let second = running.add("a", Parent { repeated: true });
    drop(first);
    assert_eq!(running.find("a"), Some(Parent { repeated: true }));
    drop(second);
    assert_eq!(running.find("a"), None);
}
