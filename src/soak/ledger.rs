//! What callers and targets saw, and which promises it breaks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::dialect::Heartbeat;
use crate::platform::sample::TargetHeaders;
use crate::soak::{Report, SERVICES};

/// Time after the acknowledgement of its leaving from which a target gets no requests.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Violations that are kept.
const MAX_VIOLATIONS: usize = 50;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// A whole answer.
    Answer {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The connection ended without one.
    Cut,
}

#[derive(Default)]
struct State {
    /// Runs by request.
    runs: HashMap<String, u32>,
    /// Requests that were refused with a promise.
    promised: Vec<String>,
    /// Targets that leave, since when.
    leaving: HashMap<String, Instant>,
    newest: u64,
    requests: u64,
    served: u64,
    violations: Vec<String>,
}

/// The record of one run.
#[derive(Default)]
pub(super) struct Ledger {
    state: Mutex<State>,
}

impl Ledger {
    /// Notes a broken promise.
    pub(super) fn violation(&self, what: String) {
        self.lock().violation(what);
    }

    /// Notes a version that was written.
    pub(super) fn published(&self, version: u64) {
        self.lock().newest = version;
    }

    /// Newest version that was written.
    pub(super) fn newest(&self) -> u64 {
        self.lock().newest
    }

    /// Notes that a target's leaving was acknowledged.
    pub(super) fn acknowledged_leaving(&self, id: &str) {
        let mut state = self.lock();
        state
            .leaving
            .entry(id.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Notes a run at a target.
    pub(super) fn ran(&self, received: &TargetHeaders, path: &str, target: &Heartbeat) {
        let mut state = self.lock();
        let id = received.request_id.as_str();
        let runs = state.runs.entry(id.to_owned()).or_insert(0);
        *runs += 1;
        let runs = *runs;
        if path.contains("-once/") && runs > 1 {
            state.violation(format!("TWICE: {id} {path} ran {runs} times"));
        }
        let leaving = state.leaving.get(&target.id).map(Instant::elapsed);
        if leaving.is_some_and(|since| since > DRAIN) {
            state.violation(format!(
                "DRAIN: {id} ran at {} after {leaving:?}",
                target.id
            ));
        }
        let marker = path.starts_with("/v");
        let service = if marker {
            SERVICES[0]
        } else {
            path[1..].split('-').next().unwrap_or("")
        };
        if service != target.service {
            state.violation(format!(
                "ROUTE: {id} {path} ran at a target of {}",
                target.service
            ));
        }
        if !SERVICES.contains(&received.caller_service.as_str()) {
            state.violation(format!("UNASKED: {id} from '{}'", received.caller_service));
        }
    }

    /// Notes the end of a request.
    pub(super) fn ended(&self, id: &str, path: &str, end: &End) {
        let mut state = self.lock();
        state.requests += 1;
        let End::Answer { status, body } = end else {
            return;
        };
        if PROMISES.contains(status) && path.contains("-once/") {
            state.promised.push(id.to_owned());
        }
        if *status == 200 {
            state.served += 1;
            if *body != format!("{id} {path}") {
                state.violation(format!("MIXED: {id} {path} got '{body}'"));
            }
        }
        if *status == 404 && !path.starts_with("/v") || *status == 400 {
            state.violation(format!("DENIED: {id} {path} got {status}"));
        }
    }

    /// The report, with what can only be judged at the end.
    pub(super) fn report(&self, seed: u64, faults: Vec<String>) -> Report {
        let mut state = self.lock();
        let promised = std::mem::take(&mut state.promised);
        for id in promised {
            if state.runs.contains_key(&id) {
                state.violation(format!("REFUSED: {id} was refused as not run, and ran"));
            }
        }
        Report {
            seed,
            requests: state.requests,
            served: state.served,
            faults,
            violations: state.violations.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn violation(&mut self, what: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(what);
        }
    }
}
