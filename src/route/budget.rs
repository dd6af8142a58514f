//! Limits that keep a node from worsening an overload: retries as a share of requests, and load
//! shedding before requests leave the node.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Budgets are counted in thousandths of a token; a retry or hedge costs one token.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;
const INITIAL_TOKENS: u64 = 10;
const MAX_TOKENS: u64 = 1_000;

/// Token bucket for retries and hedges: a share of the requests, plus a small initial reserve.
pub(crate) struct RetryBudget {
    millitokens_per_request: u64,
    millitokens: Mutex<u64>,
}

impl RetryBudget {
    /// A budget of `percent` retries and hedges per 100 requests.
    pub(crate) fn new(percent: u32) -> Self {
        Self {
            millitokens_per_request: u64::from(percent) * MILLITOKENS_PER_TOKEN / 100,
            millitokens: Mutex::new(INITIAL_TOKENS * MILLITOKENS_PER_TOKEN),
        }
    }

    /// Adds a request's share of a token.
    pub(crate) fn deposit(&self) {
        let mut millitokens = self.lock();
        *millitokens =
            (*millitokens + self.millitokens_per_request).min(MAX_TOKENS * MILLITOKENS_PER_TOKEN);
    }

    /// Spends a token on a retry or hedge; `false` if there is none.
    pub(crate) fn withdraw(&self) -> bool {
        let mut millitokens = self.lock();
        if *millitokens < MILLITOKENS_PER_TOKEN {
            return false;
        }
        *millitokens -= MILLITOKENS_PER_TOKEN;
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, u64> {
        self.millitokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Period after which the request counts are halved.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests beyond this multiple of the accepted ones may be shed.
const ACCEPTED_MULTIPLE: f64 = 1.5;
/// Requests that are never counted as excess, so that low traffic is not shed.
const UNTHROTTLED_REQUESTS: f64 = 20.0;

#[derive(Clone, Copy)]
struct Counts {
    window_start: Instant,
    requests: f64,
    accepted: f64,
}

/// Adaptive throttle of one service: sheds requests at the caller's node while the targets refuse
/// most of them, so that refusing does not exhaust the targets' nodes.
pub(crate) struct Throttle {
    counts: Mutex<Counts>,
}

impl Throttle {
    pub(crate) fn new() -> Self {
        let counts = Counts {
            window_start: Instant::now(),
            requests: 0.0,
            accepted: 0.0,
        };
        Self {
            counts: Mutex::new(counts),
        }
    }

    /// Counts a request and decides whether to shed it. `sample` is drawn uniformly from 0..1.
    pub(crate) fn should_shed(&self, sample: f64) -> bool {
        let mut counts = self.lock();
        counts.decay();
        let excess = counts.requests - ACCEPTED_MULTIPLE * counts.accepted - UNTHROTTLED_REQUESTS;
        let probability = excess / (counts.requests + 1.0);
        counts.requests += 1.0;
        sample < probability
    }

    /// Counts a request that a target accepted.
    pub(crate) fn record_accepted(&self) {
        self.lock().accepted += 1.0;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counts {
    /// Halves the counts for every window that has passed; restarts the window once they are
    /// negligible.
    fn decay(&mut self) {
        while self.window_start.elapsed() >= WINDOW {
            self.window_start += WINDOW;
            self.requests /= 2.0;
            self.accepted /= 2.0;
            if self.requests < 1.0 {
                self.window_start = Instant::now();
            }
        }
    }
}
