//! What targets say of themselves.

use hyper::Method;

use crate::dialect::{Notice, Phase};
use crate::platform::notice::read;

const BEAT: &str = r#"{"Address":"10.0.0.9:1","born":1700000000000,
    "Info":{"Service":"s","Version":"v1","Zone":"z","Slots":18},
    "Status":{"State":"draining","Sequence":4,"ColdLeftS":1.5}}"#;

#[test]
fn a_heartbeat_is_read() {
    let notice = read(&Method::PUT, "/instances/i-1", BEAT.as_bytes()).unwrap();
    let Notice::Heartbeat(beat) = notice else {
        panic!("no heartbeat");
    };
    assert_eq!((beat.id.as_str(), beat.service.as_str()), ("i-1", "s"));
    assert_eq!(
        (beat.started_ms, beat.sequence, beat.slots),
        (1_700_000_000_000, 4, 18)
    );
    assert_eq!(
        (beat.phase, beat.cold_left.as_millis()),
        (Phase::Draining, 1_500)
    );
}

#[test]
fn a_departure_needs_no_body() {
    let notice = read(&Method::DELETE, "/instances/i-1", b"").unwrap();
    let id = "i-1".to_owned();
    assert_eq!(
        notice,
        Notice::Departure {
            id,
            started_ms: None
        }
    );
}

macro_rules! refuses {
    ($($name:ident: $from:expr, $to:expr;)*) => {
        $(#[test]
        fn $name() {
            let text = BEAT.replace($from, $to);
            assert_ne!(text, BEAT);
            assert!(read(&Method::PUT, "/instances/i-1", text.as_bytes()).is_err());
        })*
    };
}

refuses! {
    a_state_that_is_not_named: "draining", "resting";
    a_missing_start: r#""born":1700000000000,"#, "";
    a_start_that_is_no_whole_number: "1700000000000", "1.5";
    slots_of_another_type: "18", r#""many""#;
    no_slots: "18", "0";
    a_negative_cold_time: "1.5", "-1";
    bytes_that_end_early: r#""Status""#, "";
}

#[test]
fn other_paths_and_methods_are_refused() {
    assert!(read(&Method::PUT, "/instances/", BEAT.as_bytes()).is_err());
    assert!(read(&Method::PUT, "/other/i-1", BEAT.as_bytes()).is_err());
    assert!(read(&Method::POST, "/instances/i-1", BEAT.as_bytes()).is_err());
}
