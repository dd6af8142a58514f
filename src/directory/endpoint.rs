//! One target as this node sees it.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::link::{Entry, Link, Load};
use crate::roster::Presence;

/// Half-life of what is known of a target's run times and failures, after which a target that got
/// no requests is tried again.
const OPINION_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of a reported number of running and waiting requests: some run times.
const OCCUPANCY_HALF_LIFE: Duration = Duration::from_millis(400);
/// Slowdown of a target that has just started.
const COLD_SLOWNESS: f64 = 2.0;
/// Slowdown of a target all of whose slots are taken, relative to an idle one.
const FULL_SLOWNESS: f64 = 0.6;
/// Run times that a failed answer costs.
const FAILURE_RUNS: f64 = 6.0;
/// Time for which a target that reported no free slot counts as full: a few slots come free in it.
const FULL_TERM: Duration = Duration::from_millis(100);
/// Pause after a refusal in which the target is asked last.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Failures to reach a target in a row after which it counts as failing.
const LOST_COST: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct Opinion {
    load: Load,
    heard: Option<Instant>,
    refused: Option<Instant>,
    /// Share of this node's own requests that were lost lately.
    lost: f64,
    lost_at: Option<Instant>,
}

/// What this node knows of a target, kept while the target lives.
pub(super) struct Record {
    opinion: Mutex<Opinion>,
    in_flight: AtomicU32,
}

impl Record {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            opinion: Mutex::new(Opinion {
                load: Load::default(),
                heard: None,
                refused: None,
                lost: 0.0,
                lost_at: None,
            }),
            in_flight: AtomicU32::new(0),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Opinion> {
        self.opinion.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One target, seen from this node.
pub(crate) struct Endpoint {
    /// Its node's entry.
    pub entry: Entry,
    /// Link to its node; absent for the target beside this node.
    pub link: Option<Arc<Link>>,
    pub(super) since: Instant,
    pub(super) record: Arc<Record>,
    pub(super) distance: Duration,
    pub(super) preference: f64,
    pub(super) near: bool,
}

/// A request in flight at a target; ends when dropped.
pub(crate) struct InFlight(Arc<Record>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint {
    /// Whether the target takes new work, as far as known.
    pub(crate) fn is_serving(&self) -> bool {
        let reachable = self.link.as_ref().is_none_or(|link| !link.is_unreachable());
        self.entry.presence == Presence::Serving && reachable
    }

    /// Whether the target is in this node's data centre.
    pub(crate) fn is_in_same_data_center(&self) -> bool {
        self.near
    }

    /// Counts a request as in flight.
    pub(crate) fn begin(&self) -> InFlight {
        self.record.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.record.clone())
    }

    /// Takes the load that the target's node reports.
    pub(crate) fn record_load(&self, load: Load) {
        let mut opinion = self.record.lock();
        opinion.load = load;
        opinion.heard = Some(Instant::now());
    }

    /// Load that was last reported, and its age.
    pub(crate) fn load(&self) -> (Load, Option<Duration>) {
        let opinion = *self.record.lock();
        (opinion.load, opinion.heard.map(|heard| heard.elapsed()))
    }

    /// Notes that the target refused a request for load.
    pub(crate) fn note_refused(&self) {
        self.record.lock().refused = Some(Instant::now());
    }

    /// Notes whether a request to the target was lost.
    pub(crate) fn note_outcome(&self, lost: bool) {
        let mut opinion = self.record.lock();
        let now = f64::from(u8::from(lost));
        opinion.lost += LOST_COST * (now - opinion.lost);
        if lost {
            opinion.lost_at = Some(Instant::now());
        }
    }

    /// Time of a round trip to the target's node.
    pub(crate) fn round_trip(&self) -> Duration {
        let measured = self.link.as_ref().and_then(|link| link.round_trip());
        measured.unwrap_or(self.distance)
    }

    /// Whether the target was full a moment ago, so that an offer would likely be refused.
    pub(crate) fn is_full(&self) -> bool {
        let opinion = *self.record.lock();
        let fresh = opinion
            .heard
            .is_some_and(|heard| heard.elapsed() < FULL_TERM);
        fresh && opinion.load.slots > 0 && opinion.load.running >= opinion.load.slots
    }

    /// Whether the target has slots to spare for a request that may not be needed.
    pub(crate) fn has_room(&self) -> bool {
        let opinion = *self.record.lock();
        let slots = self.slots();
        self.occupancy(&opinion) < f64::from(slots) * 0.7
    }

    /// Time in which a request whose route usually takes `expected` is likely to be answered, with
    /// the preference for near targets.
    pub(crate) fn cost(&self, expected: Duration, objective: Duration) -> Duration {
        let opinion = *self.record.lock();
        let slots = f64::from(self.slots());
        let occupancy = self.occupancy(&opinion);
        let run = expected.as_secs_f64() * self.slowness(&opinion);
        let fill = (occupancy / slots).min(1.0);
        let mut seconds = run * (1.0 + FULL_SLOWNESS * fill * fill);
        let over = occupancy + 1.0 - slots;
        if over > 0.0 {
            seconds += over / slots * f64::from(opinion.load.run_ms) / 1e3;
        }
        let failing = f64::from(opinion.load.failing_percent) / 100.0 * fade(opinion.heard);
        let lost = opinion.lost * fade(opinion.lost_at);
        seconds += (failing + lost) * FAILURE_RUNS * expected.as_secs_f64();
        if opinion
            .refused
            .is_some_and(|at| at.elapsed() < REFUSAL_PAUSE)
        {
            seconds += run;
        }
        seconds += self.preference * objective.as_secs_f64();
        self.round_trip() + Duration::from_secs_f64(seconds)
    }

    fn slots(&self) -> u32 {
        self.entry.target.as_ref().map_or(1, |t| t.slots.max(1))
    }

    /// Requests at the target: those reported, or this node's own if they are more.
    fn occupancy(&self, opinion: &Opinion) -> f64 {
        let own = f64::from(self.record.in_flight.load(Ordering::Relaxed));
        let reported = f64::from(opinion.load.running + opinion.load.queued);
        let fresh = opinion
            .heard
            .map_or(0.0, |heard| decay(heard, OCCUPANCY_HALF_LIFE));
        own.max(reported * fresh)
    }

    fn slowness(&self, opinion: &Opinion) -> f64 {
        let reported = f64::from(opinion.load.slowness_percent) / 100.0;
        let slowness = match opinion.heard {
            Some(_) => 1.0 + (reported - 1.0) * fade(opinion.heard),
            None => 1.0,
        };
        let cold = self.entry.target.as_ref().map_or(0, |t| t.cold_ms);
        if self.since.elapsed() < Duration::from_millis(cold) {
            return slowness.max(COLD_SLOWNESS);
        }
        slowness
    }
}

fn fade(since: Option<Instant>) -> f64 {
    since.map_or(0.0, |since| decay(since, OPINION_HALF_LIFE))
}

fn decay(since: Instant, half_life: Duration) -> f64 {
    0.5_f64.powf(since.elapsed().as_secs_f64() / half_life.as_secs_f64())
}
