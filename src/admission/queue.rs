//! Requests that wait for a slot: fair among tenants by weight, earliest deadline first within
//! one tenant and class.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::admission::{Permit, Ticket};
use crate::bundle::ClassKind;
use crate::verdict::Refusal;

const MAX_FLOWS: usize = 1_024;

/// A waiting request and the channel that its slot is given through.
pub(super) struct Waiting {
    pub ticket: Ticket,
    pub granted: oneshot::Sender<Result<Permit, Refusal>>,
}

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

/// The queue of one target.
#[derive(Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
    /// Weighted service received, in seconds, by tenant and kind.
    served: HashMap<Flow, f64>,
    /// Service received by the flow that was served last; a flow that comes back starts here.
    clock: f64,
}

impl Queue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn count(&self, kind: ClassKind) -> u32 {
        let waiting = self.waiting.iter().filter(|w| w.ticket.kind == kind);
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let flow = Flow::of(&waiting.ticket);
        if self.served.len() >= MAX_FLOWS {
            self.served.clear();
        }
        let idle = !self
            .waiting
            .iter()
            .any(|other| Flow::of(&other.ticket) == flow);
        let served = self.served.entry(flow).or_insert(self.clock);
        if idle {
            *served = served.max(self.clock);
        }
        self.waiting.push(waiting);
    }

    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// Number of requests that would be served before `ticket`, taking its tenant's share into
    /// account.
    pub(super) fn ahead_of(&self, ticket: &Ticket) -> usize {
        let same_kind = |w: &&Waiting| w.ticket.kind == ticket.kind;
        let mut weights: HashMap<&str, u32> =
            HashMap::from([(ticket.tenant.as_str(), ticket.weight)]);
        let mut own = 0;
        let mut all = 0;
        for waiting in self.waiting.iter().filter(same_kind) {
            weights.insert(&waiting.ticket.tenant, waiting.ticket.weight);
            all += 1;
            let same_tenant = waiting.ticket.tenant == ticket.tenant;
            own += usize::from(same_tenant && waiting.ticket.deadline <= ticket.deadline);
        }
        let total: u32 = weights.values().sum();
        let by_share = own * total as usize / ticket.weight.max(1) as usize;
        by_share.min(all)
    }

    /// Takes out the requests that were cancelled or cannot finish in time any more.
    pub(super) fn take_late(
        &mut self,
        service_time: &HashMap<ClassKind, Duration>,
    ) -> Vec<Waiting> {
        let now = Instant::now();
        let late = |w: &mut Waiting| {
            w.granted.is_closed() || now + service_time[&w.ticket.kind] > w.ticket.deadline
        };
        self.waiting.extract_if(.., late).collect()
    }

    /// Index of the request to serve next among those that `fits`.
    pub(super) fn best(&self, fits: impl Fn(&Ticket) -> bool) -> Option<usize> {
        let rank = |waiting: &Waiting| {
            let served = self.served.get(&Flow::of(&waiting.ticket));
            (
                served.copied().unwrap_or(self.clock),
                waiting.ticket.deadline,
            )
        };
        let eligible = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| fits(&w.ticket));
        let best = eligible.min_by(|(_, one), (_, other)| {
            let (one, other) = (rank(one), rank(other));
            one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
        });
        best.map(|(index, _)| index)
    }

    /// Takes out the request at `index` and charges its flow.
    pub(super) fn take(
        &mut self,
        index: usize,
        service_time: &HashMap<ClassKind, Duration>,
    ) -> Waiting {
        let waiting = self.waiting.swap_remove(index);
        let ticket = &waiting.ticket;
        let cost = service_time[&ticket.kind].as_secs_f64() / f64::from(ticket.weight.max(1));
        let served = self.served.entry(Flow::of(ticket)).or_insert(self.clock);
        self.clock = self.clock.max(*served);
        *served += cost;
        waiting
    }
}
