//! The target side of a node: runs requests at the target beside it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hyper::header::HeaderMap;
use tokio::sync::{mpsc, watch};

use crate::dialect::{Dialect, Heartbeat, Phase};
use crate::h1::{Request, Response};
use crate::link::{Load, Offer, Target};
use crate::roster::{Crash, Presence, Suspicions};
use crate::target::connection::{Connections, Lost};
use crate::target::gate::{Ask, Gate, Permit};
use crate::target::guard::{Counter, Run};
use crate::target::identity::{Identity, Taken};
use crate::target::meter::Meter;
use crate::verdict::{Reason, Refusal};

/// Time before the caller gives up at which a request that still waits is refused, so that the
/// refusal arrives in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(30);
/// Time for which a target that could not be connected to gets no requests.
const DOWN_PAUSE: Duration = Duration::from_millis(500);
/// Requests lost within this time count as one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(50);

/// The target side of a node.
pub(crate) struct Side {
    dialect: Arc<dyn Dialect>,
    identity: Mutex<Identity>,
    gate: Arc<Gate>,
    meter: Arc<Mutex<Meter>>,
    connections: Connections,
    suspicions: Arc<Suspicions>,
    down_until: Mutex<Option<Instant>>,
    leaving: AtomicBool,
    in_flight: Arc<Counter>,
    lost: Mutex<Vec<u64>>,
    crashes: AtomicU64,
    presence: watch::Sender<(Presence, Option<Target>)>,
    findings: mpsc::UnboundedSender<Finding>,
}

/// What the target side learns about requests that may crash targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// The target crashed while requests with these fingerprints were in flight.
    Crashed(Vec<u64>),
    /// A request with this suspected fingerprint completed.
    Cleared(u64),
}

impl Side {
    /// A target side for the target at `address`. What it learns about crashing requests is sent to
    /// `findings`.
    pub(crate) fn new(
        address: std::net::SocketAddr,
        dialect: Arc<dyn Dialect>,
        suspicions: Arc<Suspicions>,
        findings: mpsc::UnboundedSender<Finding>,
    ) -> Arc<Self> {
        Arc::new(Self {
            dialect,
            identity: Mutex::default(),
            gate: Gate::new(),
            meter: Arc::default(),
            connections: Connections::new(address),
            suspicions,
            down_until: Mutex::new(None),
            leaving: AtomicBool::new(false),
            in_flight: Arc::default(),
            lost: Mutex::default(),
            crashes: AtomicU64::new(0),
            presence: watch::channel((Presence::Down, None)).0,
            findings,
        })
    }

    /// Follows the target's presence and identity.
    pub(crate) fn watch(&self) -> watch::Receiver<(Presence, Option<Target>)> {
        self.presence.subscribe()
    }

    /// Takes a heartbeat of the target.
    pub(crate) fn heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) -> Taken {
        let mut identity = lock(&self.identity);
        let before = identity
            .current()
            .map(|known| (known.id.clone(), known.started_ms));
        let taken = identity.take(heartbeat);
        if taken == Taken::Stale {
            return taken;
        }
        let Some(current) = identity.current().cloned() else {
            return taken;
        };
        drop(identity);
        if before.is_some_and(|before| before != (current.id.clone(), current.started_ms)) {
            self.connections.clear();
            lock(&self.meter).reset();
        }
        if taken == Taken::Changed {
            log::info!(
                event = "target",
                target_id = current.id.as_str(),
                started_ms = current.started_ms,
                service = current.service.as_str(),
                slots = current.slots,
                phase = current.phase.to_string().as_str();
                "heartbeat changed what is known"
            );
            self.gate.keep_only(&current.service);
        }
        self.settle();
        taken
    }

    /// Takes what an earlier process of this node announced of the target, so that a heartbeat which
    /// is older than that changes nothing.
    pub(crate) fn recall(&self, target: &Target) {
        let mut identity = lock(&self.identity);
        if identity.current().is_none() {
            identity.recall(&target.id, target.started_ms, target.sequence);
        }
    }

    /// Whether a target is beside the node.
    pub(crate) fn has_target(&self) -> bool {
        lock(&self.identity).current().is_some()
    }

    /// Notes that a target leaves for good.
    pub(crate) fn departed(self: &Arc<Self>, id: &str, started_ms: Option<u64>) {
        if lock(&self.identity).leave(id, started_ms, now_ms()) {
            log::info!(event = "target_left", target_id = id; "no new work");
            self.settle();
        }
    }

    /// Takes no new work: the node leaves.
    pub(crate) fn leave(self: &Arc<Self>) {
        self.leaving.store(true, Ordering::Relaxed);
        self.settle();
    }

    /// Opens or closes the gate by what is known, and publishes the presence.
    fn settle(self: &Arc<Self>) {
        let identity = lock(&self.identity);
        let current = identity.current();
        let down = lock(&self.down_until).is_some_and(|until| Instant::now() < until);
        let presence = match current {
            _ if self.leaving.load(Ordering::Relaxed) => Presence::Leaving,
            None => Presence::Down,
            Some(known) if known.phase == Phase::Draining => Presence::Leaving,
            Some(_) if down => Presence::Down,
            Some(_) => Presence::Serving,
        };
        match (presence, current) {
            (Presence::Serving, Some(known)) => self.gate.open(known.slots),
            (Presence::Leaving, _) => self.gate.close(Reason::Draining),
            _ => self.gate.close(Reason::NoTarget),
        }
        let target = current.map(|known| Target {
            id: known.id.clone(),
            started_ms: known.started_ms,
            sequence: known.sequence,
            service: known.service.clone(),
            slots: known.slots,
            cold_ms: u64::try_from(known.cold_left.as_millis()).unwrap_or(u64::MAX),
        });
        drop(identity);
        self.presence.send_if_modified(|known| {
            let same_target = match (&known.1, &target) {
                (Some(a), Some(b)) => {
                    (&a.id, a.started_ms, &a.service, a.slots)
                        == (&b.id, b.started_ms, &b.service, b.slots)
                }
                (None, None) => true,
                _ => false,
            };
            if known.0 == presence && same_target {
                return false;
            }
            *known = (presence, target);
            true
        });
    }

    /// Load of the target.
    pub(crate) fn load(&self) -> Load {
        let (running, queued, slots) = self.gate.load();
        let meter = lock(&self.meter);
        Load {
            running,
            queued,
            slots,
            run_ms: rounded(meter.run_ms()),
            slowness_percent: rounded(meter.slowness() * 100.0),
            failing_percent: rounded(meter.failing() * 100.0),
        }
    }

    /// Share of repeats among the requests at the target: the likelihood that a request which the
    /// target makes belongs to a repeat.
    pub(crate) fn repeated_share(&self) -> f64 {
        self.in_flight.repeated_share()
    }

    /// Waits until no request is at the target or waits for it.
    pub(crate) async fn idle(&self) {
        self.in_flight.none().await;
    }

    /// Runs a request at the target. Dropping the future cancels it, unless it must not be
    /// repeated and has begun.
    pub(crate) async fn run(self: &Arc<Self>, offer: Offer) -> Result<Response, Refusal> {
        let began = Instant::now();
        let _counted = self.in_flight.enter(offer.repeated);
        if self.suspicions.refuses(offer.fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        self.check_service(&offer)?;
        let permit = self.admit(&offer).await?;
        // The target beside the node may have changed while the request waited.
        let id = self.check_service(&offer)?;
        let waited = began.elapsed();
        let left = offer.left.saturating_sub(waited);
        if left.is_zero() {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        log::info!(
            event = "admitted",
            request_id = offer.request_id.as_str(),
            service = offer.service.as_str(),
            target_id = id.as_str(),
            waited_ms = millis(waited),
            left_ms = millis(left);
            ""
        );
        if offer.idempotent {
            return self.send(offer, &id, left, permit).await;
        }
        let side = self.clone();
        let sending = tokio::spawn(async move {
            let _counted = side.in_flight.enter(false);
            side.send(offer, &id, left, permit).await
        });
        let lost = Refusal::may_have_run(Reason::ConnectionLost);
        sending.await.unwrap_or(Err(lost))
    }

    /// The identity of the target, if it runs the service that the offer is for.
    fn check_service(&self, offer: &Offer) -> Result<String, Refusal> {
        let identity = lock(&self.identity);
        let current = identity
            .current()
            .filter(|known| known.service == offer.service);
        let id = current.map(|known| known.id.clone());
        id.ok_or_else(|| Refusal::not_run(Reason::NoTarget))
    }

    async fn admit(&self, offer: &Offer) -> Result<Permit, Refusal> {
        let left = offer.left.saturating_sub(REFUSAL_MARGIN);
        let run = lock(&self.meter).run();
        let ask = Ask {
            service: &offer.service,
            rank: offer.rank,
            objective: Instant::now() + offer.objective,
            max_wait: offer.max_wait.min(left),
            expected: offer.expected,
            run,
        };
        self.gate.admit(ask).await
    }

    async fn send(
        self: &Arc<Self>,
        offer: Offer,
        id: &str,
        left: Duration,
        permit: Permit,
    ) -> Result<Response, Refusal> {
        let mut request =
            Request::try_from(offer.message).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        self.dialect
            .set_target_headers(&mut request, id, &offer.caller_service, left);
        let run = Run::new(&self.meter, offer.expected);
        let is_own = |headers: &HeaderMap, fresh: bool| match self.dialect.request_id(headers) {
            Some(answered) => answered == offer.request_id,
            None => fresh,
        };
        let exchange = self
            .connections
            .exchange(&request, offer.idempotent, is_own);
        let outcome = tokio::time::timeout(left, exchange).await;
        drop(permit);
        match outcome {
            Err(_) => {
                run.end(Some(true));
                // Something between the ends may have lost track of the open connections.
                self.connections.clear();
                Err(Refusal::may_have_run(Reason::Deadline))
            }
            Ok(Ok(response)) => self.judge(&offer.request_id, offer.fingerprint, run, response),
            Ok(Err(lost)) => {
                run.end(Some(true));
                log::info!(
                    event = "answer_lost",
                    request_id = offer.request_id.as_str(),
                    target_id = id,
                    cause = lost.to_string().as_str();
                    ""
                );
                Err(self.lost(&lost, offer.fingerprint))
            }
        }
    }

    /// Accepts an answer, or classifies the failure.
    fn judge(
        &self,
        request_id: &str,
        fingerprint: u64,
        run: Run,
        response: Response,
    ) -> Result<Response, Refusal> {
        if self.dialect.is_rejection(&response) {
            run.end(None);
            return Err(Refusal::not_run(Reason::Rejected));
        }
        if !self.dialect.is_genuine(&response) {
            run.end(Some(true));
            log::info!(
                event = "answer_spoiled",
                request_id = request_id,
                status = response.status.as_u16();
                "marks of the target are missing"
            );
            return Err(Refusal::may_have_run(Reason::Spoiled));
        }
        run.end(Some(response.status.is_server_error()));
        if self.suspicions.complete(fingerprint) {
            let _ = self.findings.send(Finding::Cleared(fingerprint));
        }
        Ok(response)
    }

    fn lost(self: &Arc<Self>, lost: &Lost, fingerprint: u64) -> Refusal {
        match lost {
            Lost::Unsent(_) => {
                self.note_down();
                Refusal::not_run(Reason::NoTarget)
            }
            Lost::Broken(_) => {
                self.note_broken(fingerprint);
                Refusal::may_have_run(Reason::ConnectionLost)
            }
            Lost::Spoiled(_) => Refusal::may_have_run(Reason::Spoiled),
        }
    }

    /// The target cannot be connected to: gives it no work for a while.
    fn note_down(self: &Arc<Self>) {
        *lock(&self.down_until) = Some(Instant::now() + DOWN_PAUSE);
        self.settle();
        let side = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DOWN_PAUSE).await;
            side.settle();
        });
    }

    /// Collects requests whose connections broke together. If the target cannot be connected to
    /// after that, it has crashed, and one of them may be the cause.
    fn note_broken(self: &Arc<Self>, fingerprint: u64) {
        let mut lost = lock(&self.lost);
        lost.push(fingerprint);
        if lost.len() > 1 {
            return;
        }
        let side = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_WINDOW).await;
            let lost = std::mem::take(&mut *lock(&side.lost));
            if side.connections.probe().await {
                return;
            }
            side.note_down();
            let suspicious = side.suspicions.suspicious(lost);
            if !suspicious.is_empty() {
                side.crashes.fetch_add(1, Ordering::Relaxed);
                let _ = side.findings.send(Finding::Crashed(suspicious));
            }
        });
    }

    /// Describes the latest crash for other nodes.
    pub(crate) fn crash(&self, node: &str, incarnation: u64, fingerprints: Vec<u64>) -> Crash {
        Crash {
            node: node.to_owned(),
            number: self.crashes.load(Ordering::Relaxed),
            incarnation,
            fingerprints,
        }
    }

    /// Time since the target's last heartbeat.
    pub(crate) fn heartbeat_age(&self) -> Option<Duration> {
        lock(&self.identity).age()
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "averages of small positive numbers"
)]
fn rounded(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Time of day in milliseconds since 1970.
fn now_ms() -> u64 {
    millis(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    )
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
