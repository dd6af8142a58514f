//! Checks the invariants of a run from what callers and targets observe.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::dialect::Heartbeat;
use crate::platform::sample::TargetHeaders;
use crate::soak::{Report, SERVICES, tenant_of};

/// Time after which a target gets no more requests, counted from the acknowledgement of its
/// draining heartbeat.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_500);
/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Limit on the violations in a report; later ones are dropped.
const MAX_VIOLATIONS: usize = 50;

/// How a request ended for its caller. The report shows its `Debug` output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A complete response.
    Answer { status: u16, body: String },
    /// No complete response: the connection failed or the request timed out.
    Cut,
}

#[derive(Default)]
struct State {
    /// How often targets ran each request, by request id.
    runs: HashMap<String, u32>,
    /// Ids of the non-idempotent requests that were refused with one of [`NOT_RUN_STATUSES`].
    refused_not_run: Vec<String>,
    /// When the first draining heartbeat of each target was acknowledged, by target id.
    draining_since: HashMap<String, Instant>,
    newest_version: u64,
    requests: u64,
    served: u64,
    violations: Vec<String>,
}

/// Records requests, runs and versions, and collects violations.
#[derive(Default)]
pub(super) struct Checker {
    state: Mutex<State>,
}

impl Checker {
    pub(super) fn record_violation(&self, violation: String) {
        self.lock().record_violation(violation);
    }

    pub(super) fn set_newest_version(&self, version: u64) {
        self.lock().newest_version = version;
    }

    pub(super) fn newest_version(&self) -> u64 {
        self.lock().newest_version
    }

    /// Records that a node acknowledged a target's draining heartbeat.
    pub(super) fn record_drain(&self, target_id: &str) {
        let mut state = self.lock();
        state
            .draining_since
            .entry(target_id.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Records that a target runs a request.
    pub(super) fn record_run(&self, received: &TargetHeaders, path: &str, target: &Heartbeat) {
        let mut state = self.lock();
        let id = received.request_id.as_str();
        let runs = state.runs.entry(id.to_owned()).or_insert(0);
        *runs += 1;
        let runs = *runs;
        if path.contains("-once/") && runs > 1 {
            state.record_violation(format!("TWICE: {id} {path} ran {runs} times"));
        }
        let draining_for = state.draining_since.get(&target.id).map(Instant::elapsed);
        if let Some(elapsed) = draining_for
            && elapsed > DRAIN_LIMIT
        {
            state.record_violation(format!(
                "DRAIN: {id} ran at {}, which had been draining for {elapsed:?}",
                target.id
            ));
        }
        let is_marker = path.starts_with("/v");
        let service = if is_marker {
            SERVICES[0]
        } else {
            path[1..].split('-').next().unwrap_or("")
        };
        if service != target.service {
            state.record_violation(format!(
                "ROUTE: {id} {path} ran at a target of {}",
                target.service
            ));
        }
        let tenant = tenant_of(id).name;
        if received.tenant.as_deref() != Some(tenant) || received.has_key {
            state.record_violation(format!(
                "UNASKED: {id} of {tenant} ran as a request of {:?}, with the key: {}",
                received.tenant, received.has_key
            ));
        }
        if !SERVICES.contains(&received.caller_service.as_str()) {
            state.record_violation(format!(
                "UNASKED: {id} came from unknown caller service '{}'",
                received.caller_service
            ));
        }
    }

    /// Records how a request ended for its caller.
    pub(super) fn record_outcome(&self, id: &str, path: &str, outcome: &Outcome) {
        let mut state = self.lock();
        state.requests += 1;
        let Outcome::Answer { status, body } = outcome else {
            return;
        };
        if NOT_RUN_STATUSES.contains(status) && path.contains("-once/") {
            state.refused_not_run.push(id.to_owned());
        }
        if *status == 200 {
            state.served += 1;
            if *body != format!("{id} {path}") {
                state.record_violation(format!("MIXED: {id} {path} got '{body}'"));
            }
        }
        if *status == 404 && !path.starts_with("/v") || matches!(*status, 400 | 401) {
            state.record_violation(format!("DENIED: {id} {path} got {status}"));
        }
    }

    /// Builds the report. Whether a refused request ran can be checked only now: a run may follow
    /// the refusal.
    pub(super) fn report(&self, seed: u64, faults: Vec<String>) -> Report {
        let mut state = self.lock();
        let refused_not_run = std::mem::take(&mut state.refused_not_run);
        for id in refused_not_run {
            if state.runs.contains_key(&id) {
                state.record_violation(format!("REFUSED: {id} was refused as not run, and ran"));
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
    fn record_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}
