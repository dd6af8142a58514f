//! HTTP client of the platform's store.
//!
//! The platform identifies a row by table, part and key. A [`store::Row`] with the key `TABLE/KEY`
//! is stored in the table `TABLE`, with an empty part and the key `KEY`.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};

use crate::error::{Error, Result};
use crate::http::{Body, Pool, full};
use crate::platform::wire::{Answer, Commit, Row};
use crate::store::{self, Change, Changes, Era, Feed, Position, Snapshot, Table, Transaction};

/// Timeout of a request. The store responds within a few milliseconds, or a few hundred when it is
/// slow.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time allowed for the response to a long poll after its wait has ended: twice what the store
/// needs when it is slow. It is short because a dead connection delays new versions for a whole
/// data centre until the poll times out.
const POLL_MARGIN: Duration = Duration::from_millis(600);
/// Maximum number of rows in a response, by the platform's contract.
const PAGE_ROWS: usize = 500;
/// Maximum size of a response: a page of rows holds up to 1 MB of values, which base64 enlarges.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Header of every response that names the era.
const ERA: &str = "store-era";

/// Client of the platform's store.
pub struct Store {
    pool: Pool,
    era: Arc<Era>,
}

/// A response of the store.
struct Reply {
    status: StatusCode,
    body: Bytes,
    /// Era of the store; 0 if the response names none.
    era: u64,
}

impl Store {
    /// Creates a client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            pool: Pool::new(address),
            era: Arc::default(),
        })
    }

    /// The highest era that this client has seen or been told of.
    #[must_use]
    pub fn era(&self) -> &Arc<Era> {
        &self.era
    }

    /// Sends a request and records the era of the response, whatever its status. Fails for a response
    /// of a lower era than the known one, which comes from a replica that is behind.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply> {
        let request: Request<Body> = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "store")
            .header("content-type", "application/json")
            .body(full(body))
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let response = self
            .pool
            .exchange(request, timeout, MAX_RESPONSE_BYTES)
            .await;
        let response = response.map_err(Error::Unavailable)?;
        let era = era_of(response.headers());
        if !self.era.accept_answer(era) {
            return Err(Error::Unavailable(format!(
                "response of era {era}, but era {} is known",
                self.era.known()
            )));
        }
        Ok(Reply {
            status: response.status(),
            body: response.into_body(),
            era,
        })
    }

    /// Reads one page of rows of a table; returns it with the era of the response.
    async fn read_page(&self, table: &str, query: &str) -> Result<(Answer, u64)> {
        let path = format!("/rows-get?Table={table}&part=&{query}");
        let reply = self
            .call(Method::GET, &path, Bytes::new(), RESPONSE_TIMEOUT)
            .await?;
        match reply.status {
            StatusCode::OK => Ok((parse(&reply.body)?, reply.era)),
            other => Err(unexpected_status("/rows-get", other)),
        }
    }

    /// Reads all rows of a table whose keys start with `prefix`, page by page.
    async fn scan_table(&self, table: &str, prefix: &str) -> Result<Snapshot> {
        let mut snapshot = Snapshot::default();
        let mut from = prefix.to_owned();
        loop {
            let query = format!("From={}&Limit={PAGE_ROWS}", percent_encode(&from));
            let (page, era) = self.read_page(table, &query).await?;
            if from == prefix {
                snapshot.position = Position {
                    version: page.ver,
                    era,
                };
            }
            if snapshot.position.era != era {
                return Err(Error::Unavailable("restored between two pages".into()));
            }
            let last_key = page.rows.last().map(|row| row.key.clone());
            let has_prefix = |row: &Row| row.key.starts_with(prefix);
            snapshot
                .rows
                .extend(page.rows.into_iter().filter(has_prefix).filter_map(decode));
            match last_key {
                // `From` is inclusive, so the next page starts just above the last key.
                Some(last) if page.has_more && last.starts_with(prefix) => {
                    from = format!("{last}\u{1}");
                }
                _ => return Ok(snapshot),
            }
        }
    }
}

fn unexpected_status(path: &str, status: StatusCode) -> Error {
    Error::Unavailable(format!("unexpected status {status} for {path}"))
}

/// Era that the headers of a response name; 0 if they name none.
fn era_of(headers: &hyper::HeaderMap) -> u64 {
    let value = headers.get(ERA).and_then(|value| value.to_str().ok());
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or_default()
}

fn parse(bytes: &[u8]) -> Result<Answer> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::Unavailable(format!("malformed response: {error}")))
}

/// Splits the key of a [`store::Row`] into table and key.
fn split_key(key: &str) -> (&str, &str) {
    key.split_once('/').unwrap_or(("", key))
}

/// Percent-encodes a value of the query string.
fn percent_encode(text: &str) -> String {
    let mut escaped = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}

/// Converts a row of the platform; logs a warning and returns `None` if its value is not base64.
fn decode(row: Row) -> Option<store::Row> {
    let key = format!("{}/{}", row.table, row.key);
    let bytes = match STANDARD.decode(row.value.unwrap_or_default()) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(
                event = "row_unreadable",
                key = key.as_str();
                "row value is not base64; the row is ignored: {error}"
            );
            return None;
        }
    };
    Some(store::Row {
        key,
        value: String::from_utf8_lossy(&bytes).into_owned(),
        revision: row.ver.unwrap_or_default(),
    })
}

fn reference(key: &str) -> Row {
    let (table, key) = split_key(key);
    Row::reference(table, key)
}

fn encode(transaction: &Transaction) -> Commit {
    let mut commit = Commit {
        expect: Vec::new(),
        puts: Vec::new(),
        deletes: Vec::new(),
    };
    for condition in &transaction.conditions {
        commit.expect.push(Row {
            ver: Some(condition.revision),
            ..reference(&condition.key)
        });
    }
    for write in &transaction.writes {
        match &write.value {
            Some(value) => {
                let (table, key) = split_key(&write.key);
                commit.puts.push(Row::put(table, key, value));
            }
            None => commit.deletes.push(reference(&write.key)),
        }
    }
    commit
}

#[async_trait]
impl Table for Store {
    async fn get(&self, key: &str) -> Result<Option<store::Row>> {
        let (table, row) = split_key(key);
        let query = format!("From={}&Limit=1", percent_encode(row));
        let rows = self.read_page(table, &query).await?.0.rows;
        let found = rows.into_iter().find(|found| found.key == row);
        Ok(found.and_then(decode))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<store::Row>> {
        let (table, prefix) = split_key(prefix);
        Ok(self.scan_table(table, prefix).await?.rows)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64> {
        let commit = encode(transaction);
        let body =
            serde_json::to_vec(&commit).map_err(|error| Error::Unavailable(error.to_string()))?;
        let reply = self
            .call(Method::POST, "/rows-tx", body.into(), RESPONSE_TIMEOUT)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(parse(&reply.body)?.ver),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(
                String::from_utf8_lossy(&reply.body).into_owned(),
            )),
            other => Err(unexpected_status("/rows-tx", other)),
        }
    }
}

#[async_trait]
impl Feed for Store {
    async fn snapshot(&self, table: &str) -> Result<Snapshot> {
        self.scan_table(table, "").await
    }

    async fn changes(&self, table: &str, after: Position, wait: Duration) -> Result<Changes> {
        let wait_ms = wait.as_millis();
        let version = after.version;
        let path = format!("/rows-feed?Table={table}&after={version}&WaitMs={wait_ms}");
        let mut known_era = self.era.subscribe();
        let poll = self.call(Method::GET, &path, Bytes::new(), wait + POLL_MARGIN);
        let reply = tokio::select! {
            reply = poll => reply?,
            // Another call or a peer has shown that the position is of a former era.
            _ = known_era.wait_for(|known| *known != after.era) => return Ok(Changes::HistoryLost),
        };
        if reply.era != 0 && reply.era != after.era {
            return Ok(Changes::HistoryLost);
        }
        match reply.status {
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(Changes::HistoryLost),
            other => return Err(unexpected_status("/rows-feed", other)),
        }
        let answer = parse(&reply.body)?;
        let changes = answer.rows.into_iter().filter_map(|row| {
            if row.deleted {
                return Some(Change::Deleted(format!("{}/{}", row.table, row.key)));
            }
            decode(row).map(Change::Written)
        });
        Ok(Changes::Batch {
            changes: changes.collect(),
            position: Position {
                version: answer.ver,
                era: after.era,
            },
        })
    }
}
