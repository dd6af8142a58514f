//! Bounds on what a node adds to a crowd: retries as a share of requests, and load that is shed
//! before it leaves the node.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const MILLI: u64 = 1_000;
const RESERVE_TOKENS: u64 = 10;
const MAX_TOKENS: u64 = 1_000;

/// Retries and hedges allowed: a share of the requests, with a small reserve.
pub(crate) struct Budget {
    deposit: u64,
    tokens: Mutex<u64>,
}

impl Budget {
    /// A budget of `percent` retries per 100 requests.
    pub(crate) fn new(percent: u32) -> Self {
        Self {
            deposit: u64::from(percent) * MILLI / 100,
            tokens: Mutex::new(RESERVE_TOKENS * MILLI),
        }
    }

    /// Counts a request.
    pub(crate) fn deposit(&self) {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        *tokens = (*tokens + self.deposit).min(MAX_TOKENS * MILLI);
    }

    /// Takes a retry out of the budget, if there is one left.
    pub(crate) fn withdraw(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        if *tokens < MILLI {
            return false;
        }
        *tokens -= MILLI;
        true
    }
}

const WINDOW: Duration = Duration::from_secs(1);
const ACCEPTED_MULTIPLE: f64 = 1.5;
const MINIMUM_REQUESTS: f64 = 20.0;

#[derive(Clone, Copy)]
struct Counts {
    since: Instant,
    requests: f64,
    accepted: f64,
}

/// Sheds requests of a service at the caller's node while its targets refuse most of them, so
/// that refusals do not use up the targets' nodes.
pub(crate) struct Throttle {
    counts: Mutex<Counts>,
}

impl Throttle {
    pub(crate) fn new() -> Self {
        let counts = Counts {
            since: Instant::now(),
            requests: 0.0,
            accepted: 0.0,
        };
        Self {
            counts: Mutex::new(counts),
        }
    }

    /// Counts a request; returns whether to shed it. `draw` is uniform in 0..1.
    pub(crate) fn sheds(&self, draw: f64) -> bool {
        let mut counts = self.lock();
        counts.decay();
        let excess = counts.requests - ACCEPTED_MULTIPLE * counts.accepted - MINIMUM_REQUESTS;
        let probability = excess / (counts.requests + 1.0);
        counts.requests += 1.0;
        draw < probability
    }

    /// Counts a request that a target accepted.
    pub(crate) fn accepted(&self) {
        self.lock().accepted += 1.0;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counts {
    /// Halves the counts for every window that has passed.
    fn decay(&mut self) {
        while self.since.elapsed() >= WINDOW {
            self.since += WINDOW;
            self.requests /= 2.0;
            self.accepted /= 2.0;
            if self.requests < 1.0 {
                self.since = Instant::now();
            }
        }
    }
}
