//! A stand-in for the users' store: rows, transactions and feeds in memory, with faults.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;

use crate::error::Result;
use crate::http::{Body, Handler, Server, json, read_whole};
use crate::platform::wire::{Answer, Commit, Row};

const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Longer than any client waits.
const SILENCE: Duration = Duration::from_mins(2);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Refuses every call with 503.
    Busy,
    /// Never answers.
    Silent,
    /// Breaks connections without an answer.
    Reset,
    /// Carries writes out and loses their answers.
    LoseAnswers,
}

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    history: Vec<Row>,
    /// Oldest position that the history reaches back to.
    oldest: u64,
    version: u64,
}

struct Shared {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    fault: watch::Sender<Option<StoreFault>>,
    calls: std::sync::atomic::AtomicU64,
}

/// A running stand-in store.
pub struct StoreServer {
    shared: Arc<Shared>,
    server: Server,
}

impl StoreServer {
    /// Starts a store on any free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    #[allow(clippy::unused_async, reason = "needs a running runtime")]
    pub async fn start() -> Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a store at `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start_at(address: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            version: watch::channel(0).0,
            fault: watch::channel(None).0,
            calls: std::sync::atomic::AtomicU64::new(0),
        });
        let calls = Arc::new(Calls(shared.clone()));
        let server = Server::start(address, calls)?;
        Ok(Self { shared, server })
    }

    /// Address that the store listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes every later call misbehave, or none.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.shared.fault.send_replace(fault);
    }

    /// Drops the history of all changes.
    pub fn forget_history(&self) {
        let mut state = self.shared.lock();
        state.history.clear();
        state.oldest = state.version;
    }

    /// Number of calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Writes a row as the operators do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.shared.write(vec![Row::put(table, key, value)]);
    }

    /// Keys of a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.lock();
        let rows = state.rows.keys().filter(|key| key.0 == table);
        rows.map(|key| key.2.clone()).collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, rows: Vec<Row>) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        for mut row in rows {
            row.ver = Some(version);
            let key = row.full_key();
            if row.deleted {
                state.rows.remove(&key);
            } else {
                state.rows.insert(key, row.clone());
            }
            state.history.push(row);
        }
        drop(state);
        self.version.send_replace(version);
        version
    }

    fn answer(&self, rows: Vec<Row>) -> Answer {
        Answer {
            rows,
            has_more: false,
            ver: self.lock().version,
        }
    }
}

struct Calls(Arc<Shared>);

#[async_trait]
impl Handler for Calls {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let calls = &self.0.calls;
        calls.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let fault = *self.0.fault.borrow();
        match fault {
            Some(StoreFault::Busy) => return status(StatusCode::SERVICE_UNAVAILABLE),
            Some(StoreFault::Silent) => {
                tokio::time::sleep(SILENCE).await;
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            Some(StoreFault::Reset) => return crate::http::aborted_response(),
            Some(StoreFault::LoseAnswers) | None => {}
        }
        let (head, body) = request.into_parts();
        let query = query(head.uri.query().unwrap_or_default());
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/rows-get") => self.get(&query),
            (&Method::GET, "/rows-feed") => self.feed(&query).await,
            (&Method::POST, "/rows-tx") => {
                let body = read_whole(body, MAX_BODY_BYTES).await.unwrap_or_default();
                let response = self.commit(&body);
                if fault == Some(StoreFault::LoseAnswers) {
                    return crate::http::aborted_response();
                }
                response
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl Calls {
    fn get(&self, query: &HashMap<String, String>) -> Response<Body> {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let limit = text("Limit").parse().unwrap_or(usize::MAX);
        let state = self.0.lock();
        let rows = state.rows.values().filter(|row| {
            row.table == text("Table") && row.part == text("part") && *row.key >= *text("From")
        });
        let mut rows: Vec<Row> = rows.cloned().collect();
        drop(state);
        let mut answer = self.0.answer(Vec::new());
        answer.has_more = rows.len() > limit;
        rows.truncate(limit);
        answer.rows = rows;
        json(StatusCode::OK, &answer)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let table = query.get("Table").cloned().unwrap_or_default();
        let deadline = Duration::from_millis(number("WaitMs").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + deadline;
        let mut version = self.0.version.subscribe();
        loop {
            version.borrow_and_update();
            let rows: Vec<Row> = {
                let state = self.0.lock();
                if after < state.oldest {
                    return status(StatusCode::GONE);
                }
                let newer = |row: &&Row| row.table == table && row.ver > Some(after);
                state.history.iter().filter(newer).cloned().collect()
            };
            if !rows.is_empty() {
                return json(StatusCode::OK, &self.0.answer(rows));
            }
            let changed = tokio::time::timeout_at(deadline, version.changed()).await;
            if changed.is_err() {
                return json(StatusCode::OK, &self.0.answer(Vec::new()));
            }
        }
    }

    fn commit(&self, body: &[u8]) -> Response<Body> {
        let Ok(commit) = serde_json::from_slice::<Commit>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let holds = commit.expect.iter().all(|expected| {
            let state = self.0.lock();
            let found = state.rows.get(&expected.full_key()).and_then(|row| row.ver);
            found.unwrap_or(0) == expected.ver.unwrap_or(0)
        });
        if !holds {
            return json(
                StatusCode::PRECONDITION_FAILED,
                &self.0.answer(commit.expect),
            );
        }
        let deletes = commit.deletes.into_iter().map(|row| Row {
            deleted: true,
            ..row
        });
        let rows = commit.puts.into_iter().chain(deletes).collect();
        let version = self.0.write(rows);
        let mut answer = self.0.answer(Vec::new());
        answer.ver = version;
        json(StatusCode::OK, &answer)
    }
}

fn status(status: StatusCode) -> Response<Body> {
    json(status, &"refused")
}

/// Splits a query; the stand-in's callers escape nothing but what `%XX` says.
fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect()
}

fn unescape(text: &str) -> String {
    let mut out = String::new();
    let mut parts = text.split('%');
    out.push_str(parts.next().unwrap_or_default());
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        let byte = u8::from_str_radix(code, 16).unwrap_or(b'?');
        out.push(char::from(byte));
        out.push_str(rest);
    }
    out
}
