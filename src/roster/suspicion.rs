//! Detects requests that crash targets.
//!
//! Requests are identified by fingerprint. A fingerprint that was in flight at two crashes is
//! refused on all nodes until the suspicion expires. A request that completes on any node clears
//! its fingerprint, so that common requests that merely ran alongside a crashing one stay allowed.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

const CRASHES_UNTIL_REFUSAL: usize = 2;
/// Time after the last crash for which a fingerprint stays suspected.
const SUSPICION_TERM: Duration = Duration::from_mins(5);
/// Time for which a completed request's fingerprint is left out of crash reports.
const COMPLETION_TERM: Duration = Duration::from_secs(30);
const MAX_FINGERPRINTS: usize = 65_536;
/// Limit on the crashes that a node reports to a process that may have just started.
const MAX_REPORTED_CRASHES: usize = 64;

/// A crash of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Name of the target's node.
    pub node: String,
    /// Sequence number of the crash within the node's incarnation.
    pub number: u64,
    /// Incarnation of the node at the crash.
    pub incarnation: u64,
    /// Fingerprints of the requests that were in flight.
    pub fingerprints: Vec<u64>,
}

#[derive(Default)]
struct Suspect {
    /// Node, incarnation and number of each crash that the fingerprint was in flight at.
    crashes: Vec<(String, u64, u64)>,
    last_crash: Option<Instant>,
}

impl Suspect {
    fn is_active(&self) -> bool {
        self.last_crash
            .is_some_and(|at| at.elapsed() < SUSPICION_TERM)
    }
}

#[derive(Default)]
struct State {
    suspects: HashMap<u64, Suspect>,
    /// Time of the last completion on this node, by fingerprint.
    completed: HashMap<u64, Instant>,
}

/// Suspected and recently completed fingerprints, as known to one node.
#[derive(Default)]
pub(crate) struct Suspicions {
    state: Mutex<State>,
}

impl Suspicions {
    /// Whether requests with this fingerprint must be refused.
    pub(crate) fn must_refuse(&self, fingerprint: u64) -> bool {
        let state = self.lock();
        state.suspects.get(&fingerprint).is_some_and(|suspect| {
            suspect.is_active() && suspect.crashes.len() >= CRASHES_UNTIL_REFUSAL
        })
    }

    /// Whether the fingerprint was in flight at a recent crash and has not completed since.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        let state = self.lock();
        state
            .suspects
            .get(&fingerprint)
            .is_some_and(Suspect::is_active)
    }

    /// Records a crash on any node. Idempotent: a crash reported twice counts once.
    pub(crate) fn record_crash(&self, crash: &Crash) {
        let mut state = self.lock();
        state.limit_size();
        let crash_id = (crash.node.clone(), crash.incarnation, crash.number);
        for fingerprint in &crash.fingerprints {
            let suspect = state.suspects.entry(*fingerprint).or_default();
            if !suspect.crashes.contains(&crash_id) {
                suspect.crashes.push(crash_id.clone());
                suspect.last_crash = Some(Instant::now());
            }
        }
    }

    /// The crashes behind the active suspicions, for a process that may not know them.
    pub(crate) fn crashes(&self) -> Vec<Crash> {
        let state = self.lock();
        let mut fingerprints: BTreeMap<&(String, u64, u64), Vec<u64>> = BTreeMap::new();
        for (fingerprint, suspect) in &state.suspects {
            for crash_id in suspect.crashes.iter().filter(|_| suspect.is_active()) {
                fingerprints.entry(crash_id).or_default().push(*fingerprint);
            }
        }
        let crashes = fingerprints.into_iter().take(MAX_REPORTED_CRASHES);
        crashes
            .map(|((node, incarnation, number), fingerprints)| Crash {
                node: node.clone(),
                number: *number,
                incarnation: *incarnation,
                fingerprints,
            })
            .collect()
    }

    /// Clears the suspicion of a fingerprint that completed on another node.
    pub(crate) fn clear(&self, fingerprint: u64) {
        self.lock().suspects.remove(&fingerprint);
    }

    /// Records that a request completed on this node. Returns whether its fingerprint was
    /// suspected, in which case the other nodes must be notified.
    pub(crate) fn record_completion(&self, fingerprint: u64) -> bool {
        let mut state = self.lock();
        state.limit_size();
        state.completed.insert(fingerprint, Instant::now());
        state.suspects.remove(&fingerprint).is_some()
    }

    /// Removes duplicates and fingerprints that recently completed on this node from those in
    /// flight at a crash.
    pub(crate) fn exclude_completed(&self, in_flight: Vec<u64>) -> Vec<u64> {
        let state = self.lock();
        let completed_recently = |fingerprint: &u64| {
            let completed_at = state.completed.get(fingerprint);
            completed_at.is_some_and(|at| at.elapsed() < COMPLETION_TERM)
        };
        let mut fingerprints = in_flight;
        fingerprints.retain(|fingerprint| !completed_recently(fingerprint));
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Drops expired entries once a map is full. Completions are dropped altogether if none has
    /// expired; suspects that are still active are kept even above the limit.
    fn limit_size(&mut self) {
        if self.completed.len() >= MAX_FINGERPRINTS {
            self.completed
                .retain(|_, at| at.elapsed() < COMPLETION_TERM);
        }
        if self.completed.len() >= MAX_FINGERPRINTS {
            self.completed.clear();
        }
        if self.suspects.len() >= MAX_FINGERPRINTS {
            self.suspects.retain(|_, suspect| suspect.is_active());
        }
    }
}
