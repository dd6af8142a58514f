//! Attempts of one call at one target after another.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::http::{Body, Connection, Pool, ReleasingBody, SendError, empty, full, read_whole};
use crate::proxy::Proxy;
use crate::proxy::call::Call;
use crate::proxy::headers;
use crate::proxy::requests::{Phase, REQUEST_PATH};
use crate::roster::Crash;
use crate::route::{Endpoint, InFlight, Outcome};
use crate::verdict::{Reason, Refusal, Verdict};

const MAX_ATTEMPTS: u32 = 4;
const BACKOFF_BASE: Duration = Duration::from_millis(5);
const HEDGE_LATENCY_MULTIPLE: f64 = 4.0;
const HEDGE_FLOOR: Duration = Duration::from_millis(10);
const INQUIRY_LATENCY_MULTIPLE: f64 = 8.0;
const INQUIRY_FLOOR: Duration = Duration::from_millis(100);
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);
const ANSWER_GRACE: Duration = Duration::from_millis(50);
const MAX_INQUIRY_ANSWER: usize = 64;

type Answer = Result<Response<Body>, Refusal>;

/// Tries targets until one answers, the attempts or the budget are used up, or a failure forbids
/// another attempt.
pub(super) async fn dispatch(proxy: &Arc<Proxy>, call: &Arc<Call>) -> Answer {
    if call.left().is_zero() {
        return Err(Refusal::not_run(Reason::Deadline));
    }
    let mut tried = Vec::new();
    let mut last = Refusal::not_run(Reason::NoTarget);
    for number in 0..MAX_ATTEMPTS {
        if number > 0 && !may_retry(proxy, call, &last) {
            break;
        }
        if number > 1 {
            sleep(full_jitter(number).min(call.left())).await;
        }
        let Some(endpoint) = proxy
            .balancer
            .choose(&call.route.group, call.route.kind, &tried)
        else {
            break;
        };
        tried.push(endpoint.member.node.clone());
        match hedged(proxy, call, endpoint, &mut tried).await {
            Ok(response) => return Ok(response),
            Err(refusal) => last = worse(last, refusal),
        }
    }
    Err(last)
}

/// The refusal to report after several attempts: if any of them may have run, the call may have.
fn worse(last: Refusal, refusal: Refusal) -> Refusal {
    if last.verdict == Verdict::MayHaveRun && refusal.verdict == Verdict::NotRun {
        return Refusal {
            verdict: Verdict::MayHaveRun,
            ..refusal
        };
    }
    refusal
}

fn may_retry(proxy: &Proxy, call: &Call, last: &Refusal) -> bool {
    let harmless = last.verdict == Verdict::NotRun || call.route.idempotent;
    let elsewhere = !matches!(last.reason, Reason::Suspected | Reason::Deadline);
    let suspected = proxy.suspicions.refuses(call.fingerprint);
    if !harmless || !elsewhere || suspected || call.left().is_zero() {
        return false;
    }
    proxy.counters.count("retries");
    proxy.budget.withdraw()
}

fn full_jitter(attempt: u32) -> Duration {
    (BACKOFF_BASE * 2_u32.pow(attempt)).mul_f64(rand::random())
}

/// One attempt; for idempotent calls a second one elsewhere if the first is late.
async fn hedged(
    proxy: &Arc<Proxy>,
    call: &Arc<Call>,
    endpoint: Arc<Endpoint>,
    tried: &mut Vec<String>,
) -> Answer {
    let typical = Duration::from_secs_f64(endpoint.latency(call.route.kind));
    let delay = typical.mul_f64(HEDGE_LATENCY_MULTIPLE).max(HEDGE_FLOOR);
    let first = attempt(proxy, call, endpoint.clone());
    tokio::pin!(first);
    if !call.route.idempotent || typical.is_zero() {
        return first.await;
    }
    tokio::select! {
        answer = &mut first => return answer,
        () = sleep(delay) => endpoint.note_unanswered(call.route.kind, delay),
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
            Err(refusal) => second.await.map_err(|last| worse(refusal, last)),
        },
        answer = &mut second => match answer {
            Ok(response) => Ok(response),
            Err(refusal) => first.await.map_err(|last| worse(refusal, last)),
        },
    }
}

fn hedge_endpoint(
    proxy: &Proxy,
    call: &Call,
    first: &Endpoint,
    tried: &mut Vec<String>,
) -> Option<Arc<Endpoint>> {
    let second = proxy
        .balancer
        .choose(&call.route.group, call.route.kind, tried)?;
    let crosses = second.member.region != first.member.region;
    if crosses || second.refusing() || !proxy.budget.withdraw() {
        return None;
    }
    tried.push(second.member.node.clone());
    Some(second)
}

/// Sends the call to one target's node and waits for the head of the answer.
async fn attempt(proxy: &Arc<Proxy>, call: &Arc<Call>, endpoint: Arc<Endpoint>) -> Answer {
    let id = rand::random::<u64>();
    let request = request(proxy, call, id);
    if endpoint.member.region != proxy.settings.region {
        proxy.counters.count("calls_across_regions");
    }
    let in_flight = endpoint.begin(call.route.kind);
    let pool = endpoint.pool.clone();
    let answer = pool.send(request);
    tokio::pin!(answer);
    let typical = Duration::from_secs_f64(endpoint.latency(call.route.kind));
    let mut patience = typical.mul_f64(INQUIRY_LATENCY_MULTIPLE).max(INQUIRY_FLOOR);
    let deadline = Instant::from_std(call.deadline);
    loop {
        tokio::select! {
            answer = &mut answer => return take_answer(proxy, call, &endpoint, in_flight, answer),
            () = sleep_until(deadline) => {
                in_flight.end(Outcome::Failed);
                return Err(give_up(&endpoint, id).await);
            }
            () = sleep(patience) => {}
        }
        endpoint.note_unanswered(call.route.kind, in_flight.elapsed());
        proxy.counters.count("inquiries");
        let phase = inquire(&endpoint, id).await;
        let lost = match phase {
            Some(Phase::Running) => None,
            Some(Phase::Cancelled) => Some(Refusal::not_run(Reason::ConnectionLost)),
            Some(Phase::Done) => Some(Refusal::may_have_run(Reason::ConnectionLost)),
            None => call
                .route
                .idempotent
                .then(|| Refusal::may_have_run(Reason::ConnectionLost)),
        };
        if let Some(refusal) = lost {
            if let Ok(answer) = timeout(ANSWER_GRACE, &mut answer).await {
                return take_answer(proxy, call, &endpoint, in_flight, answer);
            }
            proxy.counters.count("silent_connections");
            endpoint.pool.purge();
            in_flight.end(Outcome::Failed);
            return Err(refusal);
        }
        patience *= 2;
    }
}

/// At the deadline: a request that never arrived is cancelled, and so proved not to have run.
async fn give_up(endpoint: &Endpoint, id: u64) -> Refusal {
    match inquire(endpoint, id).await {
        Some(Phase::Cancelled) => Refusal::not_run(Reason::Deadline),
        _ => Refusal::may_have_run(Reason::Deadline),
    }
}

/// Asks the target's node, over a new connection, what became of a request.
async fn inquire(endpoint: &Endpoint, id: u64) -> Option<Phase> {
    let request = Request::post(format!("{REQUEST_PATH}{id}"));
    let request = request.header("host", "peer").body(empty()).ok()?;
    let exchange = async {
        let pool = Pool::new(endpoint.member.mesh);
        let response = pool.send(request).await.ok()?;
        let bytes = read_whole(response.into_body(), MAX_INQUIRY_ANSWER)
            .await
            .ok()?;
        std::str::from_utf8(&bytes).ok()?.parse().ok()
    };
    timeout(INQUIRY_TIMEOUT, exchange).await.ok().flatten()
}

fn request(proxy: &Proxy, call: &Call, id: u64) -> Request<Body> {
    let mut request = Request::new(full(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    call.envelope(proxy, id).write(request.headers_mut());
    request
}

fn take_answer(
    proxy: &Proxy,
    call: &Call,
    endpoint: &Endpoint,
    in_flight: InFlight,
    answer: Result<Response<ReleasingBody<Incoming, Connection>>, SendError>,
) -> Answer {
    match answer {
        Ok(response) => {
            if let Some(load) = headers::read_load(response.headers()) {
                endpoint.note_load(load);
            }
            let refusal = headers::read_refusal(response.status(), response.headers());
            if let Some(refusal) = refusal {
                note_crash(proxy, call, endpoint, response.headers());
                in_flight.end(match refusal.reason {
                    Reason::Overloaded | Reason::Draining => Outcome::Refused,
                    Reason::ConnectionLost => Outcome::Failed,
                    _ => Outcome::Cancelled,
                });
                return Err(refusal);
            }
            in_flight.end(Outcome::Answered);
            proxy.throttle(&call.route.service).accepted();
            let mut response = response.map(http_body_util::BodyExt::boxed);
            headers::strip_hop_by_hop(response.headers_mut());
            headers::strip_own(response.headers_mut());
            Ok(response)
        }
        Err(SendError::Unsent(error)) => {
            log::debug!("{}: {error}", endpoint.member.node);
            in_flight.end(Outcome::Failed);
            endpoint.eject();
            Err(Refusal::not_run(Reason::ConnectionLost))
        }
        Err(SendError::Lost(error)) => {
            log::debug!("{}: {error}", endpoint.member.node);
            in_flight.end(Outcome::Failed);
            Err(Refusal::may_have_run(Reason::ConnectionLost))
        }
    }
}

/// Notes the crash that lost this request, before the registrar's word of it arrives.
fn note_crash(proxy: &Proxy, call: &Call, endpoint: &Endpoint, head: &hyper::HeaderMap) {
    if let Some(number) = headers::number(head, headers::CRASH) {
        proxy.suspicions.note(&Crash {
            node: endpoint.member.node.clone(),
            incarnation: endpoint.member.incarnation,
            number,
            fingerprints: vec![call.fingerprint],
        });
    }
}
