//! Tests of the structured log.

use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use log::{Level, Record};

use super::{BURST_LINES, TokenBucket, dropped_lines, enqueue, format_line};

#[test]
fn a_line_is_one_json_object_with_the_fields_of_the_record() {
    let fields = [("event", "refused"), ("request_id", "a\"b\n")];
    let record = Record::builder()
        .level(Level::Info)
        .key_values(&fields)
        .args(format_args!(""))
        .build();
    let line = format_line(&record);
    assert!(!line.contains('\n'));
    let parsed: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(parsed["event"], "refused");
    assert_eq!(parsed["request_id"], "a\"b\n");
    assert_eq!(parsed["level"], "info");
}

#[test]
fn logging_never_blocks_when_standard_output_is_not_read() {
    let (sender, _receiver) = sync_channel(4);
    let dropped_before = dropped_lines();
    let started = Instant::now();
    for _ in 0..10_000 {
        enqueue(&sender, "line".into());
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    assert!(dropped_lines() >= dropped_before + 9_996);
}

#[test]
fn the_rate_is_limited_and_a_reserve_is_kept_for_warnings() {
    let mut bucket = TokenBucket::new();
    let admitted: f64 = (0..5_000)
        .filter(|_| bucket.try_acquire(false))
        .map(|_| 1.0)
        .sum();
    assert!(admitted <= BURST_LINES, "{admitted}");
    assert!(bucket.try_acquire(true));
}
