//! Dispatch of a call: attempts at one target after another, hedged attempts, and inquiries about
//! attempts that get no answer.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::http::{
    Body, BoundedBody, Connection, Pool, ReleasingBody, SendError, empty, full, read_whole,
};
use crate::proxy::Proxy;
use crate::proxy::call::Call;
use crate::proxy::headers;
use crate::proxy::requests::{Phase, REQUEST_PATH, RETENTION};
use crate::roster::Crash;
use crate::route::{Endpoint, InFlight, Outcome};
use crate::status;
use crate::verdict::{Reason, Refusal, Verdict};

const MAX_ATTEMPTS: u32 = 4;
const BACKOFF_BASE: Duration = Duration::from_millis(5);
/// Delay of a hedged attempt, as a multiple of the target's latency estimate.
const HEDGE_LATENCY_MULTIPLE: f64 = 4.0;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Delay of the first inquiry, as a multiple of the target's latency estimate.
const INQUIRY_LATENCY_MULTIPLE: f64 = 8.0;
const MIN_INQUIRY_DELAY: Duration = Duration::from_millis(100);
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time left for an answer to arrive on the old connection after an inquiry found that the request
/// does not run, or got no answer.
const ANSWER_GRACE: Duration = Duration::from_millis(50);
const MAX_INQUIRY_ANSWER_BYTES: usize = 64;

type Answer = Result<Response<Body>, Refusal>;

/// Tries targets until one answers, the attempts or the retry budget are used up, or a failure
/// rules out another attempt. The first retry follows at once, later ones after a jittered backoff.
pub(super) async fn dispatch(proxy: &Arc<Proxy>, call: &Arc<Call>) -> Answer {
    if call.remaining().is_zero() {
        return Err(Refusal::not_run(Reason::Deadline));
    }
    let mut tried = Vec::new();
    let mut last_refusal = Refusal::not_run(Reason::NoTarget);
    for number in 0..MAX_ATTEMPTS {
        if number > 0 && !may_retry(proxy, call, &last_refusal) {
            break;
        }
        if number > 1 {
            sleep(full_jitter(number).min(call.remaining())).await;
        }
        let Some(endpoint) = proxy
            .balancer
            .choose(&call.route.group, call.route.kind, &tried)
        else {
            break;
        };
        tried.push(endpoint.member.node.clone());
        match attempt_with_hedge(proxy, call, endpoint, &mut tried).await {
            Ok(response) => return Ok(response),
            Err(refusal) => last_refusal = merge_refusals(last_refusal, refusal),
        }
    }
    Err(last_refusal)
}

/// Refusal to report after several attempts: the latest one, but if any attempt may have run, the
/// call may have run.
fn merge_refusals(earlier: Refusal, later: Refusal) -> Refusal {
    if earlier.verdict == Verdict::MayHaveRun && later.verdict == Verdict::NotRun {
        return Refusal {
            verdict: Verdict::MayHaveRun,
            ..later
        };
    }
    later
}

/// Whether another attempt is allowed; spends a token of the retry budget if so.
fn may_retry(proxy: &Proxy, call: &Call, last_refusal: &Refusal) -> bool {
    let safe_to_repeat = last_refusal.verdict == Verdict::NotRun || call.route.idempotent;
    let may_succeed_elsewhere =
        !matches!(last_refusal.reason, Reason::Suspected | Reason::Deadline);
    let suspected = proxy.suspicions.must_refuse(call.fingerprint);
    if !safe_to_repeat || !may_succeed_elsewhere || suspected || call.remaining().is_zero() {
        return false;
    }
    proxy.counters.count("retries");
    proxy.retry_budget.withdraw()
}

fn full_jitter(attempt: u32) -> Duration {
    (BACKOFF_BASE * 2_u32.pow(attempt)).mul_f64(rand::random())
}

/// One attempt; for idempotent calls, also a second one at another target if the first has no
/// answer after a multiple of the target's usual latency.
async fn attempt_with_hedge(
    proxy: &Arc<Proxy>,
    call: &Arc<Call>,
    endpoint: Arc<Endpoint>,
    tried: &mut Vec<String>,
) -> Answer {
    let latency_estimate = Duration::from_secs_f64(endpoint.latency(call.route.kind));
    let delay = latency_estimate
        .mul_f64(HEDGE_LATENCY_MULTIPLE)
        .max(MIN_HEDGE_DELAY);
    let first = attempt(proxy, call, endpoint.clone());
    tokio::pin!(first);
    if !call.route.idempotent || latency_estimate.is_zero() {
        return first.await;
    }
    tokio::select! {
        answer = &mut first => return answer,
        () = sleep(delay) => endpoint.record_unanswered(call.route.kind, delay),
    }
    let Some(second) = hedge_endpoint(proxy, call, &endpoint, tried) else {
        return first.await;
    };
    proxy.counters.count("hedges");
    let second = attempt(proxy, call, second);
    tokio::pin!(second);
    tokio::select! {
        answer = &mut first => match answer {
            Ok(response) => Ok(response),
            Err(refusal) => second.await.map_err(|later| merge_refusals(refusal, later)),
        },
        answer = &mut second => match answer {
            Ok(response) => Ok(response),
            Err(refusal) => first.await.map_err(|later| merge_refusals(refusal, later)),
        },
    }
}

/// Target of a hedged attempt. Must be in the same region as the first target and not paused after
/// a refusal, and costs retry budget.
fn hedge_endpoint(
    proxy: &Proxy,
    call: &Call,
    first: &Endpoint,
    tried: &mut Vec<String>,
) -> Option<Arc<Endpoint>> {
    let second = proxy
        .balancer
        .choose(&call.route.group, call.route.kind, tried)?;
    let other_region = second.member.region != first.member.region;
    if other_region || second.is_paused() || !proxy.retry_budget.withdraw() {
        return None;
    }
    tried.push(second.member.node.clone());
    Some(second)
}

/// Sends the call to one target's node and waits for the head of the answer. While none comes,
/// inquires about the request, as the connection may be dead without having been closed.
async fn attempt(proxy: &Arc<Proxy>, call: &Arc<Call>, endpoint: Arc<Endpoint>) -> Answer {
    let id = rand::random::<u64>();
    let request = build_request(proxy, call, id);
    if endpoint.member.region != proxy.settings.region {
        proxy.counters.count("calls_across_regions");
    }
    let in_flight = endpoint.begin(call.route.kind);
    let pool = endpoint.pool.clone();
    let answer = pool.send(request);
    tokio::pin!(answer);
    let latency_estimate = Duration::from_secs_f64(endpoint.latency(call.route.kind));
    let mut inquiry_delay = latency_estimate
        .mul_f64(INQUIRY_LATENCY_MULTIPLE)
        .max(MIN_INQUIRY_DELAY);
    let deadline = Instant::from_std(call.deadline);
    loop {
        tokio::select! {
            answer = &mut answer => return handle_answer(proxy, call, &endpoint, in_flight, answer),
            () = sleep_until(deadline) => {
                let age = in_flight.elapsed();
                in_flight.end(Outcome::Failed);
                return Err(refuse_at_deadline(proxy, &endpoint, id, age).await);
            }
            () = sleep(inquiry_delay) => {}
        }
        endpoint.record_unanswered(call.route.kind, in_flight.elapsed());
        let Ok(_permit) = proxy.inquiries.try_acquire() else {
            proxy.memory.limits().record("inquiries");
            continue;
        };
        proxy.counters.count("inquiries");
        let phase = inquire(&endpoint, id, in_flight.elapsed()).await;
        let failure = match phase {
            Some(Phase::Running) => None,
            Some(Phase::Cancelled) => Some(Refusal::not_run(Reason::ConnectionLost)),
            Some(Phase::Done) => Some(Refusal::may_have_run(Reason::ConnectionLost)),
            // Without an answer to the inquiry, the request may still run: only an idempotent call
            // ends here, so that it can be retried.
            None => call
                .route
                .idempotent
                .then(|| Refusal::may_have_run(Reason::ConnectionLost)),
        };
        if let Some(refusal) = failure {
            if let Ok(answer) = timeout(ANSWER_GRACE, &mut answer).await {
                return handle_answer(proxy, call, &endpoint, in_flight, answer);
            }
            proxy.counters.count("silent_connections");
            endpoint.pool.drop_idle();
            in_flight.end(Outcome::Failed);
            return Err(refusal);
        }
        inquiry_delay *= 2;
    }
}

/// Refusal at the deadline. The inquiry cancels a request that has not arrived, which proves that
/// it did not run and will not.
async fn refuse_at_deadline(proxy: &Proxy, endpoint: &Endpoint, id: u64, age: Duration) -> Refusal {
    let Ok(Ok(_permit)) = timeout(INQUIRY_TIMEOUT, proxy.inquiries.acquire()).await else {
        return Refusal::may_have_run(Reason::Deadline);
    };
    match inquire(endpoint, id, age).await {
        Some(Phase::Cancelled) => Refusal::not_run(Reason::Deadline),
        _ => Refusal::may_have_run(Reason::Deadline),
    }
}

/// Inquires about a request at the target's node, over a new connection; `None` if there is no
/// answer. The node may have forgotten a request of this `age`, which then counts as ended.
async fn inquire(endpoint: &Endpoint, id: u64, age: Duration) -> Option<Phase> {
    let incarnation = endpoint.member.incarnation;
    let request = Request::post(format!("{REQUEST_PATH}{id}?incarnation={incarnation}"));
    let request = request.header("host", "peer").body(empty()).ok()?;
    let inquiry = async {
        let pool = Pool::new(endpoint.member.mesh);
        let response = pool.send(request).await.ok()?;
        let bytes = read_whole(response.into_body(), MAX_INQUIRY_ANSWER_BYTES)
            .await
            .ok()?;
        std::str::from_utf8(&bytes).ok()?.parse().ok()
    };
    let phase = timeout(INQUIRY_TIMEOUT, inquiry).await.ok().flatten();
    let may_be_forgotten = age + INQUIRY_TIMEOUT >= RETENTION;
    match phase {
        Some(Phase::Cancelled) if may_be_forgotten => Some(Phase::Done),
        phase => phase,
    }
}

fn build_request(proxy: &Proxy, call: &Call, id: u64) -> Request<Body> {
    let mut request = Request::new(full(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    call.envelope(proxy, id).write(request.headers_mut());
    request
}

/// Records the outcome of an attempt and turns it into the answer for the caller.
fn handle_answer(
    proxy: &Proxy,
    call: &Call,
    endpoint: &Endpoint,
    in_flight: InFlight,
    answer: Result<Response<ReleasingBody<Incoming, Connection>>, SendError>,
) -> Answer {
    match answer {
        Ok(response) if !status::is_final(response.status()) => {
            in_flight.end(Outcome::Failed);
            Err(Refusal::may_have_run(Reason::Spoiled))
        }
        Ok(response) => {
            if let Some(load) = headers::read_load(response.headers()) {
                endpoint.update_load(load);
            }
            let refusal = headers::read_refusal(response.status(), response.headers());
            if let Some(refusal) = refusal {
                record_crash(proxy, call, endpoint, response.headers());
                if !matches!(refusal.reason, Reason::Overloaded | Reason::Draining) {
                    // The throttle answers overload. A request that failed at the target was accepted.
                    proxy.throttle(&call.route.service).record_accepted();
                }
                in_flight.end(match refusal.reason {
                    Reason::Overloaded | Reason::Draining => Outcome::Refused,
                    Reason::ConnectionLost | Reason::Spoiled => Outcome::Failed,
                    _ => Outcome::Cancelled,
                });
                return Err(refusal);
            }
            in_flight.end(Outcome::Answered);
            proxy.throttle(&call.route.service).record_accepted();
            let mut response = response.map(|body| {
                http_body_util::BodyExt::boxed(BoundedBody::new(body, call.deadline, usize::MAX))
            });
            headers::strip_hop_by_hop(response.headers_mut());
            headers::strip_reserved(response.headers_mut());
            Ok(response)
        }
        Err(SendError::Unsent(error)) => {
            log::debug!(
                "request not sent to node {}; ejecting it: {error}",
                endpoint.member.node
            );
            in_flight.end(Outcome::Failed);
            endpoint.eject();
            Err(Refusal::not_run(Reason::ConnectionLost))
        }
        Err(SendError::Lost(error) | SendError::Invalid(error)) => {
            log::debug!(
                "no answer from node {}, request may have run: {error}",
                endpoint.member.node
            );
            in_flight.end(Outcome::Failed);
            Err(Refusal::may_have_run(Reason::ConnectionLost))
        }
    }
}

/// Records the crash in which this request was lost, without waiting for the registrar's report.
fn record_crash(proxy: &Proxy, call: &Call, endpoint: &Endpoint, head: &hyper::HeaderMap) {
    if let Some(number) = headers::number(head, headers::CRASH) {
        proxy.suspicions.record_crash(&Crash {
            node: endpoint.member.node.clone(),
            incarnation: endpoint.member.incarnation,
            number,
            fingerprints: vec![call.fingerprint],
        });
    }
}
