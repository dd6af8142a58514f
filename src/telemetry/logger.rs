//! Structured log: one JSON object per line on standard output, with a limited rate.
//!
//! A separate thread writes the lines, so that a full standard output pipe never blocks a request.
//! Lines beyond the limits are dropped and counted; later lines show the count in `left_out`.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};
use serde_json::Map;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time for which lines are collected before they are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);
/// Sustained rate limit, so that logging takes only a small part of a node's share of a core.
const LINES_PER_S: f64 = 200.0;
/// Lines that may be logged at once, enough for one burst of failures.
const BURST_LINES: f64 = 1_000.0;
/// Share of [`BURST_LINES`] that is reserved for warnings and errors.
const WARNING_SHARE: f64 = 0.25;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
static QUEUE: OnceLock<SyncSender<Command>> = OnceLock::new();

/// Command to the thread that writes the log.
enum Command {
    Line(String),
    /// Replies once every line before it is written.
    Flush(SyncSender<()>),
}

/// Number of lines that were dropped because of the limits or because writing them failed.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Installs the logger, which writes to standard output. `RUST_LOG` sets the level, `info` by
/// default.
pub fn start() {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write_all(&receiver, io::stdout()));
    let _ = QUEUE.set(sender.clone());
    let limiter = Mutex::new(TokenBucket::new());
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format(move |_, record| {
            let admitted = limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .try_acquire(record.level() <= Level::Warn);
            if admitted {
                enqueue(&sender, format_line(record));
            } else {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
            Ok(())
        })
        .init();
}

/// Waits up to `limit` until all lines logged so far are written. A process calls this last before
/// it exits.
pub fn flush(limit: Duration) {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = sync_channel(1);
    if queue.try_send(Command::Flush(done)).is_ok() {
        let _ = written.recv_timeout(limit);
    }
}

/// Queues a line without blocking; drops it if the queue is full.
fn enqueue(sender: &SyncSender<Command>, line: String) {
    if sender.try_send(Command::Line(line)).is_err() {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_all(commands: &Receiver<Command>, mut out: impl Write) {
    let mut batch = Batch::default();
    while let Ok(command) = commands.recv() {
        batch.add(command);
        if !batch.is_flush_due() {
            std::thread::sleep(WRITE_INTERVAL);
        }
        for command in commands.try_iter() {
            batch.add(command);
        }
        batch.write(&mut out);
    }
}

/// Lines that are written together, because each write wakes a thread and calls the system.
#[derive(Default)]
struct Batch {
    text: String,
    lines: u64,
    flushed: Vec<SyncSender<()>>,
}

impl Batch {
    fn add(&mut self, command: Command) {
        match command {
            Command::Line(line) => {
                self.text.push_str(&line);
                self.text.push('\n');
                self.lines += 1;
            }
            Command::Flush(done) => self.flushed.push(done),
        }
    }

    fn is_flush_due(&self) -> bool {
        !self.flushed.is_empty()
    }

    fn write(&mut self, out: &mut impl Write) {
        if out.write_all(self.text.as_bytes()).is_err() {
            DROPPED_LINES.fetch_add(self.lines, Ordering::Relaxed);
        }
        self.text.clear();
        self.lines = 0;
        for done in self.flushed.drain(..) {
            let _ = done.try_send(());
        }
    }
}

/// Formats a record as one line of JSON.
fn format_line(record: &Record) -> String {
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
    let dropped = dropped_lines();
    if dropped > 0 {
        fields.0.insert("left_out".into(), dropped.into());
    }
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects the key-value pairs of a record as JSON fields.
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

/// Rate limiter of log lines.
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new() -> Self {
        Self {
            tokens: BURST_LINES,
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token for one line; returns whether there was one. Lines below the warning level do
    /// not use the tokens reserved for warnings.
    fn try_acquire(&mut self, is_warning: bool) -> bool {
        let previous = std::mem::replace(&mut self.refilled_at, Instant::now());
        let elapsed = self.refilled_at.saturating_duration_since(previous);
        self.tokens = (self.tokens + LINES_PER_S * elapsed.as_secs_f64()).min(BURST_LINES);
        let reserve = if is_warning {
            0.0
        } else {
            BURST_LINES * WARNING_SHARE
        };
        if self.tokens < reserve + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests;
