//! An in-memory platform with injectable faults, and an HTTP server for it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::error::{Error, Result};
use crate::http::{Body, Handler, Server, empty, full, json, read_whole};
use crate::store::{Objects, Platform, Row, Rows, Table, Transaction};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Fault to inject into every call to the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every call fails.
    Down,
    /// Every call is delayed by this long.
    Slow(Duration),
    /// Writes are applied, but reported as failed. Reads succeed.
    LoseAnswers,
    /// Transactions fail without being applied. Reads and object writes succeed.
    LoseWrites,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: HashMap<String, Bytes>,
    revision: u64,
    fault: Fault,
}

/// A platform whose table and objects are in memory.
#[derive(Default)]
pub struct MemoryPlatform {
    state: Mutex<State>,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl MemoryPlatform {
    /// An empty platform.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// A handle through which nodes and operators use this platform.
    #[must_use]
    pub fn handle(self: &Arc<Self>) -> Platform {
        Platform {
            table: self.clone(),
            objects: self.clone(),
        }
    }

    /// Injects a fault into every later call, in place of an earlier one.
    pub fn inject(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Number of reads so far: of rows, of ranges of rows and of objects.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Number of writes so far: stored objects and transactions, conflicting and lost ones included.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the faults that concern reads and writes alike.
    async fn apply_fault_before_call(&self) -> Result<()> {
        let fault = self.lock().fault;
        match fault {
            Fault::Down => Err(Error::Unavailable("the platform is down".into())),
            Fault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(())
            }
            Fault::None | Fault::LoseAnswers | Fault::LoseWrites => Ok(()),
        }
    }

    /// Fails an applied write if its answer is to be lost.
    fn apply_fault_after_write(&self) -> Result<()> {
        match self.lock().fault {
            Fault::LoseAnswers => Err(Error::Unavailable("the answer was lost".into())),
            _ => Ok(()),
        }
    }
}

impl State {
    fn apply(&mut self, transaction: &Transaction) -> Result<u64> {
        for condition in &transaction.conditions {
            let revision = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            if revision != condition.revision {
                let message = format!("row {} has revision {revision}", condition.key);
                return Err(Error::Conflict(message));
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            let key = write.key.clone();
            match &write.value {
                Some(value) => {
                    let row = Row {
                        key: key.clone(),
                        value: value.clone(),
                        revision: self.revision,
                    };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        Ok(self.revision)
    }
}

#[async_trait]
impl Table for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        self.apply_fault_before_call().await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.lock().rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        self.apply_fault_before_call().await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        let state = self.lock();
        let rows = state.rows.range(prefix.to_owned()..);
        let matching = rows.take_while(|(key, _)| key.starts_with(prefix));
        Ok(matching.map(|(_, row)| row.clone()).collect())
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64> {
        self.apply_fault_before_call().await?;
        self.writes.fetch_add(1, Ordering::Relaxed);
        if self.lock().fault == Fault::LoseWrites {
            return Err(Error::Unavailable("the write was lost".into()));
        }
        let revision = self.lock().apply(transaction)?;
        self.apply_fault_after_write()?;
        Ok(revision)
    }
}

#[async_trait]
impl Objects for MemoryPlatform {
    async fn fetch(&self, name: &str) -> Result<Option<Bytes>> {
        self.apply_fault_before_call().await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn store(&self, name: &str, bytes: Bytes) -> Result<()> {
        self.apply_fault_before_call().await?;
        self.writes.fetch_add(1, Ordering::Relaxed);
        self.lock().objects.insert(name.to_owned(), bytes);
        self.apply_fault_after_write()
    }
}

/// Serves a [`MemoryPlatform`] over the platform's HTTP protocol.
///
/// `PUT /fault` with the body `none`, `down`, `slow N` (milliseconds), `lose-answers` or
/// `lose-writes` injects that [`Fault`].
pub struct PlatformServer {
    server: Server,
}

impl PlatformServer {
    /// Starts to serve `platform` at `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(address: SocketAddr, platform: Arc<MemoryPlatform>) -> Result<Self> {
        let server = Server::start(address, Arc::new(Endpoint { platform }))?;
        Ok(Self { server })
    }

    /// Address that the server is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

struct Endpoint {
    platform: Arc<MemoryPlatform>,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match self.respond(request).await {
            Ok(response) => response,
            Err(Error::Conflict(message)) => json(StatusCode::CONFLICT, &message),
            Err(error) => json(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        }
    }
}

impl Endpoint {
    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Body>> {
        let (head, body) = request.into_parts();
        let bytes = read_whole(body, MAX_BODY_BYTES)
            .await
            .map_err(Error::Unavailable)?;
        let query = head.uri.query().unwrap_or_default();
        let path = head.uri.path();
        let platform = &self.platform;
        match (&head.method, path.strip_prefix("/objects/")) {
            (&Method::GET, Some(name)) => Ok(found_or_404(platform.fetch(name).await?.map(full))),
            (&Method::PUT, Some(name)) => {
                platform.store(name, bytes).await?;
                Ok(Response::new(empty()))
            }
            (&Method::GET, None) if path == "/table/row" => {
                let row = platform.get(query).await?;
                Ok(found_or_404(row.map(|row| {
                    full(serde_json::to_vec(&row).unwrap_or_default())
                })))
            }
            (&Method::GET, None) if path == "/table/scan" => {
                let rows = platform.scan(query).await?;
                Ok(json(StatusCode::OK, &Rows { rows }))
            }
            (&Method::POST, None) if path == "/table/transact" => {
                let transaction = serde_json::from_slice(&bytes)
                    .map_err(|error| Error::Unavailable(error.to_string()))?;
                let revision = platform.transact(&transaction).await?;
                Ok(json(StatusCode::OK, &revision))
            }
            (&Method::PUT, None) if path == "/fault" => {
                platform.inject(parse_fault(&String::from_utf8_lossy(&bytes)));
                Ok(Response::new(empty()))
            }
            _ => Ok(found_or_404(None)),
        }
    }
}

/// 200 with `body`, or 404 if there is none.
fn found_or_404(body: Option<Body>) -> Response<Body> {
    let status = if body.is_some() {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    let mut response = Response::new(body.unwrap_or_else(empty));
    *response.status_mut() = status;
    response
}

/// Reads the body of `PUT /fault`; anything unknown means no fault.
fn parse_fault(text: &str) -> Fault {
    match text.trim().split_once(' ') {
        Some(("slow", delay)) => Fault::Slow(Duration::from_millis(delay.parse().unwrap_or(0))),
        _ => match text.trim() {
            "down" => Fault::Down,
            "lose-answers" => Fault::LoseAnswers,
            "lose-writes" => Fault::LoseWrites,
            _ => Fault::None,
        },
    }
}
