//! Measurements of one target by one node: latency, requests in flight, failures, refusals.
//! Latency and load are kept apart for short and long classes, or one long answer would make a
//! target look slow to short requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::bundle::ClassKind;
use crate::http::Pool;
use crate::roster::{Member, Presence};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.2;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Time of the first ejection, give or take a quarter; later ones are multiples of it.
const EJECTION_TIME: Duration = Duration::from_secs(5);
/// Bound on the multiple of [`EJECTION_TIME`].
const MAX_EJECTION_MULTIPLE: u32 = 6;
/// Mean time for which a target that refused for load gets no new requests.
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);
/// Time over which a target that just started works up to its full share.
const SLOW_START: Duration = Duration::from_secs(5);
/// What the slow start adds to the cost factor of 1 at its beginning; falls to 0 linearly.
const SLOW_START_PENALTY: f64 = 7.0;

/// How a request to a target ended, as far as it bears on the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target answered.
    Answered,
    /// The target refused because it is overloaded or draining.
    Refused,
    /// The target could not be reached, the connection broke, or no answer came.
    Failed,
    /// The request was cancelled, or ended in a way that says nothing about the target's health.
    Cancelled,
}

/// Number of requests at a target, queued and running, by [`ClassKind::index`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load(pub [u32; ClassKind::COUNT]);

impl Load {
    fn total(self) -> u32 {
        self.0.iter().sum()
    }
}

/// Moving average of a latency that decays with time.
#[derive(Clone, Copy, Debug)]
struct Latency {
    /// 0 before the first sample.
    seconds: f64,
    sampled_at: Instant,
}

impl Latency {
    fn add_sample(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        self.seconds = if self.seconds == 0.0 {
            latency
        } else {
            self.seconds + LATENCY_SAMPLE_WEIGHT * (latency - self.seconds)
        };
        self.sampled_at = Instant::now();
    }

    /// Estimate in seconds, which decays with time so that a slow target is tried again.
    fn estimate(self) -> f64 {
        let half_lives = self.sampled_at.elapsed().as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        self.seconds * 0.5_f64.powf(half_lives)
    }
}

#[derive(Clone, Debug)]
struct Health {
    latency: [Latency; ClassKind::COUNT],
    in_flight: Load,
    /// Load from other nodes, as of the target's last answer.
    other_load: Load,
    /// Consecutive failures; an answer, a refusal or an ejection resets them.
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// End of the pause after a refusal for load.
    paused_until: Option<Instant>,
    /// When the target's slow start began, if it has one.
    slow_start_since: Option<Instant>,
}

/// A target with this node's connections to it and measurements of it.
pub(crate) struct Endpoint {
    /// The target's entry in the roster.
    pub member: Arc<Member>,
    /// Connections to the target's node.
    pub pool: Pool,
    health: Mutex<Health>,
}

/// Guard of a request in flight; ends as [`Outcome::Cancelled`] unless another outcome is given.
pub(crate) struct InFlight {
    endpoint: Arc<Endpoint>,
    kind: ClassKind,
    sent_at: Instant,
}

impl InFlight {
    /// Time since the request was sent.
    pub(crate) fn elapsed(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Ends the request and records its outcome.
    pub(crate) fn end(self, outcome: Outcome) {
        self.endpoint
            .record_outcome(self.kind, outcome, self.sent_at.elapsed());
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut health = self.endpoint.lock();
        let count = &mut health.in_flight.0[self.kind.index()];
        *count = count.saturating_sub(1);
    }
}

impl Endpoint {
    /// A target without measurements; `slow_start` if it is known to have started just now.
    pub(crate) fn new(member: Arc<Member>, slow_start: bool) -> Self {
        let unsampled = Latency {
            seconds: 0.0,
            sampled_at: Instant::now(),
        };
        let health = Health {
            latency: [unsampled; ClassKind::COUNT],
            in_flight: Load::default(),
            other_load: Load::default(),
            failures: 0,
            ejections: 0,
            ejected_until: None,
            paused_until: None,
            slow_start_since: slow_start.then(Instant::now),
        };
        Self {
            pool: Pool::new(member.mesh),
            member,
            health: Mutex::new(health),
        }
    }

    /// The same target with a newer roster entry of the same incarnation. The copy starts with no
    /// requests in flight, as those are counted on the endpoint on which they began.
    pub(crate) fn with_member(&self, member: Arc<Member>) -> Self {
        let health = Health {
            in_flight: Load::default(),
            ..self.lock().clone()
        };
        Self {
            pool: self.pool.clone(),
            member,
            health: Mutex::new(health),
        }
    }

    /// Counts a request as in flight.
    pub(crate) fn begin(self: &Arc<Self>, kind: ClassKind) -> InFlight {
        self.lock().in_flight.0[kind.index()] += 1;
        InFlight {
            endpoint: self.clone(),
            kind,
            sent_at: Instant::now(),
        }
    }

    /// Whether the target's roster entry says that it accepts requests.
    pub(crate) fn is_serving(&self) -> bool {
        self.member.presence == Presence::Serving
    }

    /// Whether the target is currently ejected for failures.
    pub(crate) fn is_ejected(&self) -> bool {
        let health = self.lock();
        health
            .ejected_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether the pause after a refusal for load still lasts.
    pub(crate) fn is_paused(&self) -> bool {
        let health = self.lock();
        health
            .paused_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Latency estimate for a kind of class, in seconds; 0 if nothing is known.
    pub(crate) fn latency(&self, kind: ClassKind) -> f64 {
        self.lock().latency[kind.index()].estimate()
    }

    /// Expected cost of one more request of `kind`: the latency in seconds, at least `floor`, times
    /// the square of one plus the competing load per slot, times the slow-start factor. All load
    /// competes with a short request, but only the load of long classes with a long one.
    pub(crate) fn cost(&self, kind: ClassKind, floor: f64) -> f64 {
        let health = self.lock();
        let competing = |load: Load| match kind {
            ClassKind::Short => load.total(),
            ClassKind::Long => load.0[ClassKind::Long.index()],
        };
        let load = f64::from(competing(health.other_load) + competing(health.in_flight));
        let slots = self
            .member
            .offer
            .as_ref()
            .map_or(1, |offer| offer.slots.max(1));
        let fill = 1.0 + load / f64::from(slots);
        let latency = health.latency[kind.index()].estimate().max(floor);
        latency * fill * fill * health.slow_start_factor()
    }

    /// Updates the load from other nodes by the load that the target's node reports with an answer.
    pub(crate) fn update_load(&self, load: Load) {
        let mut health = self.lock();
        for index in 0..ClassKind::COUNT {
            let own = health.in_flight.0[index];
            health.other_load.0[index] = load.0[index].saturating_sub(own);
        }
    }

    /// Raises the latency estimate if a request has been unanswered for longer than that.
    pub(crate) fn record_unanswered(&self, kind: ClassKind, elapsed: Duration) {
        let latency = &mut self.lock().latency[kind.index()];
        if elapsed.as_secs_f64() > latency.estimate() {
            latency.add_sample(elapsed);
        }
    }

    /// Ejects the target at once, such as when its node cannot be connected to.
    pub(crate) fn eject(&self) {
        self.lock().eject();
    }

    fn record_outcome(&self, kind: ClassKind, outcome: Outcome, latency: Duration) {
        let mut health = self.lock();
        match outcome {
            Outcome::Answered => {
                health.latency[kind.index()].add_sample(latency);
                health.failures = 0;
                health.paused_until = None;
            }
            Outcome::Refused => {
                let pause = REFUSAL_PAUSE.mul_f64(0.5 + rand::random::<f64>());
                health.paused_until = Some(Instant::now() + pause);
                health.failures = 0;
            }
            Outcome::Failed => {
                health.failures += 1;
                if health.failures >= FAILURES_TO_EJECT {
                    health.eject();
                }
            }
            Outcome::Cancelled => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Health {
    /// Factor of the cost; falls to 1 over the slow start.
    fn slow_start_factor(&self) -> f64 {
        let Some(slow_start_since) = self.slow_start_since else {
            return 1.0;
        };
        let progress = slow_start_since.elapsed().as_secs_f64() / SLOW_START.as_secs_f64();
        1.0 + SLOW_START_PENALTY * (1.0 - progress).max(0.0)
    }

    fn eject(&mut self) {
        if self
            .ejected_until
            .is_some_and(|until| Instant::now() < until)
        {
            return;
        }
        self.ejections = (self.ejections + 1).min(MAX_EJECTION_MULTIPLE);
        let duration = EJECTION_TIME * self.ejections;
        self.ejected_until =
            Some(Instant::now() + duration.mul_f64(0.75 + 0.5 * rand::random::<f64>()));
        self.failures = 0;
    }
}
