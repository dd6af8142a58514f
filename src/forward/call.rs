//! One request with its route resolved.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::Xxh3;

use crate::h1::Request;
use crate::link::{Message, Offer};
use crate::route::CompiledRoute;

/// A request on its way.
pub(super) struct Call {
    /// Route.
    pub route: Arc<CompiledRoute>,
    /// Service that the request goes to.
    pub service: String,
    /// The caller's id of the request.
    pub request_id: String,
    /// Version that decided on the route.
    pub version: u64,
    /// When the request arrived.
    pub began: Instant,
    /// When the route's time-out or the caller's deadline ends, whichever is first.
    pub deadline: Instant,
    /// Usual run time of the route's requests.
    pub usual: Duration,
    /// Identifies requests that would do the same.
    pub fingerprint: u64,
    message: Message,
    caller_service: String,
}

impl Call {
    pub(super) fn new(
        route: Arc<CompiledRoute>,
        version: u64,
        request: &Request,
        request_id: &str,
        max_wait: Option<Duration>,
        caller_service: &str,
        usual: Duration,
    ) -> Self {
        let began = Instant::now();
        let max_wait = max_wait.unwrap_or(route.timeout).min(route.timeout);
        Self {
            service: route.next_service().to_owned(),
            request_id: request_id.to_owned(),
            version,
            began,
            deadline: began + max_wait,
            usual,
            fingerprint: fingerprint(request, caller_service),
            message: request.into(),
            caller_service: caller_service.to_owned(),
            route,
        }
    }

    /// Time until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time until the latency objective.
    pub(super) fn objective_left(&self) -> Duration {
        self.route.objective.saturating_sub(self.began.elapsed())
    }

    /// The request as it is offered to a target's node.
    pub(super) fn offer(&self, max_wait: Duration, repeated: bool) -> Offer {
        Offer {
            ticket: rand::random(),
            service: self.service.clone(),
            route: self.route.class.clone(),
            request_id: self.request_id.clone(),
            caller_service: self.caller_service.clone(),
            message: self.message.clone(),
            idempotent: self.route.idempotent,
            repeated,
            rank: self.route.rank,
            max_wait,
            objective: self.objective_left(),
            left: self.left(),
            expected: self.usual,
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
