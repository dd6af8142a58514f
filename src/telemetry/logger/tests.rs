//! Tests of the structured log.

use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use log::{Level, Record};

use super::{BURST_LINES, Command, TokenBucket, dropped_lines, enqueue, format_line, write_all};

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

/// Counts the writes, each of which costs a call to the system.
#[derive(Default)]
struct CountingWriter {
    writes: usize,
    text: Vec<u8>,
}

impl std::io::Write for CountingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.writes += 1;
        self.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_follow_each_other_are_written_together_and_in_order() {
    let (sender, commands) = sync_channel(200);
    for number in 0..100 {
        sender.send(Command::Line(number.to_string())).unwrap();
    }
    let (done, written) = sync_channel(1);
    sender.send(Command::Flush(done)).unwrap();
    drop(sender);
    let mut out = CountingWriter::default();
    write_all(&commands, &mut out);
    assert!(written.try_recv().is_ok(), "the flush was not confirmed");
    let lines: Vec<String> = (0..100).map(|number| number.to_string()).collect();
    assert_eq!(
        String::from_utf8(out.text).unwrap(),
        lines.join("\n") + "\n"
    );
    assert!(out.writes < 10, "{} writes", out.writes);
}
