//! Tests of structured log lines.

use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use log::{Level, Record};

use super::{BURST_LINES, Rate, left_out, line, queue};

#[test]
fn a_line_is_one_json_object_with_the_fields_of_the_record() {
    let fields = [("event", "refused"), ("request_id", "a\"b\n")];
    let record = Record::builder()
        .level(Level::Info)
        .key_values(&fields)
        .args(format_args!(""))
        .build();
    let line = line(&record);
    assert!(!line.contains('\n'));
    let read: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(read["event"], "refused");
    assert_eq!(read["request_id"], "a\"b\n");
    assert_eq!(read["level"], "info");
}

#[test]
fn a_reader_that_does_not_read_holds_nothing_up() {
    let (sender, _receiver) = sync_channel(4);
    let before = left_out();
    let began = Instant::now();
    for _ in 0..10_000 {
        queue(&sender, "line".into());
    }
    assert!(began.elapsed() < Duration::from_secs(1));
    assert!(left_out() >= before + 9_996);
}

#[test]
fn lines_are_bounded_and_the_last_are_kept_for_warnings() {
    let mut rate = Rate::new();
    let granted: f64 = (0..5_000).filter(|_| rate.take(false)).map(|_| 1.0).sum();
    assert!(granted <= BURST_LINES, "{granted}");
    assert!(rate.take(true));
}
