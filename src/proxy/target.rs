//! The target side: the only way to the target beside this node.

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
use crate::http::{Body, Connection, Pool, ReleasingBody, SendError, full};
use crate::proxy::Proxy;
use crate::proxy::headers::{self, Envelope};
use crate::roster::{Change, Crash, Presence};
use crate::route::Load;
use crate::settings::TargetSettings;
use crate::verdict::{Reason, Refusal};

const HEALTH_PERIOD: Duration = Duration::from_millis(200);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
const FAILURES_UNTIL_DOWN: u32 = 2;
const CRASH_WINDOW: Duration = Duration::from_millis(50);

/// Requests lost together, which count as one crash.
#[derive(Default)]
struct Crashes {
    lost: Vec<u64>,
}

/// The target beside a node.
pub(super) struct TargetSide {
    settings: TargetSettings,
    admission: Arc<Admission>,
    pool: Pool,
    crashes: Arc<Mutex<Crashes>>,
    crash_number: Arc<AtomicU64>,
    /// Requests that were in flight at a crash run one at a time.
    isolation: Semaphore,
    proxy: Weak<Proxy>,
}

impl TargetSide {
    pub(super) fn new(settings: &TargetSettings, queue: usize, proxy: Weak<Proxy>) -> Self {
        Self {
            settings: settings.clone(),
            admission: Admission::new(settings.slots, queue),
            pool: Pool::new(settings.address),
            crashes: Arc::default(),
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

    /// Warms the connections and follows the target's health until `stopped` closes.
    pub(super) fn start(&self, mut stopped: watch::Receiver<()>) {
        let proxy = self.proxy.clone();
        let pool = self.pool.clone();
        let settings = self.settings.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = follow_health(proxy, pool, settings) => {}
                _ = stopped.changed() => {}
            }
        });
    }

    /// Runs one request at the target.
    pub(super) async fn serve(
        &self,
        proxy: &Arc<Proxy>,
        envelope: Envelope,
        head: hyper::http::request::Parts,
        body: Bytes,
    ) -> Result<Response<Body>, Refusal> {
        let fingerprint = envelope.fingerprint;
        if proxy.suspicions.refuses(fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        let deadline = Instant::now() + envelope.left;
        let _isolated = self.isolate(proxy, &envelope).await?;
        let permit = self.admission.admit(ticket(&envelope, deadline)).await?;
        let request = request(head, body, deadline);
        let sent = tokio::time::timeout_at(deadline.into(), self.pool.send(request)).await;
        match sent {
            Ok(Ok(response)) => Ok(answer(proxy, fingerprint, permit, response)),
            Ok(Err(SendError::Unsent(error))) => {
                log::debug!("target: {error}");
                proxy.membership.set_presence(Presence::Down);
                Err(Refusal::not_run(Reason::ConnectionLost))
            }
            Ok(Err(SendError::Lost(error))) => {
                log::debug!("target: {error}");
                Err(self.note_lost(fingerprint))
            }
            Err(_) => Err(Refusal::may_have_run(Reason::Deadline)),
        }
    }

    /// Lets at most one request that was in flight at a crash run at a time, so that the next
    /// crash tells which of them it was.
    async fn isolate(
        &self,
        proxy: &Proxy,
        envelope: &Envelope,
    ) -> Result<Option<tokio::sync::SemaphorePermit<'_>>, Refusal> {
        if !envelope.suspect && !proxy.suspicions.suspects(envelope.fingerprint) {
            return Ok(None);
        }
        let permit = tokio::time::timeout(envelope.left, self.isolation.acquire()).await;
        match permit {
            Ok(Ok(permit)) if !proxy.suspicions.refuses(envelope.fingerprint) => Ok(Some(permit)),
            Ok(_) => Err(Refusal::not_run(Reason::Suspected)),
            Err(_) => Err(Refusal::not_run(Reason::Overloaded)),
        }
    }

    /// Counts a request whose connection to the target broke before the answer.
    fn note_lost(&self, fingerprint: u64) -> Refusal {
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.lost.push(fingerprint);
        if crashes.lost.len() == 1 {
            let crashes = self.crashes.clone();
            let number = self.crash_number.clone();
            let proxy = self.proxy.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_WINDOW).await;
                report_crash(&proxy, &crashes, &number).await;
            });
        }
        Refusal::may_have_run(Reason::ConnectionLost)
    }

    /// Number of the crash that is being collected.
    pub(super) fn crash_number(&self) -> u64 {
        self.crash_number.load(Ordering::Relaxed)
    }
}

fn answer(
    proxy: &Arc<Proxy>,
    fingerprint: u64,
    permit: Permit,
    response: Response<ReleasingBody<Incoming, Connection>>,
) -> Response<Body> {
    if proxy.suspicions.complete(fingerprint) {
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
    headers::strip_own(response.headers_mut());
    response
}

async fn report_crash(proxy: &Weak<Proxy>, crashes: &Mutex<Crashes>, number: &AtomicU64) {
    let lost = {
        let mut crashes = crashes.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut crashes.lost)
    };
    let number = number.fetch_add(1, Ordering::Relaxed);
    let Some(proxy) = proxy.upgrade() else { return };
    let fingerprints = proxy.suspicions.suspicious(lost);
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
    proxy.suspicions.note(&crash);
    proxy.membership.report(Change::Crashed(crash)).await;
}

/// Announces the target as down while it cannot be connected to, and as serving otherwise.
async fn follow_health(proxy: Weak<Proxy>, pool: Pool, settings: TargetSettings) {
    let mut failures = 0;
    let mut warm = false;
    loop {
        let connect = TcpStream::connect(settings.address);
        let connected = matches!(
            tokio::time::timeout(HEALTH_TIMEOUT, connect).await,
            Ok(Ok(_))
        );
        failures = if connected { 0 } else { failures + 1 };
        let Some(proxy) = proxy.upgrade() else { return };
        if connected && !warm {
            warm = pool.warm(settings.slots as usize).await.is_ok();
        }
        if connected {
            proxy.membership.set_presence(Presence::Serving);
        } else if failures >= FAILURES_UNTIL_DOWN {
            warm = false;
            proxy.membership.set_presence(Presence::Down);
        }
        drop(proxy);
        tokio::time::sleep(HEALTH_PERIOD).await;
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

fn request(head: hyper::http::request::Parts, body: Bytes, deadline: Instant) -> Request<Body> {
    let mut request = Request::from_parts(head, full(body));
    let left = deadline.saturating_duration_since(Instant::now());
    let tenant = request.headers().get(headers::TENANT).cloned();
    let target_headers = request.headers_mut();
    headers::strip_hop_by_hop(target_headers);
    headers::strip_own(target_headers);
    target_headers.remove("content-length");
    if let Some(tenant) = tenant {
        target_headers.insert(headers::TENANT, tenant);
    }
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers::set_number(target_headers, headers::DEADLINE, left);
    request
}
