//! A target that sends heartbeats, runs requests, and records each run.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};

use crate::dialect::{Heartbeat, Phase};
use crate::error::Result;
use crate::http::{Body, Handler, Pool, Server, full, read_whole};
use crate::platform::sample;
use crate::soak::ledger::Ledger;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: u32 = 8;
/// Time for an earlier listener to close.
const REBIND_LIMIT: Duration = Duration::from_secs(2);
const REBIND_PAUSE: Duration = Duration::from_millis(10);

struct Shared {
    state: Mutex<Heartbeat>,
    ledger: Arc<Ledger>,
    delay_ms: AtomicU64,
    stopped: AtomicBool,
}

/// A running target.
pub(super) struct Target {
    shared: Arc<Shared>,
    registry: Pool,
    address: SocketAddr,
    server: Option<Server>,
}

impl Target {
    /// Starts a target of `service` at `address` that sends heartbeats to the node at `registry`.
    pub(super) fn start(
        service: &str,
        address: SocketAddr,
        registry: SocketAddr,
        ledger: &Arc<Ledger>,
    ) -> Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(newborn(service)),
            ledger: ledger.clone(),
            delay_ms: AtomicU64::new(10),
            stopped: AtomicBool::new(false),
        });
        let server = Server::start(address, Arc::new(Runs(shared.clone())))?;
        let target = Self {
            shared,
            registry: Pool::new(registry),
            address,
            server: Some(server),
        };
        tokio::spawn(beat(target.shared.clone(), target.registry.clone()));
        Ok(target)
    }

    /// Time that each request takes.
    pub(super) fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Announces that the target leaves, and waits for the acknowledgement.
    pub(super) async fn drain(&self) -> bool {
        self.shared.lock().phase = Phase::Draining;
        self.shared.send(&self.registry).await
    }

    /// Closes all connections, as in a crash.
    pub(super) fn crash(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.server = None;
    }

    /// Starts anew under another identity.
    pub(super) async fn replace(&mut self) -> Result<()> {
        self.crash();
        let service = self.shared.lock().service.clone();
        let ledger = self.shared.ledger.clone();
        let shared = Arc::new(Shared {
            state: Mutex::new(newborn(&service)),
            ledger,
            delay_ms: AtomicU64::new(10),
            stopped: AtomicBool::new(false),
        });
        self.server = Some(start_again(self.address, &shared).await?);
        tokio::spawn(beat(shared.clone(), self.registry.clone()));
        self.shared = shared;
        Ok(())
    }
}

/// Listens at an address that was just given up; the earlier listener needs a moment to close.
async fn start_again(address: SocketAddr, shared: &Arc<Shared>) -> Result<Server> {
    let began = std::time::Instant::now();
    loop {
        match Server::start(address, Arc::new(Runs(shared.clone()))) {
            Ok(server) => return Ok(server),
            Err(error) if began.elapsed() > REBIND_LIMIT => return Err(error.into()),
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

fn newborn(service: &str) -> Heartbeat {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis();
    Heartbeat {
        id: format!("t-{:08x}", rand::random::<u32>()),
        started_ms: u64::try_from(now).unwrap_or(u64::MAX),
        sequence: 0,
        service: service.to_owned(),
        slots: SLOTS,
        phase: Phase::Ready,
        cold_left: Duration::ZERO,
    }
}

async fn beat(shared: Arc<Shared>, registry: Pool) {
    while !shared.stopped.load(Ordering::Relaxed) {
        shared.send(&registry).await;
        tokio::time::sleep(HEARTBEAT_PERIOD).await;
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Heartbeat> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    async fn send(&self, registry: &Pool) -> bool {
        let beat = {
            let mut state = self.lock();
            state.sequence += 1;
            state.clone()
        };
        let (path, body) = sample::heartbeat(&beat);
        let request = Request::builder()
            .method(Method::PUT)
            .uri(path)
            .header("host", "registry")
            .body(full(body));
        let Ok(request) = request else { return false };
        let sent = tokio::time::timeout(HEARTBEAT_TIMEOUT, registry.send(request)).await;
        let acknowledged = matches!(sent, Ok(Ok(response)) if response.status().is_success());
        if acknowledged && beat.phase == Phase::Draining {
            self.ledger.acknowledged_leaving(&beat.id);
        }
        acknowledged
    }
}

/// The target's requests.
struct Runs(Arc<Shared>);

#[async_trait]
impl Handler for Runs {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let _ = read_whole(body, 1024 * 1024).await;
        let state = self.0.lock().clone();
        let Some(received) = sample::parse_headers(&head.headers) else {
            self.0
                .ledger
                .violation(format!("unmarked request {path} at {}", state.id));
            return Response::new(full("unmarked"));
        };
        let mut response = if received.expected == state.id {
            self.0.ledger.ran(&received, &path, &state);
            let delay = self.0.delay_ms.load(Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            Response::new(full(format!("{} {path}", received.request_id)))
        } else {
            let mut response = Response::new(full("other"));
            let status = StatusCode::from_u16(sample::misdirected_status());
            *response.status_mut() = status.unwrap_or(StatusCode::CONFLICT);
            sample::mark_not_run(response.headers_mut());
            response
        };
        sample::mark_response(response.headers_mut(), &received.request_id);
        response
    }
}
