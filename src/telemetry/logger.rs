//! Structured log lines: one JSON object a line on standard output, bounded in volume.
//!
//! A thread of its own writes, so that a reader that does not read never holds up a request. Lines
//! beyond the bounds are left out and counted; the count is written with the next line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};
use serde_json::Map;

/// Lines that wait to be written at most.
const QUEUED_LINES: usize = 2_048;
/// Lines a second at most, so that logging takes a small part of a node's share of a core.
const LINES_PER_S: f64 = 200.0;
/// Lines that may come at once: those of one burst of failures.
const BURST_LINES: f64 = 1_000.0;
/// Share of the burst that is kept for warnings.
const WARNING_RESERVE: f64 = 0.25;

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);
static QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

/// What the writing thread does next.
enum Item {
    Line(String),
    /// Says when everything before it is written.
    Flush(SyncSender<()>),
}

/// Lines that were left out because of the bounds.
#[must_use]
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Starts to write log lines to standard output. `RUST_LOG` sets the level, `info` by default.
pub fn start() {
    let (sender, receiver) = sync_channel(QUEUED_LINES);
    std::thread::spawn(move || write_all(&receiver, io::stdout()));
    let _ = QUEUE.set(sender.clone());
    let rate = Mutex::new(Rate::new());
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(move |_, record| {
            let granted = rate
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take(record.level() <= Level::Warn);
            if granted {
                queue(&sender, line(record));
            } else {
                LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            }
            Ok(())
        })
        .init();
}

/// Waits until the lines that were logged so far are written, at most for `limit`: the last thing
/// that a process does before it ends.
pub fn flush(limit: Duration) {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = sync_channel(1);
    if queue.try_send(Item::Flush(done)).is_ok() {
        let _ = written.recv_timeout(limit);
    }
}

/// Queues a line without waiting.
fn queue(sender: &SyncSender<Item>, line: String) {
    if sender.try_send(Item::Line(line)).is_err() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_all(items: &Receiver<Item>, mut out: impl Write) {
    for item in items {
        match item {
            Item::Line(line) => {
                if writeln!(out, "{line}").is_err() {
                    LEFT_OUT.fetch_add(1, Ordering::Relaxed);
                }
            }
            Item::Flush(done) => {
                let _ = done.try_send(());
            }
        }
    }
}

/// A record as one line of JSON.
fn line(record: &Record) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.unwrap_or_default().as_millis();
    let mut fields = Fields(Map::new());
    fields.0.insert(
        "ts_ms".into(),
        u64::try_from(millis).unwrap_or(u64::MAX).into(),
    );
    let level = record.level().as_str().to_lowercase();
    fields.0.insert("level".into(), level.into());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".into(), "unreadable".into());
    }
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.0.insert("message".into(), message.into());
    }
    let left_out = left_out();
    if left_out > 0 {
        fields.0.insert("left_out".into(), left_out.into());
    }
    serde_json::Value::Object(fields.0).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// A token bucket of lines.
struct Rate {
    tokens: f64,
    filled: Instant,
}

impl Rate {
    fn new() -> Self {
        Self {
            tokens: BURST_LINES,
            filled: Instant::now(),
        }
    }

    /// Takes a line out of the bucket, if one is left for it.
    fn take(&mut self, warning: bool) -> bool {
        let passed = std::mem::replace(&mut self.filled, Instant::now());
        let passed = self.filled.saturating_duration_since(passed);
        self.tokens = (self.tokens + LINES_PER_S * seconds(passed)).min(BURST_LINES);
        let reserve = if warning {
            0.0
        } else {
            BURST_LINES * WARNING_RESERVE
        };
        if self.tokens < reserve + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

#[cfg(test)]
mod tests;
