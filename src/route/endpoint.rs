//! What a node has seen of one target: latency, requests in flight, failures, refusals.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::Pool;
use crate::roster::{Member, Presence};

const LATENCY_WEIGHT: f64 = 0.2;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
const FAILURES_TO_EJECT: u32 = 3;
const EJECTION: Duration = Duration::from_secs(5);
const MAX_EJECTIONS_COUNTED: u32 = 6;
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);
const SLOW_START: Duration = Duration::from_secs(5);

/// How a request to a target ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It answered.
    Answered,
    /// It refused for load.
    Refused,
    /// It could not be reached, or the connection broke, or it stayed silent.
    Failed,
    /// The request was cancelled; nothing is known.
    Cancelled,
}

#[derive(Debug)]
struct Health {
    latency: f64,
    measured: Instant,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    refused_until: Option<Instant>,
    started: Option<Instant>,
}

/// One target, seen from one node.
pub(crate) struct Endpoint {
    /// Its entry in the roster.
    pub member: Arc<Member>,
    /// Connections to its node.
    pub pool: Pool,
    in_flight: AtomicU32,
    health: Mutex<Health>,
}

/// A request in flight; ends as [`Outcome::Cancelled`] unless another outcome is given.
pub(crate) struct InFlight {
    endpoint: Arc<Endpoint>,
    began: Instant,
}

impl InFlight {
    /// Time since the request was sent.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Ends the request.
    pub(crate) fn end(self, outcome: Outcome) {
        self.endpoint.note(outcome, self.began.elapsed());
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint {
    /// A target that was just announced; `fresh` if it is known to have started lately.
    pub(crate) fn new(member: Arc<Member>, fresh: bool) -> Self {
        let health = Health {
            latency: 0.0,
            measured: Instant::now(),
            failures: 0,
            ejections: 0,
            ejected_until: None,
            refused_until: None,
            started: fresh.then(Instant::now),
        };
        Self {
            pool: Pool::new(member.mesh),
            member,
            in_flight: AtomicU32::new(0),
            health: Mutex::new(health),
        }
    }

    /// The same target under a newer entry of the same incarnation.
    pub(crate) fn with_member(&self, member: Arc<Member>) -> Self {
        let health = self.lock();
        Self {
            pool: self.pool.clone(),
            member,
            in_flight: AtomicU32::new(0),
            health: Mutex::new(Health { ..*health }),
        }
    }

    /// Counts a request as in flight.
    pub(crate) fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            endpoint: self.clone(),
            began: Instant::now(),
        }
    }

    /// Whether the target takes new work at all.
    pub(crate) fn serving(&self) -> bool {
        self.member.presence == Presence::Serving
    }

    /// Whether the target is ejected for failures.
    pub(crate) fn ejected(&self) -> bool {
        let health = self.lock();
        health
            .ejected_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether the target refused for load a moment ago.
    pub(crate) fn refusing(&self) -> bool {
        let health = self.lock();
        health
            .refused_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Latency estimate in seconds; forgotten slowly, so that a slow target is tried again.
    pub(crate) fn latency(&self) -> f64 {
        let health = self.lock();
        let halves = health.measured.elapsed().as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        health.latency * 0.5_f64.powf(halves)
    }

    /// Expected cost of one more request: latency times the requests it would share with.
    pub(crate) fn cost(&self, floor: f64) -> f64 {
        let in_flight = f64::from(self.in_flight.load(Ordering::Relaxed));
        let slots = self
            .member
            .offer
            .as_ref()
            .map_or(1.0, |offer| f64::from(offer.slots));
        (self.latency().max(floor)) * (1.0 + in_flight / slots) * self.start_penalty()
            + in_flight * floor
    }

    /// Falls from 8 to 1 while a target that just started warms up.
    fn start_penalty(&self) -> f64 {
        let started = self.lock().started;
        let Some(started) = started else { return 1.0 };
        let share = started.elapsed().as_secs_f64() / SLOW_START.as_secs_f64();
        if share >= 1.0 {
            1.0
        } else {
            1.0 + 7.0 * (1.0 - share)
        }
    }

    fn note(&self, outcome: Outcome, latency: Duration) {
        let mut health = self.lock();
        match outcome {
            Outcome::Answered => {
                health.measure(latency);
                health.failures = 0;
                health.refused_until = None;
            }
            Outcome::Refused => {
                let pause = REFUSAL_PAUSE.mul_f64(0.5 + rand::random::<f64>());
                health.refused_until = Some(Instant::now() + pause);
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

    /// Raises the latency estimate for a request that is still unanswered.
    pub(crate) fn note_unanswered(&self, so_far: Duration) {
        let mut health = self.lock();
        if so_far.as_secs_f64() > health.latency {
            health.measure(so_far);
        }
    }

    /// Ejects at once, as when its node cannot be connected to.
    pub(crate) fn eject(&self) {
        self.lock().eject();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Health {
    fn measure(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let first = self.latency == 0.0;
        self.latency = if first {
            latency
        } else {
            self.latency + LATENCY_WEIGHT * (latency - self.latency)
        };
        self.measured = Instant::now();
    }

    fn eject(&mut self) {
        if self
            .ejected_until
            .is_some_and(|until| Instant::now() < until)
        {
            return;
        }
        self.ejections = (self.ejections + 1).min(MAX_EJECTIONS_COUNTED);
        let term = EJECTION * self.ejections;
        self.ejected_until =
            Some(Instant::now() + term.mul_f64(0.75 + 0.5 * rand::random::<f64>()));
        self.failures = 0;
    }
}
