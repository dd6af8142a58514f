//! The part of this node in a budget of repeats that all nodes share.
//!
//! In any window of time the repeats for a service may be a share of its requests plus a fixed
//! number, over all nodes. Each node counts its own requests and takes its part of the number.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Share of the budget that is used for repeats of this node. The rest is left for requests that
/// repeated requests make, which are counted but cannot be held back, and for nodes that start anew
/// and so count too little.
const USED_SHARE: f64 = 0.55;
/// Repeats that a node may always have in a window: a share of a small budget below one would
/// forbid all.
const MIN_SLACK: f64 = 1.0;

/// The budget that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
    /// Time over which both are counted.
    pub window: Duration,
}

#[derive(Default)]
struct Counts {
    requests: VecDeque<Instant>,
    /// Repeats of this node.
    repeats: VecDeque<Instant>,
    /// Requests that repeated requests made, by their likelihood.
    inherited: VecDeque<(Instant, f64)>,
}

/// This node's part of the budget, by service.
pub(super) struct Budget {
    limits: Limits,
    counts: Mutex<HashMap<String, Counts>>,
}

impl Budget {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            counts: Mutex::default(),
        }
    }

    /// Counts a request to a service, which with likelihood `inherited` was made by a request that
    /// was itself repeated.
    pub(super) fn request(&self, service: &str, inherited: f64) {
        let mut counts = self.lock();
        let counts = entry(&mut counts, service);
        counts.forget(self.limits.window);
        counts.requests.push_back(Instant::now());
        if inherited > 0.0 {
            counts.inherited.push_back((Instant::now(), inherited));
        }
    }

    /// Takes a repeat out of the budget, if there is one left; `nodes` share it.
    pub(super) fn withdraw(&self, service: &str, nodes: usize) -> bool {
        let mut counts = self.lock();
        let counts = entry(&mut counts, service);
        counts.forget(self.limits.window);
        if counts.spent() + 1.0 > self.allowed(counts, nodes) {
            return false;
        }
        counts.repeats.push_back(Instant::now());
        true
    }

    /// Repeats that are left in the window.
    pub(super) fn left(&self, service: &str, nodes: usize) -> f64 {
        let mut counts = self.lock();
        let counts = entry(&mut counts, service);
        counts.forget(self.limits.window);
        self.allowed(counts, nodes) - counts.spent()
    }

    fn allowed(&self, counts: &Counts, nodes: usize) -> f64 {
        let slack = USED_SHARE * self.limits.slack / to_f64(nodes.max(1));
        let share = USED_SHARE * self.limits.ratio * to_f64(counts.requests.len());
        share + slack.max(MIN_SLACK)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Counts>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn entry<'a>(counts: &'a mut HashMap<String, Counts>, service: &str) -> &'a mut Counts {
    if !counts.contains_key(service) {
        counts.insert(service.to_owned(), Counts::default());
    }
    counts.entry(service.to_owned()).or_default()
}

impl Counts {
    fn forget(&mut self, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| at.elapsed() > window) {
                times.pop_front();
            }
        }
        let old = |(at, _): &(Instant, f64)| at.elapsed() > window;
        while self.inherited.front().is_some_and(old) {
            self.inherited.pop_front();
        }
    }

    /// Repeats in the window.
    fn spent(&self) -> f64 {
        let inherited: f64 = self.inherited.iter().map(|(_, share)| share).sum();
        to_f64(self.repeats.len()) + inherited
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
