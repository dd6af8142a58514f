//! A stand-in target: an HTTP server with a limited number of slots and a set service time, which
//! can be slowed down and crashed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::error::Result;
use crate::http::{Body, Handler, Server, full, read_whole};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const LONG_QUERY: &str = "long";
const CRASH_QUERY: &str = "crash";
const OVERLOAD_STATUS: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// How a stand-in target behaves.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Name, with which every answer's body begins.
    pub name: String,
    /// Most requests that run at the same time. A request beyond that is shed: it gets a 503 without
    /// a verdict header.
    pub slots: u32,
    /// Run time of a request.
    pub service_time: Duration,
    /// Run time of a request whose query contains `long`, as a multiple of `service_time`.
    pub long_multiple: u32,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            name: "target".into(),
            slots: 12,
            service_time: Duration::from_millis(1),
            long_multiple: 50,
        }
    }
}

struct Shared {
    options: TargetOptions,
    /// Factor on the service time.
    slowdown: AtomicU32,
    running: AtomicU32,
    peak_running: AtomicU32,
    served: AtomicU64,
    shed: AtomicU64,
    runs_by_key: Mutex<HashMap<String, u32>>,
    /// Number of crashes; each change ends all requests in flight.
    crashes: tokio::sync::watch::Sender<u32>,
}

/// A running stand-in target.
///
/// A request whose query contains `crash` simulates a crash at the end of its service time: the
/// connections of all requests in flight break without an answer. The listener stays open, so that
/// later requests run, as after a restart.
pub struct Target {
    shared: Arc<Shared>,
    server: Option<Server>,
    address: SocketAddr,
}

impl Target {
    /// Starts a target at `address`.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn start(address: SocketAddr, options: TargetOptions) -> Result<Self> {
        let shared = Arc::new(Shared {
            options,
            slowdown: AtomicU32::new(1),
            running: AtomicU32::new(0),
            peak_running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            runs_by_key: Mutex::new(HashMap::new()),
            crashes: tokio::sync::watch::Sender::new(0),
        });
        let handler = Arc::new(Endpoint {
            shared: shared.clone(),
        });
        let server = Server::start(address, handler)?;
        Ok(Self {
            shared,
            address: server.address(),
            server: Some(server),
        })
    }

    /// Address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Multiplies the configured service time of later requests by `factor`.
    pub fn slow_down(&self, factor: u32) {
        self.shared.slowdown.store(factor, Ordering::Relaxed);
    }

    /// Number of requests that ran to completion.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.shared.served.load(Ordering::Relaxed)
    }

    /// Number of requests refused with 503 because all slots were taken.
    #[must_use]
    pub fn shed(&self) -> u64 {
        self.shared.shed.load(Ordering::Relaxed)
    }

    /// Highest number of requests that ran at the same time.
    #[must_use]
    pub fn peak_running(&self) -> u32 {
        self.shared.peak_running.load(Ordering::Relaxed)
    }

    /// Number of requests running now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Number of crashes so far.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        *self.shared.crashes.borrow()
    }

    /// Number of runs of each idempotency key.
    #[must_use]
    pub fn runs_by_key(&self) -> HashMap<String, u32> {
        lock(&self.shared.runs_by_key).clone()
    }

    /// Closes the listener; requests in flight are still answered.
    pub fn close(&mut self) {
        self.server = None;
    }
}

struct Endpoint {
    shared: Arc<Shared>,
}

/// Counts a request as running until dropped.
struct Slot<'a>(&'a Shared);

impl<'a> Slot<'a> {
    /// Takes a slot, or counts the request as shed.
    fn acquire(shared: &'a Shared) -> Option<Self> {
        let running_before = shared.running.fetch_add(1, Ordering::Relaxed);
        let slot = Self(shared);
        if running_before >= shared.options.slots {
            shared.shed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        shared
            .peak_running
            .fetch_max(running_before + 1, Ordering::Relaxed);
        Some(slot)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let shared = &*self.shared;
        let mut crashes = shared.crashes.subscribe();
        tokio::select! {
            response = run(shared, request) => response,
            // Ends the connection's task without an answer; unlike `panic!`, it calls no panic hook.
            _ = crashes.changed() => std::panic::resume_unwind(Box::new("target crashed")),
        }
    }
}

async fn run(shared: &Shared, request: Request<Incoming>) -> Response<Body> {
    let Some(_slot) = Slot::acquire(shared) else {
        let mut response = Response::new(full("busy"));
        *response.status_mut() = OVERLOAD_STATUS;
        return response;
    };
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or_default();
    let Ok(body) = read_whole(body, MAX_BODY_BYTES).await else {
        return Response::new(full("cut off"));
    };
    if let Some(key) = head.headers.get("idempotency-key") {
        let key = key.to_str().unwrap_or_default().to_owned();
        *lock(&shared.runs_by_key).entry(key).or_default() += 1;
    }
    let mut service_time = shared.options.service_time * shared.slowdown.load(Ordering::Relaxed);
    if query.contains(LONG_QUERY) {
        service_time *= shared.options.long_multiple;
    }
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    if query.contains(CRASH_QUERY) {
        shared.crashes.send_modify(|crashes| *crashes += 1);
        return std::future::pending().await;
    }
    shared.served.fetch_add(1, Ordering::Relaxed);
    let name = &shared.options.name;
    Response::new(full(format!(
        "{name} {} {} {}\n",
        head.method,
        head.uri,
        body.len()
    )))
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
