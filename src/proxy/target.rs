//! The local target, which all requests reach through its node: admission, dispatch, health checks
//! and detection of crashes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};

use crate::admission::{Admission, Permit, Ticket};
use crate::http::{Body, BoundedBody, Connection, Pool, ReleasingBody, SendError, full};
use crate::proxy::Proxy;
use crate::proxy::headers::{self, Envelope};
use crate::roster::{Change, Crash, Presence};
use crate::route::Load;
use crate::settings::{Limits, TargetSettings};
use crate::status;
use crate::verdict::{Reason, Refusal};

const HEALTH_CHECK_PERIOD: Duration = Duration::from_millis(200);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive failed health checks after which the target is announced as down.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// Requests lost within this time after the first one count as lost in the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(50);

/// Fingerprints of the requests lost so far in the current crash.
#[derive(Default)]
struct LostRequests {
    fingerprints: Vec<u64>,
}

/// The target that a node serves.
pub(super) struct LocalTarget {
    settings: TargetSettings,
    admission: Arc<Admission>,
    pool: Pool,
    /// Largest body of a response; a target may send bytes without end.
    max_response_bytes: usize,
    lost_requests: Arc<Mutex<LostRequests>>,
    /// Number of the current or next crash.
    crash_number: Arc<AtomicU64>,
    /// Allows one request at a time of those that were in flight at a crash.
    isolation: Semaphore,
    proxy: Weak<Proxy>,
}

impl LocalTarget {
    pub(super) fn new(settings: &TargetSettings, limits: Limits, proxy: Weak<Proxy>) -> Self {
        Self {
            settings: settings.clone(),
            admission: Admission::new(settings.slots, limits.queue),
            pool: Pool::new(settings.address),
            max_response_bytes: limits.response_bytes,
            lost_requests: Arc::default(),
            crash_number: Arc::new(AtomicU64::new(1)),
            isolation: Semaphore::new(1),
            proxy,
        }
    }

    pub(super) fn group(&self) -> &str {
        &self.settings.group
    }

    pub(super) fn load(&self) -> Load {
        self.admission.load()
    }

    pub(super) fn running(&self) -> u32 {
        self.admission.running()
    }

    pub(super) fn drain(&self) {
        self.admission.drain();
    }

    /// Opens connections to the target and checks its health until `stopped` changes or closes.
    pub(super) fn start(&self, mut stopped: watch::Receiver<()>) {
        let proxy = self.proxy.clone();
        let pool = self.pool.clone();
        let settings = self.settings.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = monitor_health(proxy, pool, settings) => {}
                _ = stopped.changed() => {}
            }
        });
    }

    /// Runs a request at the target once it is admitted.
    pub(super) async fn serve(
        &self,
        proxy: &Arc<Proxy>,
        envelope: Envelope,
        deadline: Instant,
        head: hyper::http::request::Parts,
        body: Bytes,
    ) -> Result<Response<Body>, Refusal> {
        let fingerprint = envelope.fingerprint;
        if proxy.suspicions.must_refuse(fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        let _isolation_permit = self.isolate_suspect(proxy, &envelope, deadline).await?;
        let permit = self.admission.admit(ticket(&envelope, deadline)).await?;
        let request = target_request(head, body, deadline);
        let sent = tokio::time::timeout_at(deadline.into(), self.pool.send(request)).await;
        match sent {
            Ok(Ok(response)) if !status::is_final(response.status()) => {
                log::info!(
                    event = "answer_spoiled",
                    status = response.status().as_u16();
                    "answer of the target has an invalid status code; discarding it"
                );
                Err(Refusal::may_have_run(Reason::Spoiled))
            }
            Ok(Ok(response)) if self.is_too_large(&response) => {
                log::info!(
                    event = "answer_spoiled",
                    status = response.status().as_u16();
                    "answer of the target announces more bytes than an answer may have; discarding it"
                );
                Err(Refusal::may_have_run(Reason::Spoiled))
            }
            Ok(Ok(response)) => {
                let response = target_response(proxy, fingerprint, permit, response);
                let limit = self.max_response_bytes;
                Ok(response.map(|body| BoundedBody::new(body, deadline, limit).boxed()))
            }
            Ok(Err(SendError::Unsent(error))) => {
                log::debug!("request not sent to the target; announcing it as down: {error}");
                proxy.membership.set_presence(Presence::Down);
                Err(Refusal::not_run(Reason::ConnectionLost))
            }
            Ok(Err(SendError::Invalid(error))) => {
                // The target has not crashed: it still sends.
                log::info!(
                    event = "answer_spoiled";
                    "what the target sent is no answer; discarding it: {error}"
                );
                Err(Refusal::may_have_run(Reason::Spoiled))
            }
            Ok(Err(SendError::Lost(error))) => {
                log::debug!("no answer from the target, request may have run: {error}");
                Err(self.record_lost(fingerprint))
            }
            Err(_) => Err(Refusal::may_have_run(Reason::Deadline)),
        }
    }

    /// Whether a response announces a body over the limit.
    fn is_too_large(&self, response: &Response<impl hyper::body::Body>) -> bool {
        let announced = usize::try_from(response.body().size_hint().lower());
        announced.map_or(true, |announced| announced > self.max_response_bytes)
    }

    /// Lets at most one request that was in flight at a crash run at a time, so that the next
    /// crash shows which of them caused it.
    async fn isolate_suspect(
        &self,
        proxy: &Proxy,
        envelope: &Envelope,
        deadline: Instant,
    ) -> Result<Option<tokio::sync::SemaphorePermit<'_>>, Refusal> {
        if !envelope.suspect && !proxy.suspicions.is_suspect(envelope.fingerprint) {
            return Ok(None);
        }
        let permit = tokio::time::timeout_at(deadline.into(), self.isolation.acquire()).await;
        match permit {
            Ok(Ok(permit)) if !proxy.suspicions.must_refuse(envelope.fingerprint) => {
                Ok(Some(permit))
            }
            Ok(_) => Err(Refusal::not_run(Reason::Suspected)),
            Err(_) => Err(Refusal::not_run(Reason::Overloaded)),
        }
    }

    /// Records a request whose connection to the target broke before the answer. The first one of a
    /// crash starts the timer after which the crash is reported.
    fn record_lost(&self, fingerprint: u64) -> Refusal {
        let mut lost_requests = self
            .lost_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        lost_requests.fingerprints.push(fingerprint);
        if lost_requests.fingerprints.len() == 1 {
            let lost_requests = self.lost_requests.clone();
            let number = self.crash_number.clone();
            let proxy = self.proxy.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_WINDOW).await;
                report_crash(&proxy, &lost_requests, &number).await;
            });
        }
        Refusal::may_have_run(Reason::ConnectionLost)
    }

    /// Number of the crash whose lost requests are being collected, or of the next one.
    pub(super) fn crash_number(&self) -> u64 {
        self.crash_number.load(Ordering::Relaxed)
    }
}

/// The target's response for the caller's node. It holds the permit until its body ends or fails, and
/// clears the request of suspicion.
fn target_response(
    proxy: &Arc<Proxy>,
    fingerprint: u64,
    permit: Permit,
    response: Response<ReleasingBody<Incoming, Connection>>,
) -> Response<Body> {
    if proxy.suspicions.record_completion(fingerprint) {
        let proxy = proxy.clone();
        tokio::spawn(async move {
            proxy
                .membership
                .report(Change::Cleared { fingerprint })
                .await;
        });
    }
    let mut response = response.map(|body| ReleasingBody::new(body, permit).boxed());
    headers::strip_hop_by_hop(response.headers_mut());
    headers::strip_reserved(response.headers_mut());
    response
}

/// Ends the collection of a crash's lost requests and reports the crash to the registrar. Requests
/// that completed at this node shortly before are not suspect and left out; a crash without others
/// is not reported.
async fn report_crash(
    proxy: &Weak<Proxy>,
    lost_requests: &Mutex<LostRequests>,
    number: &AtomicU64,
) {
    let lost = {
        let mut lost_requests = lost_requests.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut lost_requests.fingerprints)
    };
    let number = number.fetch_add(1, Ordering::Relaxed);
    let Some(proxy) = proxy.upgrade() else { return };
    let fingerprints = proxy.suspicions.exclude_completed(lost);
    if fingerprints.is_empty() {
        return;
    }
    proxy.counters.count("target_crashes");
    let Some(member) = proxy.membership.member() else {
        return;
    };
    let crash = Crash {
        node: member.node,
        incarnation: member.incarnation,
        number,
        fingerprints,
    };
    proxy.suspicions.record_crash(&crash);
    proxy.membership.report(Change::Crashed(crash)).await;
}

/// Announces the target as down while connections to it fail, and as serving otherwise.
async fn monitor_health(proxy: Weak<Proxy>, pool: Pool, settings: TargetSettings) {
    let mut failures = 0;
    let mut pool_warm = false;
    loop {
        let connect = TcpStream::connect(settings.address);
        let connected = matches!(
            tokio::time::timeout(HEALTH_CHECK_TIMEOUT, connect).await,
            Ok(Ok(_))
        );
        failures = if connected { 0 } else { failures + 1 };
        let Some(proxy) = proxy.upgrade() else { return };
        if connected && !pool_warm {
            pool_warm = pool.warm(settings.slots as usize).await.is_ok();
        }
        if connected {
            proxy.membership.set_presence(Presence::Serving);
        } else if failures >= FAILURES_UNTIL_DOWN {
            pool_warm = false;
            proxy.membership.set_presence(Presence::Down);
        }
        drop(proxy);
        tokio::time::sleep(HEALTH_CHECK_PERIOD).await;
    }
}

fn ticket(envelope: &Envelope, deadline: Instant) -> Ticket {
    Ticket {
        tenant: envelope.tenant.clone(),
        weight: envelope.weight,
        kind: envelope.kind,
        reserved_short_percent: envelope.reserved_short_percent,
        deadline,
    }
}

/// Request for the target, without the system's headers other than tenant and deadline.
fn target_request(
    head: hyper::http::request::Parts,
    body: Bytes,
    deadline: Instant,
) -> Request<Body> {
    let mut request = Request::from_parts(head, full(body));
    let remaining = deadline.saturating_duration_since(Instant::now());
    let tenant = request.headers().get(headers::TENANT).cloned();
    let request_headers = request.headers_mut();
    headers::strip_hop_by_hop(request_headers);
    headers::strip_reserved(request_headers);
    request_headers.remove("content-length");
    if let Some(tenant) = tenant {
        request_headers.insert(headers::TENANT, tenant);
    }
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers::set_number(request_headers, headers::DEADLINE, remaining);
    request
}
