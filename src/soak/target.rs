//! A target that sends heartbeats, runs requests and reports each run to the checker.

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
use crate::soak::checker::Checker;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: u32 = 8;
/// Default time that a request takes.
pub(super) const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Time within which an earlier listener has to release its address.
const REBIND_LIMIT: Duration = Duration::from_secs(2);
/// Pause between attempts to bind the address again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// State of one incarnation, shared by its request handler and its heartbeat task.
struct Shared {
    /// The state that heartbeats report.
    heartbeat: Mutex<Heartbeat>,
    checker: Arc<Checker>,
    service_time_ms: AtomicU64,
    stopped: AtomicBool,
}

/// A running target.
pub(super) struct Target {
    shared: Arc<Shared>,
    /// Connections to the heartbeat listener of the node.
    heartbeat_pool: Pool,
    address: SocketAddr,
    server: Option<Server>,
}

impl Target {
    /// Starts a target of `service` at `address` that sends its heartbeats to `heartbeat_listener`.
    pub(super) fn start(
        service: &str,
        address: SocketAddr,
        heartbeat_listener: SocketAddr,
        checker: &Arc<Checker>,
    ) -> Result<Self> {
        let shared = Arc::new(Shared::new(service, checker.clone()));
        let server = Server::start(address, Arc::new(RequestHandler(shared.clone())))?;
        let target = Self {
            shared,
            heartbeat_pool: Pool::new(heartbeat_listener),
            address,
            server: Some(server),
        };
        tokio::spawn(send_heartbeats(
            target.shared.clone(),
            target.heartbeat_pool.clone(),
        ));
        Ok(target)
    }

    /// Sets the time that each request takes.
    pub(super) fn set_service_time(&self, service_time: Duration) {
        self.shared
            .service_time_ms
            .store(whole_millis(service_time), Ordering::Relaxed);
    }

    /// Sends a draining heartbeat; returns whether it was acknowledged.
    pub(super) async fn drain(&self) -> bool {
        self.shared.lock().phase = Phase::Draining;
        self.shared.send_heartbeat(&self.heartbeat_pool).await
    }

    /// Stops heartbeats and closes the listener. Unlike in a crash, requests in flight are still
    /// answered.
    pub(super) fn stop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.server = None;
    }

    /// Stops the target and starts another with a new id at the same address.
    pub(super) async fn replace(&mut self) -> Result<()> {
        self.stop();
        let service = self.shared.lock().service.clone();
        let shared = Arc::new(Shared::new(&service, self.shared.checker.clone()));
        self.server = Some(rebind(self.address, &shared).await?);
        tokio::spawn(send_heartbeats(shared.clone(), self.heartbeat_pool.clone()));
        self.shared = shared;
        Ok(())
    }
}

/// Binds the address of a server that was just dropped; its listener takes a moment to close.
async fn rebind(address: SocketAddr, shared: &Arc<Shared>) -> Result<Server> {
    let began = std::time::Instant::now();
    loop {
        match Server::start(address, Arc::new(RequestHandler(shared.clone()))) {
            Ok(server) => return Ok(server),
            Err(error) if began.elapsed() > REBIND_LIMIT => return Err(error.into()),
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

/// Heartbeat of a new incarnation, with a random id.
fn initial_heartbeat(service: &str) -> Heartbeat {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default();
    Heartbeat {
        id: format!("t-{:08x}", rand::random::<u32>()),
        started_ms: whole_millis(now),
        sequence: 0,
        service: service.to_owned(),
        slots: SLOTS,
        phase: Phase::Ready,
        cold_left: Duration::ZERO,
        version: "v1".into(),
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

async fn send_heartbeats(shared: Arc<Shared>, pool: Pool) {
    while !shared.stopped.load(Ordering::Relaxed) {
        shared.send_heartbeat(&pool).await;
        tokio::time::sleep(HEARTBEAT_PERIOD).await;
    }
}

impl Shared {
    fn new(service: &str, checker: Arc<Checker>) -> Self {
        Self {
            heartbeat: Mutex::new(initial_heartbeat(service)),
            checker,
            service_time_ms: AtomicU64::new(whole_millis(SERVICE_TIME)),
            stopped: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Heartbeat> {
        self.heartbeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    async fn send_heartbeat(&self, pool: &Pool) -> bool {
        let heartbeat = {
            let mut heartbeat = self.lock();
            heartbeat.sequence += 1;
            heartbeat.clone()
        };
        let (path, body) = sample::heartbeat(&heartbeat);
        let request = Request::builder()
            .method(Method::PUT)
            .uri(path)
            .header("host", "registry")
            .body(full(body));
        let Ok(request) = request else { return false };
        let result = tokio::time::timeout(HEARTBEAT_TIMEOUT, pool.send(request)).await;
        let acknowledged = matches!(result, Ok(Ok(response)) if response.status().is_success());
        if acknowledged && heartbeat.phase == Phase::Draining {
            self.checker.record_drain(&heartbeat.id);
        }
        acknowledged
    }
}

/// Runs the target's requests.
struct RequestHandler(Arc<Shared>);

#[async_trait]
impl Handler for RequestHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let _ = read_whole(body, 1024 * 1024).await;
        let heartbeat = self.0.lock().clone();
        let Some(received) = sample::parse_headers(&head.headers) else {
            self.0.checker.record_violation(format!(
                "request {path} reached {} without the headers of the mesh",
                heartbeat.id
            ));
            return Response::new(full("unmarked"));
        };
        let mut response = if received.expected == heartbeat.id {
            self.0.checker.record_run(&received, &path, &heartbeat);
            let service_time_ms = self.0.service_time_ms.load(Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(service_time_ms)).await;
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
