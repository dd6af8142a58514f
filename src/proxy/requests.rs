//! Phases of the requests from other nodes. A node that gets no answer to a request makes an
//! inquiry: it asks for the request's phase over a new connection, as the old one may be dead
//! without having been closed.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const STRIPES: usize = 16;
/// Time for which phases are kept; those of running requests are renewed after it.
pub(super) const RETENTION: Duration = Duration::from_secs(30);
/// Bound on the memory for phases; the oldest ended ones beyond it are dropped early.
const MAX_RETAINED_PER_STRIPE: usize = 16_384;

/// Path prefix on the mesh listener for inquiries by request id.
pub(super) const REQUEST_PATH: &str = "/.bluebellgap/request/";

/// Progress of a request at the target's node, also the body of the answer to an inquiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
pub(super) enum Phase {
    /// The request has not arrived, and is refused if it still does.
    #[display("Cancelled")]
    Cancelled,
    /// The request waits for a slot or runs.
    #[display("Running")]
    Running,
    /// The request has ended.
    #[display("Done")]
    Done,
}

/// Part of the requests, under a lock of its own to reduce contention.
#[derive(Default)]
struct Stripe {
    phases: HashMap<u64, Phase>,
    /// Times and ids of the insertions, oldest first.
    insertions: VecDeque<(Instant, u64)>,
    /// Latest insertion of a phase that was dropped before [`RETENTION`] had passed.
    dropped_early: Option<Instant>,
}

/// Phases of requests by id.
#[derive(Default)]
pub(super) struct Requests {
    stripes: [Mutex<Stripe>; STRIPES],
}

/// Guard of a running request; marks it as done when dropped.
pub(super) struct Guard<'a> {
    requests: &'a Requests,
    id: u64,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.requests
            .stripe(self.id)
            .phases
            .insert(self.id, Phase::Done);
    }
}

impl Requests {
    /// Registers a request as running; `None` if an inquiry has cancelled it or its id is known
    /// already.
    pub(super) fn begin(&self, id: u64) -> Option<Guard<'_>> {
        let mut stripe = self.stripe(id);
        if stripe.phases.contains_key(&id) {
            return None;
        }
        stripe.insert(id, Phase::Running);
        Some(Guard { requests: self, id })
    }

    /// Phase of a request, if it is known.
    pub(super) fn phase(&self, id: u64) -> Option<Phase> {
        self.stripe(id).phases.get(&id).copied()
    }

    /// Returns the phase of a request. One that has not arrived is cancelled, so that it is refused
    /// when it does; one that may have been dropped early counts as ended. Says nothing about
    /// requests that arrived more than [`RETENTION`] ago.
    pub(super) fn inquire_or_cancel(&self, id: u64) -> Phase {
        let mut stripe = self.stripe(id);
        if let Some(phase) = stripe.phases.get(&id) {
            return *phase;
        }
        let phase = if stripe.may_have_dropped() {
            Phase::Done
        } else {
            Phase::Cancelled
        };
        stripe.insert(id, phase);
        phase
    }

    fn stripe(&self, id: u64) -> std::sync::MutexGuard<'_, Stripe> {
        let index = usize::try_from(id % STRIPES as u64).unwrap_or(0);
        self.stripes[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Stripe {
    fn insert(&mut self, id: u64, phase: Phase) {
        self.evict_expired();
        self.phases.insert(id, phase);
        self.insertions.push_back((Instant::now(), id));
    }

    fn may_have_dropped(&self) -> bool {
        self.dropped_early
            .is_some_and(|inserted| inserted.elapsed() < RETENTION)
    }

    /// Removes phases older than [`RETENTION`], and the oldest ones over the limit. Those of
    /// running requests are kept.
    fn evict_expired(&mut self) {
        while let Some((inserted, id)) = self.insertions.front().copied() {
            let over_limit = self.insertions.len() > MAX_RETAINED_PER_STRIPE;
            if inserted.elapsed() < RETENTION && !over_limit {
                return;
            }
            self.insertions.pop_front();
            if self.phases.get(&id) == Some(&Phase::Running) {
                self.insertions.push_back((Instant::now(), id));
                return;
            }
            self.phases.remove(&id);
            if inserted.elapsed() < RETENTION {
                self.dropped_early = Some(inserted);
            }
        }
    }
}
