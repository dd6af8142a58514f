//! Client of the platform's store. A row `TABLE/KEY` of the product is the row `KEY` with an empty
//! `part` in the table `TABLE`.

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
use crate::store::{self, Change, Changes, Feed, Snapshot, Table, Transaction};

/// Time for an answer. The store answers in a few milliseconds, and in some hundred when it is
/// slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for the answer of a long poll beyond its wait: twice what the store takes when it is slow.
/// Until it ends, a connection that has gone silent holds versions up for a whole data centre.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Rows in one answer at most, by the platform's contract.
const PAGE_ROWS: usize = 500;
/// Bytes of one answer at most: a page of rows is bounded by 1 MB of values, more as base64.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Client of the platform's store.
pub struct Store {
    pool: Pool,
}

impl Store {
    /// A client of the store at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            pool: Pool::new(address),
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let request: Request<Body> = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "store")
            .header("content-type", "application/json")
            .body(full(body))
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let answer = self.pool.exchange(request, timeout, MAX_ANSWER_BYTES).await;
        answer.map_err(Error::Unavailable)
    }

    async fn rows(&self, table: &str, query: &str) -> Result<Answer> {
        let path = format!("/rows-get?Table={table}&part=&{query}");
        let (status, bytes) = self
            .call(Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => parse(&bytes),
            other => Err(unavailable(other)),
        }
    }

    /// All rows of a table from `from` on whose keys begin with `prefix`.
    async fn scan_table(&self, table: &str, prefix: &str) -> Result<Snapshot> {
        let mut snapshot = Snapshot::default();
        let mut from = prefix.to_owned();
        loop {
            let query = format!("From={}&Limit={PAGE_ROWS}", escape(&from));
            let answer = self.rows(table, &query).await?;
            if snapshot.rows.is_empty() {
                snapshot.position = answer.ver;
            }
            let last = answer.rows.last().map(|row| row.key.clone());
            let fits = |row: &Row| row.key.starts_with(prefix);
            snapshot
                .rows
                .extend(answer.rows.into_iter().filter(fits).filter_map(decode));
            match last {
                // The smallest key above the last one.
                Some(last) if answer.has_more && last.starts_with(prefix) => {
                    from = format!("{last}\u{1}");
                }
                _ => return Ok(snapshot),
            }
        }
    }
}

fn unavailable(status: StatusCode) -> Error {
    Error::Unavailable(format!("status {status}"))
}

fn parse(bytes: &[u8]) -> Result<Answer> {
    serde_json::from_slice(bytes).map_err(|error| Error::Unavailable(error.to_string()))
}

/// Splits a key of the product into table and key.
fn split(key: &str) -> (&str, &str) {
    key.split_once('/').unwrap_or(("", key))
}

fn escape(text: &str) -> String {
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

/// A row in the product's terms; `None` with a log line if its value is no base64.
fn decode(row: Row) -> Option<store::Row> {
    let key = format!("{}/{}", row.table, row.key);
    let bytes = match STANDARD.decode(row.value.unwrap_or_default()) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(event = "row_unreadable", key = key.as_str(); "{error}");
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
    let (table, key) = split(key);
    Row::reference(table, key)
}

fn encode(transaction: &Transaction) -> Commit {
    let mut change = Commit {
        expect: Vec::new(),
        puts: Vec::new(),
        deletes: Vec::new(),
    };
    for condition in &transaction.conditions {
        change.expect.push(Row {
            ver: Some(condition.revision),
            ..reference(&condition.key)
        });
    }
    for write in &transaction.writes {
        match &write.value {
            Some(value) => {
                let (table, key) = split(&write.key);
                change.puts.push(Row::put(table, key, value));
            }
            None => change.deletes.push(reference(&write.key)),
        }
    }
    change
}

#[async_trait]
impl Table for Store {
    async fn get(&self, key: &str) -> Result<Option<store::Row>> {
        let (table, row) = split(key);
        let query = format!("From={}&Limit=1", escape(row));
        let rows = self.rows(table, &query).await?.rows;
        let found = rows.into_iter().find(|found| found.key == row);
        Ok(found.and_then(decode))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<store::Row>> {
        let (table, prefix) = split(prefix);
        Ok(self.scan_table(table, prefix).await?.rows)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64> {
        let change = encode(transaction);
        let body =
            serde_json::to_vec(&change).map_err(|error| Error::Unavailable(error.to_string()))?;
        let (status, bytes) = self
            .call(Method::POST, "/rows-tx", body.into(), ANSWER_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => Ok(parse(&bytes)?.ver),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(
                String::from_utf8_lossy(&bytes).into_owned(),
            )),
            other => Err(unavailable(other)),
        }
    }
}

#[async_trait]
impl Feed for Store {
    async fn snapshot(&self, table: &str) -> Result<Snapshot> {
        self.scan_table(table, "").await
    }

    async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Changes> {
        let wait_ms = wait.as_millis();
        let path = format!("/rows-feed?Table={table}&after={after}&WaitMs={wait_ms}");
        let (status, bytes) = self
            .call(Method::GET, &path, Bytes::new(), wait + POLL_TIMEOUT)
            .await?;
        match status {
            StatusCode::OK => {}
            StatusCode::GONE => return Ok(Changes::HistoryLost),
            other => return Err(unavailable(other)),
        }
        let answer = parse(&bytes)?;
        let changes = answer.rows.into_iter().filter_map(|row| {
            if row.deleted {
                return Some(Change::Deleted(format!("{}/{}", row.table, row.key)));
            }
            decode(row).map(Change::Written)
        });
        Ok(Changes::Next {
            changes: changes.collect(),
            position: answer.ver,
        })
    }
}
