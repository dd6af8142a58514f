//! A request of a caller after its route was resolved.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::directory;
use crate::h1::Request;
use crate::link::{Message, Offer};
use crate::overload::cost::Estimate;
use crate::overload::queue::effective_rank;
use crate::overload::shape::Shape;
use crate::overload::{backlog, placement};
use crate::route::CompiledRoute;
use crate::tenant::Tenant;

/// A routed request, with what every attempt needs of it.
pub(super) struct Call {
    pub route: Arc<CompiledRoute>,
    /// Service that the request goes to, selected by the route's traffic split.
    pub service: String,
    /// Request id that the caller sent.
    pub request_id: String,
    /// Configuration version whose routing table matched the request.
    pub version: u64,
    /// When the request was received.
    pub received_at: Instant,
    /// When the timeout of the route or of the caller expires, whichever is shorter.
    pub deadline: Instant,
    /// Average latency of the route's requests, or the expected run time of this one if that is
    /// estimated. Offers state it as the expected run time.
    pub expected_latency: Duration,
    /// Hash of method, path and query, caller service and body. Requests with the same fingerprint
    /// are assumed to have the same effect on a target.
    pub fingerprint: u64,
    /// Whether the target beside this node makes the request while it runs another one.
    pub nested: bool,
    /// Time since the caller first asked, if it returns after a refusal.
    pub age: Duration,
    /// Shape and expected run time of the request, if run times are estimated.
    pub estimated: Option<(Shape, Estimate)>,
    /// Rank of the request at a target, by its tenant and its route; 0 goes first.
    rank: u32,
    /// Size of the body in bytes.
    body_bytes: usize,
    /// Tenant whose quota the call counts towards.
    pub metered: Option<Arc<Tenant>>,
    message: Message,
    caller_service: String,
}

impl Call {
    #[allow(clippy::too_many_arguments, reason = "assembled in one place")]
    pub(super) fn new(
        route: Arc<CompiledRoute>,
        version: u64,
        request: &Request,
        request_id: &str,
        caller_timeout: Option<Duration>,
        caller_service: &str,
        expected_latency: Duration,
        nested: bool,
        age: Duration,
        rank: u32,
        metered: Option<Arc<Tenant>>,
    ) -> Self {
        let received_at = Instant::now();
        let timeout = caller_timeout.unwrap_or(route.timeout).min(route.timeout);
        Self {
            service: route.next_service().to_owned(),
            request_id: request_id.to_owned(),
            version,
            received_at,
            deadline: received_at + timeout,
            expected_latency,
            fingerprint: fingerprint(request, caller_service),
            nested,
            age,
            estimated: None,
            rank,
            body_bytes: request.body.len(),
            metered,
            message: request.into(),
            caller_service: caller_service.to_owned(),
            route,
        }
    }

    /// Rank of the request at a target.
    pub(super) fn rank(&self) -> u32 {
        self.rank
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the latency objective is exceeded.
    pub(super) fn objective_left(&self) -> Duration {
        self.route
            .objective
            .saturating_sub(self.age + self.received_at.elapsed())
    }

    /// What the cost of a target depends on.
    pub(super) fn demand(&self) -> directory::Demand<'_> {
        directory::Demand {
            service: &self.service,
            expected_latency: self.expected_latency,
            objective: self.route.objective,
            nested: self.nested,
            body_bytes: self.body_bytes,
            by_work: self.estimated.is_some(),
        }
    }

    /// What the choice of a target depends on.
    pub(super) fn placement(&self, overload_refusals: usize) -> placement::Demand {
        placement::Demand {
            objective: self.route.objective,
            objective_left: self.objective_left(),
            time_left: self.time_left(),
            expected_latency: self.expected_latency,
            nested: self.nested,
            large: self.body_bytes > directory::LARGE_BODY_BYTES,
            overload_refusals,
        }
    }

    /// Longest wait of the request for a slot where it is offered.
    pub(super) fn longest_wait(&self, choice: &placement::Choice) -> Duration {
        if self.estimated.is_none() || self.nested {
            return choice.max_wait;
        }
        backlog::longest_wait(choice.max_wait, self.expected_latency, choice.last)
    }

    /// Builds the offer of one attempt to the node beside a target. The request may wait there for
    /// a slot for `max_wait`; `repeated` says whether an earlier attempt may have reached a target.
    /// A nested call is in time as long as the request that it belongs to can still get its answer.
    pub(super) fn offer(&self, max_wait: Duration, repeated: bool) -> Offer {
        Offer {
            id: rand::random(),
            service: self.service.clone(),
            route: self.route.name.clone(),
            request_id: self.request_id.clone(),
            caller_service: self.caller_service.clone(),
            message: self.message.clone(),
            idempotent: self.route.idempotent,
            repeated,
            rank: effective_rank(self.rank, self.nested),
            max_wait,
            objective: if self.nested {
                self.time_left()
            } else {
                self.objective_left()
            },
            time_left: self.time_left(),
            expected: self.expected_latency,
            fingerprint: self.fingerprint,
        }
    }
}

fn fingerprint(request: &Request, caller_service: &str) -> u64 {
    let mut hash = Xxh3::new();
    for part in [request.method.as_str(), &request.target, caller_service] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(&request.body);
    hash.digest()
}
