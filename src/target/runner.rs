//! Runs requests at the target beside the node and tracks the presence of the target.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hyper::header::HeaderMap;
use tokio::sync::{mpsc, watch};

use crate::dialect::{Dialect, Heartbeat, Phase};
use crate::h1::{Request, Response};
use crate::link::{Load, Offer, Target};
use crate::memory::Pool;
use crate::overload::backlog;
use crate::roster::{Crash, Presence, Suspicions};
use crate::target::connection::{Connections, Failure};
use crate::target::guard::{Counter, Run};
use crate::target::identity::{Identity, Outcome};
use crate::target::limiter::{Limiter, Occupancy, Permit, Requirements};
use crate::target::meter::Meter;
use crate::target::run_time;
use crate::target::running::{Parent, Running};
use crate::verdict::{Reason, Refusal};

/// Time before the caller's deadline at which a request that still waits for a slot is refused, so
/// that the refusal arrives in time.
const REFUSAL_MARGIN: Duration = Duration::from_millis(30);
/// Time for which the target is sent no requests after a connection attempt failed.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(500);
/// Requests whose connections break within this time count as one crash.
const CRASH_WINDOW: Duration = Duration::from_millis(50);

/// Runs requests at the target beside the node.
pub(crate) struct Runner {
    dialect: Arc<dyn Dialect>,
    identity: Mutex<Identity>,
    last_targets: Mutex<LastTargets>,
    limiter: Arc<Limiter>,
    meter: Arc<Mutex<Meter>>,
    connections: Connections,
    max_connections: u32,
    suspicions: Arc<Suspicions>,
    unreachable_until: Mutex<Option<Instant>>,
    /// Whether the target must not be announced yet, because an earlier process of the node may have
    /// acknowledged what this one does not know.
    held: watch::Sender<bool>,
    /// Whether the node itself is shutting down.
    draining: AtomicBool,
    /// Whether offers state the expected run time of the single request, and waits are derived from
    /// it.
    by_work: AtomicBool,
    in_flight: Arc<Counter>,
    running: Arc<Running>,
    /// Fingerprints of the requests that were lost within the current [`CRASH_WINDOW`].
    lost_requests: Mutex<Vec<u64>>,
    /// Number of crashes that this process has announced, which is the number of the latest one.
    crashes: AtomicU64,
    presence: watch::Sender<(Presence, Option<Target>)>,
    findings: mpsc::UnboundedSender<Finding>,
}

/// Targets beside the node that are not the current one.
#[derive(Default)]
struct LastTargets {
    /// Target that an earlier process of the node announced.
    restored: Option<Target>,
    /// Target that departed last.
    departed: Option<Target>,
}

/// An observation about requests that are suspected of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// The target crashed while requests with these fingerprints were in flight.
    Crashed(Vec<u64>),
    /// A request with this suspected fingerprint completed.
    Cleared(u64),
}

impl Runner {
    /// A runner for the target at `address`, with at most `max_connections` connections, whose
    /// responses are read into `memory`. Sends its observations about crashing requests to `findings`.
    pub(crate) fn new(
        address: std::net::SocketAddr,
        dialect: Arc<dyn Dialect>,
        suspicions: Arc<Suspicions>,
        findings: mpsc::UnboundedSender<Finding>,
        memory: &Pool,
        max_connections: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            dialect,
            identity: Mutex::default(),
            last_targets: Mutex::default(),
            limiter: Limiter::new(),
            meter: Arc::default(),
            connections: Connections::new(address, memory, max_connections),
            max_connections: u32::try_from(max_connections).unwrap_or(u32::MAX),
            suspicions,
            unreachable_until: Mutex::new(None),
            held: watch::Sender::new(false),
            draining: AtomicBool::new(false),
            by_work: AtomicBool::new(false),
            in_flight: Arc::default(),
            running: Arc::default(),
            lost_requests: Mutex::default(),
            crashes: AtomicU64::new(0),
            presence: watch::channel((Presence::Down, None)).0,
            findings,
        })
    }

    /// Derives waits and the reported load from the expected run times of single requests.
    pub(crate) fn estimate_work(&self) {
        self.by_work.store(true, Ordering::Relaxed);
    }

    /// Subscribes to the target's presence and identity.
    pub(crate) fn subscribe(&self) -> watch::Receiver<(Presence, Option<Target>)> {
        self.presence.subscribe()
    }

    /// Applies a heartbeat of the target; a stale one is ignored.
    pub(crate) fn apply_heartbeat(self: &Arc<Self>, heartbeat: Heartbeat) -> Outcome {
        let mut identity = lock(&self.identity);
        let previous = identity
            .current()
            .map(|current| (current.id.clone(), current.started_ms));
        let outcome = identity.apply(heartbeat);
        if outcome == Outcome::Stale {
            return outcome;
        }
        let Some(current) = identity.current().cloned() else {
            return outcome;
        };
        drop(identity);
        if previous.is_some_and(|previous| previous != (current.id.clone(), current.started_ms)) {
            self.connections.clear();
            lock(&self.meter).reset();
        }
        if outcome == Outcome::Changed {
            log::info!(
                event = "target",
                target_id = current.id.as_str(),
                started_ms = current.started_ms,
                service = current.service.as_str(),
                slots = current.slots,
                phase = current.phase.to_string().as_str();
                "identity, service, slots or phase of the target changed"
            );
            self.limiter.retain_service(&current.service);
        }
        self.update_presence(outcome == Outcome::Changed);
        outcome
    }

    /// Announces no target until [`Self::release`].
    pub(crate) fn hold(&self) {
        self.held.send_replace(true);
    }

    /// Announces the target from now on.
    pub(crate) fn release(self: &Arc<Self>) {
        self.held.send_replace(false);
        self.update_presence(false);
    }

    /// Waits until the target may be announced.
    pub(crate) async fn wait_until_released(&self) {
        let _ = self.held.subscribe().wait_for(|held| !held).await;
    }

    /// Restores what an earlier process of this node announced of the target, so that older
    /// heartbeats are ignored, also if they arrived before. Has no effect if another target is known.
    pub(crate) fn restore(self: &Arc<Self>, target: &Target) {
        let mut identity = lock(&self.identity);
        if !identity.restore(&target.id, target.started_ms, target.sequence) {
            return;
        }
        let has_departed = identity.has_departed(&target.id, target.started_ms);
        drop(identity);
        let mut last_targets = lock(&self.last_targets);
        last_targets.restored = Some(target.clone());
        if has_departed {
            // The departure came before it was known which target it is of.
            last_targets.departed = Some(target.clone().departed());
        }
        drop(last_targets);
        self.update_presence(false);
    }

    /// Whether a target is known that has not departed.
    #[cfg(test)]
    pub(crate) fn has_target(&self) -> bool {
        lock(&self.identity).current().is_some()
    }

    /// Applies a target's notice that it is leaving for good.
    pub(crate) fn apply_departure(self: &Arc<Self>, id: &str, started_ms: Option<u64>) {
        let mut identity = lock(&self.identity);
        let current = identity.current().map(announced_target);
        let is_current = identity.apply_departure(id, started_ms, now_ms());
        drop(identity);
        let mut last_targets = lock(&self.last_targets);
        let known = current.or_else(|| last_targets.restored.clone());
        let known = known.filter(|target| {
            target.id == id && started_ms.is_none_or(|started| started == target.started_ms)
        });
        let unknown = || started_ms.map(|started_ms| unknown_target(id, started_ms));
        if let Some(target) = known.or_else(unknown) {
            last_targets.departed = Some(target.departed());
        }
        drop(last_targets);
        if is_current {
            log::info!(
                event = "target_left",
                target_id = id;
                "target announced its departure; it gets no new requests"
            );
        }
        self.update_presence(false);
    }

    /// Refuses queued and new requests because the node is shutting down.
    pub(crate) fn drain(self: &Arc<Self>) {
        self.draining.store(true, Ordering::Relaxed);
        self.update_presence(false);
    }

    /// Determines the presence of the target, opens or closes the limiter accordingly, and
    /// publishes presence and target if they changed in more than the number of the last heartbeat.
    /// `heartbeat_changed` says that a heartbeat changed the target, which is published even if the
    /// presence does not show it, as the phase while the node itself shuts down.
    fn update_presence(self: &Arc<Self>, heartbeat_changed: bool) {
        let identity = lock(&self.identity);
        let held = *self.held.borrow();
        let current = identity.current().filter(|_| !held);
        let unreachable = lock(&self.unreachable_until).is_some_and(|until| Instant::now() < until);
        let presence = match current {
            _ if self.draining.load(Ordering::Relaxed) => Presence::Leaving,
            None => Presence::Down,
            Some(current) if current.phase == Phase::Draining => Presence::Leaving,
            Some(_) if unreachable => Presence::Down,
            Some(_) => Presence::Serving,
        };
        match (presence, current) {
            (Presence::Serving, Some(current)) => {
                // More could not be sent to the target at a time.
                self.limiter.open(current.slots.min(self.max_connections));
            }
            (Presence::Leaving, _) => self.limiter.close(Reason::Draining),
            _ => self.limiter.close(Reason::NoTarget),
        }
        let target = current.map(announced_target);
        drop(identity);
        // A later process of this node restores from it which heartbeats are outdated.
        let target = target.or_else(|| {
            let last_targets = lock(&self.last_targets);
            newest([last_targets.restored.clone(), last_targets.departed.clone()])
        });
        self.presence.send_if_modified(|published| {
            let is_same = published.0 == presence
                && published.1.as_ref().map(announced_facts)
                    == target.as_ref().map(announced_facts);
            if is_same && (held || !heartbeat_changed) {
                return false;
            }
            *published = (presence, target);
            true
        });
    }

    /// Current load and averages of the target.
    pub(crate) fn load(&self) -> Load {
        let occupancy = self.limiter.occupancy();
        let by_work = self.by_work.load(Ordering::Relaxed);
        let queued_work = if by_work {
            self.limiter.queued_work()
        } else {
            Duration::ZERO
        };
        let meter = lock(&self.meter);
        let (slowness, work) = if by_work {
            let work = meter.work_left() + queued_work;
            (meter.slowness_by_work(), work / occupancy.slots.max(1))
        } else {
            (meter.slowness(), Duration::ZERO)
        };
        Load {
            running: occupancy.running,
            queued: occupancy.queued,
            slots: occupancy.slots,
            run_ms: rounded(meter.run_ms()),
            slowness_percent: rounded(slowness * 100.0),
            failing_percent: rounded(meter.failure_ratio() * 100.0),
            work_ms: rounded((work.as_secs_f64() * 1e3).ceil()),
        }
    }

    /// Share of repeats among the requests that are at the target or wait for it. A request that the
    /// target itself makes is assumed to belong to a repeat with this probability.
    pub(crate) fn repeated_share(&self) -> f64 {
        self.in_flight.repeated_share()
    }

    /// The request for which the target makes the one with this id, if that runs at the target.
    pub(crate) fn find_parent(&self, request_id: &str) -> Option<Parent> {
        let parent_id = self.dialect.parent_request_id(request_id)?;
        self.running.find(parent_id)
    }

    /// Waits until no request is at the target or waits for a slot.
    pub(crate) async fn wait_until_idle(&self) {
        self.in_flight.wait_until_zero().await;
    }

    /// Runs a request at the target. Dropping the future cancels the request, unless it is not
    /// idempotent and was admitted.
    pub(crate) async fn run(self: &Arc<Self>, offer: Offer) -> Result<Response, Refusal> {
        let began = Instant::now();
        let _in_flight = self.in_flight.count(offer.repeated);
        if self.suspicions.must_refuse(offer.fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        self.check_service(&offer)?;
        let permit = self.admit(&offer).await?;
        // Another target may have started beside the node while the request waited.
        let target_id = self.check_service(&offer)?;
        let waited = began.elapsed();
        let remaining = offer.time_left.saturating_sub(waited);
        if remaining.is_zero() {
            return Err(Refusal::not_run(Reason::Deadline));
        }
        log::info!(
            event = "admitted",
            request_id = offer.request_id.as_str(),
            service = offer.service.as_str(),
            target_id = target_id.as_str(),
            rank = offer.rank,
            waited_ms = millis(waited),
            left_ms = millis(remaining);
            "request got a slot at the target"
        );
        if offer.idempotent {
            return self.send(offer, &target_id, remaining, permit).await;
        }
        // A separate task continues when the future of this call is dropped. It counts the request
        // as well, because the count above ends with the future, but does not count it as a repeat
        // a second time.
        let runner = self.clone();
        let sending = tokio::spawn(async move {
            let _in_flight = runner.in_flight.count(false);
            runner.send(offer, &target_id, remaining, permit).await
        });
        let connection_lost = Refusal::may_have_run(Reason::ConnectionLost);
        sending.await.unwrap_or(Err(connection_lost))
    }

    /// Returns the id of the target if it runs the service that the offer is for.
    fn check_service(&self, offer: &Offer) -> Result<String, Refusal> {
        let identity = lock(&self.identity);
        let current = identity
            .current()
            .filter(|current| current.service == offer.service);
        let id = current.map(|current| current.id.clone());
        id.ok_or_else(|| Refusal::not_run(Reason::NoTarget))
    }

    /// Waits for a slot.
    async fn admit(&self, offer: &Offer) -> Result<Permit, Refusal> {
        let remaining = offer.time_left.saturating_sub(REFUSAL_MARGIN);
        let now = Instant::now();
        let objective_end = now + offer.objective;
        let (average_run, expected_run, start_limit, due) = if self.by_work.load(Ordering::Relaxed)
        {
            let slowness = lock(&self.meter).slowness_by_work();
            let expected_run = offer.expected.mul_f64(slowness);
            let start_limit = remaining.saturating_sub(expected_run);
            let due = backlog::due(now, objective_end, expected_run);
            (self.average_left(), expected_run, start_limit, due)
        } else {
            let meter = lock(&self.meter);
            let expected_run = meter.expected_run(&offer.route, offer.expected);
            (meter.run_time(), expected_run, remaining, objective_end)
        };
        let requirements = Requirements {
            service: &offer.service,
            rank: offer.rank,
            objective_end,
            due,
            max_wait: offer.max_wait.min(start_limit),
            start_limit,
            expected_run,
            average_run,
        };
        self.limiter.admit(requirements).await
    }

    /// Run time that is left of each running and queued request on average.
    fn average_left(&self) -> Duration {
        let Occupancy {
            running, queued, ..
        } = self.limiter.occupancy();
        let queued_work = self.limiter.queued_work();
        let meter = lock(&self.meter);
        if running + queued == 0 {
            return meter.run_time();
        }
        (meter.work_left() + queued_work) / (running + queued)
    }

    /// Sends an admitted request and reads its response.
    async fn send(
        self: &Arc<Self>,
        offer: Offer,
        target_id: &str,
        remaining: Duration,
        permit: Permit,
    ) -> Result<Response, Refusal> {
        let mut request =
            Request::try_from(offer.message).map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        self.dialect
            .set_target_headers(&mut request, target_id, &offer.caller_service, remaining);
        let parent = Parent {
            repeated: offer.repeated,
        };
        let _running = self.running.add(&offer.request_id, parent);
        let run = Run::new(&self.meter, &offer.route, offer.expected);
        let answers_request =
            |headers: &HeaderMap, is_new_connection: bool| match self.dialect.request_id(headers) {
                Some(answered_id) => answered_id == offer.request_id,
                // Only this request was sent on a new connection; on a reused one, a response
                // without an id may belong to an earlier request.
                None => is_new_connection,
            };
        let exchange = self.connections.exchange(
            &request,
            &offer.request_id,
            offer.idempotent,
            answers_request,
        );
        let outcome = tokio::time::timeout(remaining, exchange).await;
        drop(permit);
        match outcome {
            Err(_) => {
                run.end(Some(true));
                // An intermediary, such as connection tracking, may have lost the state of the idle
                // connections too.
                self.connections.clear();
                Err(Refusal::may_have_run(Reason::Deadline))
            }
            Ok(Ok(response)) => {
                self.classify_response(&offer.request_id, offer.fingerprint, run, response)
            }
            Ok(Err(Failure::Full)) => {
                run.end(None);
                Err(Refusal::not_run(Reason::Overloaded))
            }
            Ok(Err(failure)) => {
                // A lack of memory here says nothing about the target.
                let failed = !matches!(failure, Failure::NoMemory);
                run.end(failed.then_some(true));
                log::info!(
                    event = "answer_lost",
                    request_id = offer.request_id.as_str(),
                    target_id = target_id,
                    cause = failure.to_string().as_str();
                    "no valid response from the target"
                );
                Err(self.classify_failure(&failure, offer.fingerprint))
            }
        }
    }

    /// Accepts a response, or turns it into a refusal if the target did not run the request or the
    /// response does not come unaltered from the target.
    fn classify_response(
        &self,
        request_id: &str,
        fingerprint: u64,
        run: Run,
        mut response: Response,
    ) -> Result<Response, Refusal> {
        run_time::detach(&mut response);
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
                "response was not produced by the target or was altered; discarding it"
            );
            return Err(Refusal::may_have_run(Reason::Spoiled));
        }
        let run_time = run.end(Some(response.status.is_server_error()));
        if let Some(run_time) = run_time
            && self.by_work.load(Ordering::Relaxed)
        {
            run_time::attach(&mut response, run_time);
        }
        if self.suspicions.record_completion(fingerprint) {
            let _ = self.findings.send(Finding::Cleared(fingerprint));
        }
        Ok(response)
    }

    /// Turns a failed exchange into a refusal. Marks the target as unreachable if it accepted no
    /// connection, and starts the crash check if a connection broke.
    fn classify_failure(self: &Arc<Self>, failure: &Failure, fingerprint: u64) -> Refusal {
        match failure {
            Failure::NotSent(_) => {
                self.mark_unreachable();
                Refusal::not_run(Reason::NoTarget)
            }
            Failure::Full => Refusal::not_run(Reason::Overloaded),
            Failure::ConnectionLost(_) => {
                self.record_lost_request(fingerprint);
                Refusal::may_have_run(Reason::ConnectionLost)
            }
            Failure::InvalidResponse(_) => Refusal::may_have_run(Reason::Spoiled),
            Failure::NoMemory => Refusal::may_have_run(Reason::NoMemory),
        }
    }

    /// Sends the target no requests for [`UNREACHABLE_PAUSE`], because it accepts no connections.
    fn mark_unreachable(self: &Arc<Self>) {
        *lock(&self.unreachable_until) = Some(Instant::now() + UNREACHABLE_PAUSE);
        self.update_presence(false);
        let runner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(UNREACHABLE_PAUSE).await;
            runner.update_presence(false);
        });
    }

    /// Collects the requests whose connections break within [`CRASH_WINDOW`]. If the target accepts
    /// no connection after that, it has crashed, and one of these requests may be the cause.
    fn record_lost_request(self: &Arc<Self>, fingerprint: u64) {
        let mut lost_requests = lock(&self.lost_requests);
        lost_requests.push(fingerprint);
        if lost_requests.len() > 1 {
            return;
        }
        let runner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_WINDOW).await;
            let lost_requests = std::mem::take(&mut *lock(&runner.lost_requests));
            if runner.connections.can_connect().await {
                return;
            }
            runner.mark_unreachable();
            let suspect_fingerprints = runner.suspicions.exclude_completed(lost_requests);
            if !suspect_fingerprints.is_empty() {
                runner.crashes.fetch_add(1, Ordering::Relaxed);
                let _ = runner.findings.send(Finding::Crashed(suspect_fingerprints));
            }
        });
    }

    /// Describes the latest crash, to be announced to other nodes.
    pub(crate) fn latest_crash(
        &self,
        node: &str,
        incarnation: u64,
        fingerprints: Vec<u64>,
    ) -> Crash {
        Crash {
            node: node.to_owned(),
            number: self.crashes.load(Ordering::Relaxed),
            incarnation,
            fingerprints,
        }
    }

    /// Time since the target's last heartbeat.
    pub(crate) fn heartbeat_age(&self) -> Option<Duration> {
        lock(&self.identity).heartbeat_age()
    }
}

/// Of two targets, the one that started later, or of which more heartbeats count as outdated.
fn newest(targets: [Option<Target>; 2]) -> Option<Target> {
    let targets = targets.into_iter().flatten();
    targets.max_by_key(|target| (target.started_ms, target.sequence))
}

/// A target of which only its departure is known.
fn unknown_target(id: &str, started_ms: u64) -> Target {
    Target {
        id: id.to_owned(),
        started_ms,
        sequence: 0,
        service: String::new(),
        slots: 0,
        cold_ms: 0,
        version: String::new(),
    }
}

/// What is announced anew when it changes.
fn announced_facts(target: &Target) -> (&str, u64, &str, u32, &str, bool) {
    let Target {
        id,
        started_ms,
        service,
        slots,
        version,
        ..
    } = target;
    (
        id,
        *started_ms,
        service,
        *slots,
        version,
        target.has_departed(),
    )
}

/// What the node's entry says of a target.
fn announced_target(heartbeat: &Heartbeat) -> Target {
    Target {
        id: heartbeat.id.clone(),
        started_ms: heartbeat.started_ms,
        sequence: heartbeat.sequence,
        service: heartbeat.service.clone(),
        slots: heartbeat.slots,
        cold_ms: millis(heartbeat.cold_left),
        version: heartbeat.version.clone(),
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
