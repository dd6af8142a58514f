//! Requests that other nodes sent here, so that a node whose connection has gone silent can ask
//! what became of its request.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const STRIPES: usize = 16;
const KEPT: Duration = Duration::from_secs(30);
const MAX_KEPT_PER_STRIPE: usize = 16_384;

/// Path prefix on the mesh listener under which nodes ask about requests.
pub(super) const REQUEST_PATH: &str = "/.bluebellgap/request/";

/// Where a request stands at the target's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
pub(super) enum Phase {
    /// It never arrived, and is refused if it still does.
    #[display("Cancelled")]
    Cancelled,
    /// It waits for a slot or runs.
    #[display("Running")]
    Running,
    /// It was answered.
    #[display("Done")]
    Done,
}

#[derive(Default)]
struct Stripe {
    phases: HashMap<u64, Phase>,
    order: VecDeque<(Instant, u64)>,
}

/// Requests by id.
#[derive(Default)]
pub(super) struct Requests {
    stripes: [Mutex<Stripe>; STRIPES],
}

/// Marks a request as done when dropped.
pub(super) struct Running<'a> {
    requests: &'a Requests,
    id: u64,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.requests
            .stripe(self.id)
            .phases
            .insert(self.id, Phase::Done);
    }
}

impl Requests {
    /// Notes that a request arrived; `None` if its sender has cancelled it.
    pub(super) fn begin(&self, id: u64) -> Option<Running<'_>> {
        let mut stripe = self.stripe(id);
        if stripe.phases.contains_key(&id) {
            return None;
        }
        stripe.insert(id, Phase::Running);
        Some(Running { requests: self, id })
    }

    /// Says where a request stands. One that has not arrived is cancelled: it will be refused.
    pub(super) fn inquire(&self, id: u64) -> Phase {
        let mut stripe = self.stripe(id);
        if let Some(phase) = stripe.phases.get(&id) {
            return *phase;
        }
        stripe.insert(id, Phase::Cancelled);
        Phase::Cancelled
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
        self.forget_old();
        self.phases.insert(id, phase);
        self.order.push_back((Instant::now(), id));
    }

    /// Forgets ended requests after a while. Running ones are kept.
    fn forget_old(&mut self) {
        while let Some((since, id)) = self.order.front().copied() {
            let full = self.order.len() > MAX_KEPT_PER_STRIPE;
            if since.elapsed() < KEPT && !full {
                return;
            }
            self.order.pop_front();
            if self.phases.get(&id) == Some(&Phase::Running) {
                self.order.push_back((Instant::now(), id));
                return;
            }
            self.phases.remove(&id);
        }
    }
}
