//! One attempt to run a call at one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::canary::{Canary, Flight};
use crate::directory::Endpoint;
use crate::forward::call::Call;
use crate::h1::Response;
use crate::link::Reply;
use crate::target::{Runner, run_time};
use crate::verdict::{Reason, Refusal, Verdict};

/// Time after the deadline during which a reply of the target's node is still awaited: that node
/// refuses an unanswered request at the deadline, and its refusal takes a while to arrive.
const REPLY_GRACE: Duration = Duration::from_millis(25);

/// How an attempt ended.
pub(super) struct Outcome {
    /// The target's answer, or why there is none.
    pub answer: Result<Response, Refusal>,
    /// Whether the request may have reached the target process.
    pub may_have_reached_target: bool,
    /// Time that the run would have taken at a target of the usual speed, if the target's node
    /// measured it.
    pub run_time: Option<Duration>,
}

/// Offers a call to the node of one target and waits for the answer. Dropping the future cancels
/// the request, unless it is not idempotent and was admitted.
pub(super) async fn run(
    runner: &Arc<Runner>,
    canary: &Arc<Canary>,
    call: &Call,
    endpoint: &Endpoint,
    max_wait: Duration,
    repeated: bool,
) -> Outcome {
    let offer = call.offer(max_wait, repeated);
    let flight = canary.begin_attempt(
        &call.service,
        &call.route.name,
        endpoint.version(),
        // A hedge is cancelled whenever the first attempt ends.
        !repeated && !endpoint.is_cold(),
    );
    let began = Instant::now();
    let expected_time = endpoint.expected_time(&call.demand(), began);
    let in_flight = endpoint.begin(call.expected_latency, began);
    let timeout = offer.time_left + REPLY_GRACE;
    let mut answer = match &endpoint.link {
        None => {
            let answer = tokio::time::timeout(timeout, runner.run(offer)).await;
            answer.unwrap_or(Err(Refusal::may_have_run(Reason::Deadline)))
        }
        Some(link) => {
            let mut pending = link.offer(offer);
            match tokio::time::timeout(timeout, pending.reply()).await {
                Ok(Reply::Answer(message)) => {
                    Response::try_from(message).map_err(|_| Refusal::may_have_run(Reason::Spoiled))
                }
                Ok(Reply::Refused(refusal)) => Err(refusal),
                Err(_) => Err(Refusal::may_have_run(Reason::Deadline)),
            }
        }
    };
    drop(in_flight);
    let run_time = answer.as_mut().ok().and_then(run_time::detach);
    if let Some(flight) = flight {
        record_version(flight, endpoint, &answer, began.elapsed());
    }
    update_stats(endpoint, &answer, began, expected_time);
    log_attempt(call, endpoint, &answer, began.elapsed());
    let may_have_reached_target = match &answer {
        Ok(_) => true,
        Err(refusal) => {
            refusal.verdict == Verdict::MayHaveRun || refusal.reason == Reason::Rejected
        }
    };
    Outcome {
        answer,
        may_have_reached_target,
        run_time,
    }
}

/// Counts an answer for the comparison of versions. A request that did not run says nothing of the
/// version, nor does one that was lost with its node. Latencies count without the round trip, and not
/// while the target warms up.
fn record_version(
    flight: Flight,
    endpoint: &Endpoint,
    answer: &Result<Response, Refusal>,
    took: Duration,
) {
    match answer {
        Ok(response) => {
            let latency = took.saturating_sub(endpoint.round_trip());
            let timed = (!endpoint.is_cold()).then_some(latency);
            flight.finish(response.status.is_server_error(), timed);
        }
        Err(refusal) => {
            let lost = matches!(
                refusal.reason,
                Reason::ConnectionLost | Reason::Spoiled | Reason::Failed | Reason::Deadline
            );
            let node_responds = endpoint.is_serving() && !endpoint.is_silent();
            if lost && refusal.verdict == Verdict::MayHaveRun && node_responds {
                flight.finish(true, None);
            } else {
                flight.ignore();
            }
        }
    }
}

fn update_stats(
    endpoint: &Endpoint,
    answer: &Result<Response, Refusal>,
    began: Instant,
    expected_time: Duration,
) {
    let now = Instant::now();
    let took = now.saturating_duration_since(began);
    match answer {
        Ok(_) => {
            endpoint.record_outcome(false, now);
            endpoint.record_time(took, expected_time, now);
        }
        Err(refusal) => match refusal.reason {
            Reason::Overloaded | Reason::Rejected | Reason::NoTarget | Reason::Draining => {
                endpoint.record_refusal(now);
                let refusal_time = Endpoint::refusal_time(expected_time);
                endpoint.record_time(took.max(refusal_time), expected_time, now);
            }
            Reason::ConnectionLost | Reason::Unreachable | Reason::Deadline => {
                endpoint.record_outcome(true, now);
                endpoint.record_time(took, expected_time, now);
            }
            _ => {}
        },
    }
}

fn log_attempt(
    call: &Call,
    endpoint: &Endpoint,
    answer: &Result<Response, Refusal>,
    took: Duration,
) {
    let target_id = endpoint.entry.target.as_ref().map_or("", |t| t.id.as_str());
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let took_ms = millis(took);
    let (load, load_age) = endpoint.load();
    let load_age_ms = load_age.map_or(u64::MAX, millis);
    match answer {
        Ok(response) => log::info!(
            event = "attempt",
            request_id = call.request_id.as_str(),
            version = call.version,
            node = endpoint.entry.node.as_str(),
            target_id = target_id,
            status = response.status.as_u16(),
            route = call.route.name.as_str(),
            service = call.service.as_str(),
            bytes = response.body.len(),
            took_ms = took_ms;
            "target answered"
        ),
        Err(refusal) => log::info!(
            event = "attempt_failed",
            request_id = call.request_id.as_str(),
            version = call.version,
            node = endpoint.entry.node.as_str(),
            target_id = target_id,
            reason = refusal.reason.to_string().as_str(),
            verdict = refusal.verdict.to_string().as_str(),
            route = call.route.name.as_str(),
            service = call.service.as_str(),
            entry_revision = endpoint.entry.revision,
            running = load.running,
            queued = load.queued,
            slots = load.slots,
            load_age_ms = load_age_ms,
            took_ms = took_ms;
            "attempt failed"
        ),
    }
}
