//! Requests that were in flight when targets crashed.
//!
//! A request is known by its fingerprint. One that was in flight at two crashes is refused
//! everywhere for a while. A request that completes anywhere is innocent and clears its
//! fingerprint, so that common requests that merely ran beside a crashing one stay allowed.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const CRASHES_TO_REFUSE: usize = 2;
const SUSPICION_TERM: Duration = Duration::from_mins(5);
const COMPLETION_TERM: Duration = Duration::from_secs(30);
const MAX_FINGERPRINTS: usize = 65_536;

/// One crash of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Node of the target.
    pub node: String,
    /// Number of the crash on that node's process.
    pub number: u64,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Fingerprints that were in flight.
    pub fingerprints: Vec<u64>,
}

#[derive(Default)]
struct Suspect {
    crashes: Vec<(String, u64, u64)>,
    since: Option<Instant>,
}

impl Suspect {
    fn is_fresh(&self) -> bool {
        self.since
            .is_some_and(|since| since.elapsed() < SUSPICION_TERM)
    }
}

#[derive(Default)]
struct State {
    suspects: HashMap<u64, Suspect>,
    completed: HashMap<u64, Instant>,
}

/// What one node knows about crashing requests.
#[derive(Default)]
pub(crate) struct Suspicions {
    state: Mutex<State>,
}

impl Suspicions {
    /// Whether requests with this fingerprint must be refused.
    pub(crate) fn refuses(&self, fingerprint: u64) -> bool {
        let state = self.lock();
        state
            .suspects
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.is_fresh() && suspect.crashes.len() >= CRASHES_TO_REFUSE)
    }

    /// Whether a request with this fingerprint was in flight at any recent crash.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        let state = self.lock();
        state
            .suspects
            .get(&fingerprint)
            .is_some_and(Suspect::is_fresh)
    }

    /// Notes a crash that happened anywhere; hearing of the same one again changes nothing.
    pub(crate) fn record_crash(&self, crash: &Crash) {
        let mut state = self.lock();
        state.make_room();
        let identity = (crash.node.clone(), crash.incarnation, crash.number);
        for fingerprint in &crash.fingerprints {
            let suspect = state.suspects.entry(*fingerprint).or_default();
            if !suspect.crashes.contains(&identity) {
                suspect.crashes.push(identity.clone());
                suspect.since = Some(Instant::now());
            }
        }
    }

    /// Forgets a fingerprint that completed somewhere.
    pub(crate) fn clear(&self, fingerprint: u64) {
        self.lock().suspects.remove(&fingerprint);
    }

    /// Notes that a request completed here; returns whether others suspect its fingerprint and
    /// should hear of it.
    pub(crate) fn record_completion(&self, fingerprint: u64) -> bool {
        let mut state = self.lock();
        state.make_room();
        state.completed.insert(fingerprint, Instant::now());
        state.suspects.remove(&fingerprint).is_some()
    }

    /// Of the fingerprints in flight at a crash, those that did not complete here lately.
    pub(crate) fn exclude_completed(&self, in_flight: Vec<u64>) -> Vec<u64> {
        let state = self.lock();
        let innocent = |fingerprint: &u64| {
            let completed = state.completed.get(fingerprint);
            completed.is_some_and(|at| at.elapsed() < COMPLETION_TERM)
        };
        let mut fingerprints = in_flight;
        fingerprints.retain(|fingerprint| !innocent(fingerprint));
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Drops what has expired once the maps are full.
    fn make_room(&mut self) {
        if self.completed.len() >= MAX_FINGERPRINTS {
            self.completed
                .retain(|_, at| at.elapsed() < COMPLETION_TERM);
        }
        if self.completed.len() >= MAX_FINGERPRINTS {
            self.completed.clear();
        }
        if self.suspects.len() >= MAX_FINGERPRINTS {
            self.suspects.retain(|_, suspect| suspect.is_fresh());
        }
    }
}
