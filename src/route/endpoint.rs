//! What a node has seen of one target: latency, requests in flight, failures, refusals. Latency
//! and load are kept apart for short and long classes, or one long answer would make a target
//! look slow to short requests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::bundle::ClassKind;
use crate::http::Pool;
use crate::roster::{Member, Presence};

const LATENCY_WEIGHT: f64 = 0.2;
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
const FAILURES_TO_EJECT: u32 = 3;
const EJECTION: Duration = Duration::from_secs(5);
const MAX_EJECTIONS_COUNTED: u32 = 6;
const REFUSAL_PAUSE: Duration = Duration::from_millis(20);
const SLOW_START: Duration = Duration::from_secs(5);
const SLOW_START_PENALTY: f64 = 7.0;

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

/// Requests at a target by [`ClassKind::index`], waiting ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load(pub [u32; ClassKind::COUNT]);

impl Load {
    fn total(self) -> u32 {
        self.0.iter().sum()
    }
}

#[derive(Clone, Copy, Debug)]
struct Latency {
    seconds: f64,
    measured: Instant,
}

impl Latency {
    fn measure(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        self.seconds = if self.seconds == 0.0 {
            latency
        } else {
            self.seconds + LATENCY_WEIGHT * (latency - self.seconds)
        };
        self.measured = Instant::now();
    }

    /// The estimate, which fades with time so that a slow target is tried again.
    fn estimate(self) -> f64 {
        let halves = self.measured.elapsed().as_secs_f64() / LATENCY_HALF_LIFE.as_secs_f64();
        self.seconds * 0.5_f64.powf(halves)
    }
}

#[derive(Clone, Debug)]
struct Health {
    latency: [Latency; ClassKind::COUNT],
    in_flight: Load,
    /// Load from other nodes, as of the target's last answer.
    others: Load,
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
    health: Mutex<Health>,
}

/// A request in flight; ends as [`Outcome::Cancelled`] unless another outcome is given.
pub(crate) struct InFlight {
    endpoint: Arc<Endpoint>,
    kind: ClassKind,
    began: Instant,
}

impl InFlight {
    /// Time since the request was sent.
    pub(crate) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Ends the request.
    pub(crate) fn end(self, outcome: Outcome) {
        self.endpoint.note(self.kind, outcome, self.began.elapsed());
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
    /// A target that was just announced; `fresh` if it is known to have started lately.
    pub(crate) fn new(member: Arc<Member>, fresh: bool) -> Self {
        let unknown = Latency {
            seconds: 0.0,
            measured: Instant::now(),
        };
        let health = Health {
            latency: [unknown; ClassKind::COUNT],
            in_flight: Load::default(),
            others: Load::default(),
            failures: 0,
            ejections: 0,
            ejected_until: None,
            refused_until: None,
            started: fresh.then(Instant::now),
        };
        Self {
            pool: Pool::new(member.mesh),
            member,
            health: Mutex::new(health),
        }
    }

    /// The same target under a newer entry of the same incarnation.
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

    /// Latency estimate for a kind of class, in seconds; 0 if nothing is known.
    pub(crate) fn latency(&self, kind: ClassKind) -> f64 {
        self.lock().latency[kind.index()].estimate()
    }

    /// Expected cost of one more request of `kind`: latency, raised by how full the slots are that
    /// such a request may use.
    pub(crate) fn cost(&self, kind: ClassKind, floor: f64) -> f64 {
        let health = self.lock();
        let at = |load: Load| match kind {
            ClassKind::Short => load.total(),
            ClassKind::Long => load.0[ClassKind::Long.index()],
        };
        let load = f64::from(at(health.others) + at(health.in_flight));
        let slots = self
            .member
            .offer
            .as_ref()
            .map_or(1, |offer| offer.slots.max(1));
        let fill = 1.0 + load / f64::from(slots);
        let latency = health.latency[kind.index()].estimate().max(floor);
        latency * fill * fill * health.start_penalty()
    }

    /// Takes the load that the target's node reports with an answer.
    pub(crate) fn note_load(&self, load: Load) {
        let mut health = self.lock();
        for index in 0..ClassKind::COUNT {
            let own = health.in_flight.0[index];
            health.others.0[index] = load.0[index].saturating_sub(own);
        }
    }

    /// Raises the latency estimate for a request that is still unanswered.
    pub(crate) fn note_unanswered(&self, kind: ClassKind, so_far: Duration) {
        let latency = &mut self.lock().latency[kind.index()];
        if so_far.as_secs_f64() > latency.estimate() {
            latency.measure(so_far);
        }
    }

    /// Ejects at once, as when its node cannot be connected to.
    pub(crate) fn eject(&self) {
        self.lock().eject();
    }

    fn note(&self, kind: ClassKind, outcome: Outcome, latency: Duration) {
        let mut health = self.lock();
        match outcome {
            Outcome::Answered => {
                health.latency[kind.index()].measure(latency);
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

    fn lock(&self) -> std::sync::MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Health {
    /// Falls to 1 while a target that just started warms up.
    fn start_penalty(&self) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        let share = started.elapsed().as_secs_f64() / SLOW_START.as_secs_f64();
        1.0 + SLOW_START_PENALTY * (1.0 - share).max(0.0)
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
