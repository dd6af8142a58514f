//! One target, with the statistics from which this node estimates its latency.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::link::{Entry, Link, Load, Target};
use crate::overload::backlog::Backlog;
use crate::overload::speed::Speed;
use crate::roster::Presence;

/// Half-life of the effect that reported slowness, reported failures and lost requests have on the
/// cost of a target. It lets a target that was avoided, and so got no requests, be tried again.
const STATS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of a reported number of running and queued requests: a few run times.
const OCCUPANCY_HALF_LIFE: Duration = Duration::from_millis(400);
/// Factor by which a target that has just started is assumed to be slower than usual.
const COLD_START_SLOWNESS: f64 = 2.0;
/// Additional run time at a target with all slots occupied, relative to the run time at an idle
/// one.
const FULL_SLOWDOWN: f64 = 0.6;
/// Cost of a failed answer, in expected latencies.
const FAILURE_COST_LATENCIES: f64 = 6.0;
/// Time for which a target that reported no free slot counts as full. A few slots become free in
/// that time.
const FULL_REPORT_TTL: Duration = Duration::from_millis(100);
/// Time after a refusal in which the target costs one more run time, so that others are preferred.
const REFUSAL_PENALTY_TIME: Duration = Duration::from_millis(60);
/// Weight of the latest request in the moving average of lost requests: four losses in a row raise
/// it from 0 to about 0.7, which adds about four expected latencies to the cost of the target.
const LOSS_WEIGHT: f64 = 0.25;
/// Time without a status after which a target's node counts as silent: twice the idle time after
/// which a link pings it, and a round trip between regions.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// Share of its slots below which a target's occupancy must be for a hedged request, which may not
/// be needed.
const SPARE_SLOTS_SHARE: f64 = 0.7;
/// Number of own requests from which a target's actual times are compared with the expected ones.
const OBSERVED_SAMPLES: u32 = 8;
/// Time that is recorded for a refusal of a target that did not report to be full, in expected times.
const REFUSAL_TIMES: f64 = 3.0;

/// Size from which on a body raises the penalty for a distance; several times what is sent with an
/// ordinary request and its response.
pub(crate) const LARGE_BODY_BYTES: usize = 16 * 1024;
/// Largest factor by which a body raises the penalty for a distance.
const MAX_TRANSFER_FACTOR: f64 = 4.0;

#[derive(Clone, Debug)]
struct Samples {
    /// Load that the target's node reported last.
    load: Load,
    /// When that report arrived.
    load_received_at: Option<Instant>,
    /// When the target last did not accept a request of this node.
    refused_at: Option<Instant>,
    /// Moving average of the share of this node's own requests to the target that were lost.
    loss_ratio: f64,
    /// When a request was last lost.
    lost_at: Option<Instant>,
    /// Requests of this node in flight at the target.
    own: Vec<OwnRequest>,
    /// Number of the last own request.
    last_own: u64,
    /// Times of this node's requests at the target relative to the expected ones.
    observed: Speed,
    /// When such a time was last recorded.
    observed_at: Option<Instant>,
}

/// A request of this node in flight at a target.
#[derive(Clone, Copy, Debug)]
struct OwnRequest {
    number: u64,
    began: Instant,
    /// Expected run time at the usual speed.
    expected: Duration,
}

/// Statistics of a target, kept as long as its process runs.
pub(super) struct Stats {
    samples: Mutex<Samples>,
    /// Requests of this node that are in flight at the target.
    in_flight: AtomicU32,
}

impl Stats {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            samples: Mutex::new(Samples {
                load: Load::default(),
                load_received_at: None,
                refused_at: None,
                loss_ratio: 0.0,
                lost_at: None,
                own: Vec::new(),
                last_own: 0,
                observed: Speed::new(OBSERVED_SAMPLES),
                observed_at: None,
            }),
            in_flight: AtomicU32::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Samples> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A target and the node beside it, as an upstream of this node.
pub(crate) struct Endpoint {
    /// Entry that the target's node announced.
    pub entry: Entry,
    /// Link to the target's node; absent for the target beside this node.
    pub link: Option<Arc<Link>>,
    /// Newest announcement of the target, which may come from an earlier process of its node.
    pub(super) last_target: Option<Target>,
    /// When this node first received an entry with this process of the target.
    pub(super) first_seen: Instant,
    pub(super) stats: Arc<Stats>,
    /// Round trip time to assume until the link has measured it.
    pub(super) default_round_trip: Duration,
    /// Share of the latency objective that distance adds to the cost.
    pub(super) distance_penalty: f64,
    pub(super) same_data_center: bool,
    /// Whether the target is in another region.
    pub(crate) remote: bool,
}

/// What the cost of a target for a request depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Average latency of the route, or the expected run time of the request if the targets are
    /// compared by their work.
    pub expected_latency: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether a target makes the request while it runs another one.
    pub nested: bool,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
    /// Whether the targets are compared by the work that is left there, instead of the number of
    /// requests.
    pub by_work: bool,
}

impl Demand<'_> {
    /// Factor by which the body raises the penalty for a distance, because traffic is billed by size.
    #[allow(
        clippy::cast_precision_loss,
        reason = "bodies are far below 2^52 bytes"
    )]
    fn transfer_factor(&self) -> f64 {
        let beyond = self.body_bytes.saturating_sub(LARGE_BODY_BYTES) as f64;
        (1.0 + beyond / LARGE_BODY_BYTES as f64).min(MAX_TRANSFER_FACTOR)
    }
}

/// Counts a request as in flight at a target until it is dropped.
pub(crate) struct InFlight {
    stats: Arc<Stats>,
    number: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
        let mut samples = self.stats.lock();
        samples.own.retain(|own| own.number != self.number);
    }
}

impl Endpoint {
    /// An endpoint without a link, for replays in virtual time.
    #[cfg(feature = "standin")]
    pub(crate) fn detached(entry: Entry, round_trip: Duration, now: Instant) -> Self {
        Self {
            entry,
            link: None,
            last_target: None,
            first_seen: now,
            stats: Stats::new(),
            default_round_trip: round_trip,
            distance_penalty: 0.0,
            same_data_center: true,
            remote: false,
        }
    }

    /// Whether the target accepts new requests, according to its node's entry, and its node is
    /// reachable.
    pub(crate) fn is_serving(&self) -> bool {
        let reachable = self.link.as_ref().is_none_or(|link| !link.is_unreachable());
        self.entry.presence == Presence::Serving && reachable && !self.is_outdated()
    }

    /// Whether the entry announces the target by an older heartbeat than an earlier entry did. Its
    /// node does not know what an earlier process has acknowledged, such as a departure.
    pub(super) fn is_outdated(&self) -> bool {
        let (target, last) = (&self.entry.target, &self.last_target);
        let both = target.as_ref().zip(last.as_ref());
        both.is_some_and(|(target, last)| last.replaces(target))
    }

    /// The same endpoint with a newer announcement of the target by an earlier process of its node.
    pub(super) fn with_last_target(&self, target: Target) -> Self {
        Self {
            entry: self.entry.clone(),
            link: self.link.clone(),
            last_target: Some(target),
            stats: self.stats.clone(),
            ..*self
        }
    }

    /// Software version that the target runs; empty if unknown.
    pub(crate) fn version(&self) -> &str {
        let target = self.entry.target.as_ref();
        target.map_or("", |target| target.version.as_str())
    }

    /// Whether the target's node has not sent its status for longer than a ping takes, which a link
    /// sends while a request is unanswered.
    pub(crate) fn is_silent(&self) -> bool {
        let (_, age) = self.load();
        self.link.is_some() && age.is_none_or(|age| age > SILENT_AFTER)
    }

    /// Whether the target warms up, so that its latencies say nothing of its version.
    pub(crate) fn is_cold(&self) -> bool {
        let cold_ms = self.entry.target.as_ref().map_or(0, |t| t.cold_ms);
        self.first_seen.elapsed() < Duration::from_millis(cold_ms)
    }

    /// Whether the target is in this node's data centre.
    pub(crate) fn is_in_same_data_center(&self) -> bool {
        self.same_data_center
    }

    /// Counts a request, whose run is expected to take `expected` at the usual speed, as in flight
    /// until the returned guard is dropped.
    pub(crate) fn begin(&self, expected: Duration, now: Instant) -> InFlight {
        self.stats.in_flight.fetch_add(1, Ordering::Relaxed);
        let mut samples = self.stats.lock();
        samples.last_own += 1;
        let number = samples.last_own;
        samples.own.push(OwnRequest {
            number,
            began: now,
            expected,
        });
        InFlight {
            stats: self.stats.clone(),
            number,
        }
    }

    /// Records the load that the target's node reported.
    pub(crate) fn record_load(&self, load: Load, now: Instant) {
        let mut samples = self.stats.lock();
        samples.load = load;
        samples.load_received_at = Some(now);
    }

    /// Load that was last reported and the time since then, which is `None` before the first
    /// report.
    pub(crate) fn load(&self) -> (Load, Option<Duration>) {
        let samples = self.stats.lock();
        (
            samples.load,
            samples.load_received_at.map(|at| at.elapsed()),
        )
    }

    /// Records that the target did not accept a request.
    pub(crate) fn record_refusal(&self, now: Instant) {
        self.stats.lock().refused_at = Some(now);
    }

    /// Records the time from an offer to the end of its run, or to its refusal by a target that was
    /// expected to accept it, against the time that was expected.
    pub(crate) fn record_time(&self, took: Duration, expected: Duration, now: Instant) {
        let mut samples = self.stats.lock();
        samples.observed.learn(took, expected);
        samples.observed_at = Some(now);
    }

    /// Time to record for a refusal where `expected` was expected.
    pub(crate) fn refusal_time(expected: Duration) -> Duration {
        expected.mul_f64(REFUSAL_TIMES)
    }

    /// Records whether a request to the target was lost: its node was unreachable, the connection
    /// broke, or the deadline passed without an answer.
    pub(crate) fn record_outcome(&self, lost: bool, now: Instant) {
        let mut samples = self.stats.lock();
        let sample = f64::from(u8::from(lost));
        samples.loss_ratio += LOSS_WEIGHT * (sample - samples.loss_ratio);
        if lost {
            samples.lost_at = Some(now);
        }
    }

    /// Round trip time to the target's node: as measured, or a default for its distance.
    pub(crate) fn round_trip(&self) -> Duration {
        let measured = self.link.as_ref().and_then(|link| link.round_trip());
        measured.unwrap_or(self.default_round_trip)
    }

    /// Whether the target just reported that all slots are taken, so that it would probably refuse
    /// a request.
    pub(crate) fn is_full(&self, now: Instant) -> bool {
        let samples = self.stats.lock();
        let is_recent = samples
            .load_received_at
            .is_some_and(|at| now.saturating_duration_since(at) < FULL_REPORT_TTL);
        is_recent && samples.load.slots > 0 && samples.load.running >= samples.load.slots
    }

    /// Whether the target has slots to spare for a hedged request, which may not be needed.
    pub(crate) fn has_spare_slots(&self, now: Instant) -> bool {
        let samples = self.stats.lock();
        let slots = self.slots();
        self.occupancy(&samples, now) < f64::from(slots) * SPARE_SLOTS_SHARE
    }

    /// Expected time from now to the end of the run of a request, without penalties.
    pub(crate) fn expected_time(&self, demand: &Demand<'_>, now: Instant) -> Duration {
        let samples = self.stats.lock();
        self.round_trip() + Duration::from_secs_f64(self.time_by_work(&samples, demand, now))
    }

    /// How uncertain the reported load is: from 0 for a report of just now to 1 for none.
    pub(crate) fn uncertainty(&self, now: Instant) -> f64 {
        let received_at = self.stats.lock().load_received_at;
        received_at.map_or(1.0, |at| 1.0 - decay(at, OCCUPANCY_HALF_LIFE, now))
    }

    /// Expected wait and run of a request in seconds, from the work that is left at the target.
    fn time_by_work(&self, samples: &Samples, demand: &Demand<'_>, now: Instant) -> f64 {
        let slowness = self.slowness(samples, now);
        let backlog = self.backlog(samples, slowness, now);
        let slots = f64::from(self.slots());
        let utilization = (backlog.count() / slots).min(1.0);
        let run = demand.expected_latency.as_secs_f64() * slowness;
        let run = run * (1.0 + FULL_SLOWDOWN * utilization * utilization);
        run + backlog.wait(demand.nested)
    }

    /// Requests at the target, with the work that is left of them.
    fn backlog(&self, samples: &Samples, slowness: f64, now: Instant) -> Backlog {
        let load = &samples.load;
        let count = f64::from(load.running + load.queued);
        let weight = samples
            .load_received_at
            .map_or(0.0, |at| decay(at, OCCUPANCY_HALF_LIFE, now));
        let left = if load.work_ms > 0 {
            f64::from(load.work_ms) / 1e3 * f64::from(load.slots) / count.max(1.0)
        } else {
            f64::from(load.run_ms) / 1e3
        };
        // A report was sent half a round trip before it arrived, when the requests sent less than
        // half a round trip before that had not arrived there.
        let known_until = samples
            .load_received_at
            .and_then(|at| at.checked_sub(self.round_trip()));
        let is_unreported = |own: &&OwnRequest| known_until.is_none_or(|until| own.began > until);
        let unreported = samples.own.iter().filter(is_unreported);
        let (unreported, work) = unreported.fold((0.0, 0.0), |(count, work), own| {
            (count + 1.0, work + own.expected.as_secs_f64())
        });
        Backlog {
            slots: self.slots(),
            reported: count * weight,
            reported_left: left,
            unreported,
            unreported_work: work * slowness,
            own: f64::from(self.stats.in_flight.load(Ordering::Relaxed)),
        }
    }

    /// Estimated time until the target answers a request, plus penalties for failures, a recent
    /// refusal and distance. The lowest cost is best.
    pub(crate) fn cost(&self, demand: &Demand<'_>, now: Instant) -> Duration {
        let expected_latency = demand.expected_latency;
        let samples = self.stats.lock();
        let run = expected_latency.as_secs_f64() * self.slowness(&samples, now);
        let mut seconds = if demand.by_work {
            // A target whose report is better than this node's own experience is not taken at its
            // word.
            let observed = samples.observed.slowness().max(1.0) - 1.0;
            let distrust = 1.0 + observed * stats_weight(samples.observed_at, now);
            self.time_by_work(&samples, demand, now) * distrust
        } else {
            self.time_by_count(&samples, demand, now)
        };
        let reported_at = samples.load_received_at;
        let failure_ratio =
            f64::from(samples.load.failing_percent) / 100.0 * stats_weight(reported_at, now);
        let loss_ratio = samples.loss_ratio * stats_weight(samples.lost_at, now);
        seconds +=
            (failure_ratio + loss_ratio) * FAILURE_COST_LATENCIES * expected_latency.as_secs_f64();
        if samples
            .refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_PENALTY_TIME)
        {
            seconds += run;
        }
        seconds +=
            self.distance_penalty * demand.transfer_factor() * demand.objective.as_secs_f64();
        self.round_trip() + Duration::from_secs_f64(seconds)
    }

    /// Expected wait and run of a request in seconds, from the number of requests at the target.
    fn time_by_count(&self, samples: &Samples, demand: &Demand<'_>, now: Instant) -> f64 {
        let slots = f64::from(self.slots());
        let occupancy = self.occupancy(samples, now);
        let run = demand.expected_latency.as_secs_f64() * self.slowness(samples, now);
        let utilization = (occupancy / slots).min(1.0);
        let mut seconds = run * (1.0 + FULL_SLOWDOWN * utilization * utilization);
        let queued = occupancy + 1.0 - slots;
        if queued > 0.0 {
            // A nested call goes before the queue, and waits for the next free slot only.
            let queued = if demand.nested { 1.0 } else { queued };
            seconds += queued / slots * f64::from(samples.load.run_ms) / 1e3;
        }
        seconds
    }

    fn slots(&self) -> u32 {
        self.entry.target.as_ref().map_or(1, |t| t.slots.max(1))
    }

    /// Requests at the target: the decayed number that its node reported, or the number that this
    /// node has in flight there if that is higher.
    fn occupancy(&self, samples: &Samples, now: Instant) -> f64 {
        let own = f64::from(self.stats.in_flight.load(Ordering::Relaxed));
        let reported = f64::from(samples.load.running + samples.load.queued);
        let weight = samples
            .load_received_at
            .map_or(0.0, |at| decay(at, OCCUPANCY_HALF_LIFE, now));
        own.max(reported * weight)
    }

    /// Run times at the target relative to what is usual: the reported value, which decays to 1,
    /// and at least [`COLD_START_SLOWNESS`] while the target warms up.
    fn slowness(&self, samples: &Samples, now: Instant) -> f64 {
        let reported = f64::from(samples.load.slowness_percent) / 100.0;
        let slowness = match samples.load_received_at {
            Some(_) => 1.0 + (reported - 1.0) * stats_weight(samples.load_received_at, now),
            None => 1.0,
        };
        if self.is_cold() {
            return slowness.max(COLD_START_SLOWNESS);
        }
        slowness
    }
}

/// Weight of a sample taken at `sampled_at`; 0 without a sample.
fn stats_weight(sampled_at: Option<Instant>, now: Instant) -> f64 {
    sampled_at.map_or(0.0, |at| decay(at, STATS_HALF_LIFE, now))
}

/// Weight between 1 and 0 that halves with every `half_life` since `start`.
fn decay(start: Instant, half_life: Duration, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(start);
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
