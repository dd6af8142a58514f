//! A stand-in for the platform's store as sidecar nodes use it: rows, transactions and change feeds
//! in memory, served over HTTP, with injectable faults.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
#[cfg(test)]
use base64::Engine;
#[cfg(test)]
use base64::engine::general_purpose::STANDARD;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::watch;

use crate::error::Result;
use crate::http::{Body, Handler, Server, json, read_whole};
use crate::platform::wire::{Answer, Commit, Row};

const MAX_BODY_BYTES: usize = 1024 * 1024;
/// How long a call under [`StoreFault::Silent`] stays open; longer than any client waits.
const SILENT_CALL_DURATION: Duration = Duration::from_mins(2);

/// Fault to inject into every call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Every call is refused with 503.
    Busy,
    /// Calls get no answer, but their connections stay open.
    Silent,
    /// Connections break off without an answer.
    Reset,
    /// Writes are applied, then their connections break off without an answer. Reads succeed.
    LoseAnswers,
}

/// Table, part and key of a row.
type RowKey = (String, String, String);

/// What the store holds at one moment, to be restored later.
#[derive(Clone, Default)]
pub struct StoreCopy {
    rows: BTreeMap<RowKey, Row>,
    /// Rows written and deleted since `history_start`, in order.
    history: Vec<Row>,
    /// Version after which the history is complete; feeds from an earlier one get 410.
    history_start: u64,
    /// Version of the last write.
    version: u64,
}

struct State {
    data: StoreCopy,
    /// Era in the header of every answer; 0 for a store that names none.
    era: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Version of the last write, for feeds that wait for the next.
    version: watch::Sender<u64>,
    fault: watch::Sender<Option<StoreFault>>,
    calls: AtomicU64,
}

/// A running stand-in store.
pub struct StoreServer {
    shared: Arc<Shared>,
    server: Server,
}

impl StoreServer {
    /// Starts a store on a free loopback port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    #[allow(
        clippy::unused_async,
        reason = "must be called in a tokio runtime, which the server's task runs on"
    )]
    pub async fn start() -> Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts a store at `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start_at(address: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                data: StoreCopy::default(),
                era: 1,
            }),
            version: watch::channel(0).0,
            fault: watch::channel(None).0,
            calls: AtomicU64::new(0),
        });
        let endpoint = Arc::new(Endpoint(shared.clone()));
        let server = Server::start(address, endpoint)?;
        Ok(Self { shared, server })
    }

    /// Address that the store listens at.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault into every later call; `None` ends an earlier one.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.shared.fault.send_replace(fault);
    }

    /// Drops the history, so that feeds from an earlier position get 410.
    pub fn clear_history(&self) {
        let data = &mut self.shared.lock().data;
        data.history.clear();
        data.history_start = data.version;
    }

    /// Copies what the store holds now.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        self.shared.lock().data.clone()
    }

    /// Returns to an older copy under the next era: all later writes are lost, and their versions are
    /// used again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.shared.lock();
        state.era += 1;
        let version = copy.version;
        state.data = copy;
        drop(state);
        self.shared.version.send_replace(version);
    }

    /// Sets the era in the header of every answer, as of a replica that is behind; 0 omits the header.
    pub fn set_era(&self, era: u64) {
        self.shared.lock().era = era;
    }

    /// Number of HTTP requests so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Writes a row without a precondition, as operators do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.shared.write(vec![Row::put(table, key, value)]);
    }

    /// Writes a row whose value is not base64.
    #[cfg(test)]
    pub(crate) fn put_unreadable(&self, table: &str, key: &str) {
        let row = Row {
            value: Some("%".into()),
            ..Row::reference(table, key)
        };
        self.shared.write(vec![row]);
    }

    /// Value of a row with an empty part, if there is one.
    #[cfg(test)]
    pub(crate) fn value(&self, table: &str, key: &str) -> Option<String> {
        let key = Row::reference(table, key).full_key();
        let row = self.shared.lock().data.rows.get(&key)?.clone();
        let bytes = STANDARD.decode(row.value?).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Keys of the rows of a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.shared.lock();
        let keys = state
            .data
            .rows
            .keys()
            .filter(|(row_table, _, _)| row_table == table);
        keys.map(|(_, _, key)| key.clone()).collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies puts and deletes in one write; returns its version.
    fn write(&self, rows: Vec<Row>) -> u64 {
        let mut state = self.lock();
        let data = &mut state.data;
        data.version += 1;
        let version = data.version;
        for mut row in rows {
            row.ver = Some(version);
            let key = row.full_key();
            if row.deleted {
                data.rows.remove(&key);
            } else {
                data.rows.insert(key, row.clone());
            }
            data.history.push(row);
        }
        drop(state);
        self.version.send_replace(version);
        version
    }

    fn answer(&self, rows: Vec<Row>) -> Answer {
        Answer {
            rows,
            has_more: false,
            ver: self.lock().data.version,
        }
    }
}

struct Endpoint(Arc<Shared>);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let era = self.0.lock().era;
        let mut response = self.answer(request).await;
        let era_now = self.0.lock().era;
        if era_now != era {
            // The store was restored meanwhile; the answer may be of either era.
            response = refusal(StatusCode::SERVICE_UNAVAILABLE);
        }
        if era_now > 0 {
            response.headers_mut().insert("store-era", era_now.into());
        }
        response
    }
}

impl Endpoint {
    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let calls = &self.0.calls;
        calls.fetch_add(1, Ordering::Relaxed);
        let fault = *self.0.fault.borrow();
        match fault {
            Some(StoreFault::Busy) => return refusal(StatusCode::SERVICE_UNAVAILABLE),
            Some(StoreFault::Silent) => {
                tokio::time::sleep(SILENT_CALL_DURATION).await;
                return refusal(StatusCode::SERVICE_UNAVAILABLE);
            }
            Some(StoreFault::Reset) => return crate::http::aborted_response(),
            Some(StoreFault::LoseAnswers) | None => {}
        }
        let (head, body) = request.into_parts();
        let query = parse_query(head.uri.query().unwrap_or_default());
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
            _ => refusal(StatusCode::NOT_FOUND),
        }
    }

    fn get(&self, query: &HashMap<String, String>) -> Response<Body> {
        let parameter = |name: &str| query.get(name).map_or("", String::as_str);
        let limit = parameter("Limit").parse().unwrap_or(usize::MAX);
        let state = self.0.lock();
        let rows = state.data.rows.values().filter(|row| {
            row.table == parameter("Table")
                && row.part == parameter("part")
                && *row.key >= *parameter("From")
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
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + wait;
        let mut version = self.0.version.subscribe();
        loop {
            version.borrow_and_update();
            let rows: Vec<Row> = {
                let data = &self.0.lock().data;
                if after < data.history_start || after > data.version {
                    return refusal(StatusCode::GONE);
                }
                let newer = |row: &&Row| row.table == table && row.ver > Some(after);
                data.history.iter().filter(newer).cloned().collect()
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
            return refusal(StatusCode::BAD_REQUEST);
        };
        let preconditions_hold = commit.expect.iter().all(|expected| {
            let state = self.0.lock();
            let version = state
                .data
                .rows
                .get(&expected.full_key())
                .and_then(|row| row.ver);
            version.unwrap_or(0) == expected.ver.unwrap_or(0)
        });
        if !preconditions_hold {
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

fn refusal(status: StatusCode) -> Response<Body> {
    json(status, &"refused")
}

/// Splits a query string into its parameters. Clients of the stand-in use no escape but `%XX`, and
/// only in values.
fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

/// Decodes each `%XX` to the character with that code, not as a UTF-8 byte: correct for ASCII only.
fn percent_decode(text: &str) -> String {
    let mut decoded = String::new();
    let mut parts = text.split('%');
    decoded.push_str(parts.next().unwrap_or_default());
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        let byte = u8::from_str_radix(code, 16).unwrap_or(b'?');
        decoded.push(char::from(byte));
        decoded.push_str(rest);
    }
    decoded
}
