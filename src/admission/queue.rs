//! Queue of the requests that wait for a slot: weighted fair queueing among tenants, earliest
//! deadline first within one tenant and kind of class.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::admission::{Permit, Ticket};
use crate::bundle::ClassKind;
use crate::verdict::Refusal;

/// Number of flows whose received service is recorded; when it is reached, the records of all flows
/// are cleared, to bound the memory.
const MAX_FLOWS: usize = 1_024;

/// A queued request and the channel that receives its permit or refusal.
pub(super) struct Waiter {
    pub ticket: Ticket,
    pub outcome_sender: oneshot::Sender<Result<Permit, Refusal>>,
}

/// The requests of one tenant and kind of class; the unit of fair queueing.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Flow {
    tenant: String,
    kind: ClassKind,
}

impl Flow {
    fn of(ticket: &Ticket) -> Self {
        Self {
            tenant: ticket.tenant.clone(),
            kind: ticket.kind,
        }
    }
}

/// The queue in front of one target.
#[derive(Default)]
pub(super) struct Queue {
    waiting: Vec<Waiter>,
    /// Service time charged to each flow, in seconds divided by the weight of its tenant.
    service_received: HashMap<Flow, f64>,
    /// Highest service that a flow had received when one of its requests was served. A flow that
    /// becomes active starts here, so that it gets no credit for the time in which it was idle.
    virtual_time: f64,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn count(&self, kind: ClassKind) -> u32 {
        let same_kind = self
            .waiting
            .iter()
            .filter(|waiter| waiter.ticket.kind == kind);
        u32::try_from(same_kind.count()).unwrap_or(u32::MAX)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, waiter: Waiter) {
        let flow = Flow::of(&waiter.ticket);
        if self.service_received.len() >= MAX_FLOWS {
            self.service_received.clear();
        }
        let is_idle = !self
            .waiting
            .iter()
            .any(|other| Flow::of(&other.ticket) == flow);
        let service_received = self
            .service_received
            .entry(flow)
            .or_insert(self.virtual_time);
        if is_idle {
            *service_received = service_received.max(self.virtual_time);
        }
        self.waiting.push(waiter);
    }

    pub(super) fn remove_all(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.waiting)
    }

    /// Number of queued requests that would be served before `ticket`, considering the share of its
    /// tenant.
    pub(super) fn ahead_of(&self, ticket: &Ticket) -> usize {
        let is_same_kind = |waiter: &&Waiter| waiter.ticket.kind == ticket.kind;
        let mut weights: HashMap<&str, u32> =
            HashMap::from([(ticket.tenant.as_str(), ticket.weight)]);
        let mut own_ahead = 0;
        let mut queued = 0;
        for waiter in self.waiting.iter().filter(is_same_kind) {
            weights.insert(&waiter.ticket.tenant, waiter.ticket.weight);
            queued += 1;
            let same_tenant = waiter.ticket.tenant == ticket.tenant;
            own_ahead += usize::from(same_tenant && waiter.ticket.deadline <= ticket.deadline);
        }
        let total_weight: u32 = weights.values().sum();
        let by_share = own_ahead * total_weight as usize / ticket.weight.max(1) as usize;
        by_share.min(queued)
    }

    /// Removes the requests that were cancelled or can no longer finish before their deadline.
    pub(super) fn remove_late(
        &mut self,
        service_time: &HashMap<ClassKind, Duration>,
    ) -> Vec<Waiter> {
        let now = Instant::now();
        let is_late = |waiter: &mut Waiter| {
            waiter.outcome_sender.is_closed()
                || now + service_time[&waiter.ticket.kind] > waiter.ticket.deadline
        };
        self.waiting.extract_if(.., is_late).collect()
    }

    /// Index of the request to serve next among those that `fits` holds for.
    pub(super) fn next_index(&self, fits: impl Fn(&Ticket) -> bool) -> Option<usize> {
        let sort_key = |waiter: &Waiter| {
            let service_received = self.service_received.get(&Flow::of(&waiter.ticket));
            (
                service_received.copied().unwrap_or(self.virtual_time),
                waiter.ticket.deadline,
            )
        };
        let eligible = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiter)| fits(&waiter.ticket));
        let next = eligible.min_by(|(_, one), (_, other)| {
            let (one, other) = (sort_key(one), sort_key(other));
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
        });
        next.map(|(index, _)| index)
    }

    /// Removes the request at `index` and charges its expected service time to its flow.
    pub(super) fn remove(
        &mut self,
        index: usize,
        service_time: &HashMap<ClassKind, Duration>,
    ) -> Waiter {
        let waiter = self.waiting.swap_remove(index);
        let ticket = &waiter.ticket;
        let cost = service_time[&ticket.kind].as_secs_f64() / f64::from(ticket.weight.max(1));
        let service_received = self
            .service_received
            .entry(Flow::of(ticket))
            .or_insert(self.virtual_time);
        self.virtual_time = self.virtual_time.max(*service_received);
        *service_received += cost;
        waiter
    }
}
