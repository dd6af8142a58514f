//! Dispatch on routes that are not idempotent: claim the idempotency key, dispatch, report the
//! outcome.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Response;

use crate::http::{Body, ReadError, full, read_held};
use crate::proxy::Proxy;
use crate::proxy::call::Call;
use crate::proxy::{attempt, headers};
use crate::verdict::{Reason, Refusal, Verdict};
use crate::wire::{Claim, Grant, Outcome, RecordedResponse, Settlement};

/// Maximum size of an answer that is recorded for repeats; a repeat of a larger one is refused.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Dispatches a call at most once per idempotency key; a repeat gets the recorded answer.
pub(super) async fn dispatch(
    proxy: &Arc<Proxy>,
    call: &Arc<Call>,
) -> Result<Response<Body>, Refusal> {
    let key = call
        .claim_key()
        .ok_or_else(|| Refusal::not_run(Reason::KeyRequired))?;
    let claim = Claim {
        key,
        fingerprint: call.fingerprint,
        attempt: rand::random(),
    };
    let grant = tokio::time::timeout(call.remaining(), proxy.claims.acquire(&claim)).await;
    match grant.unwrap_or(Grant::Unavailable) {
        Grant::Granted => run(proxy, call, claim).await,
        Grant::Answered(recorded) => replay_response(&recorded),
        Grant::Dispatched => Err(Refusal::may_have_run(Reason::Duplicate)),
        Grant::Mismatch => Err(Refusal::not_run(Reason::KeyReused)),
        Grant::NotOwner | Grant::Unavailable => Err(Refusal::not_run(Reason::ClaimUnavailable)),
    }
}

/// Runs a granted call to its end even if the caller disconnects, so that a repeat can get its
/// answer.
async fn run(
    proxy: &Arc<Proxy>,
    call: &Arc<Call>,
    claim: Claim,
) -> Result<Response<Body>, Refusal> {
    let proxy = proxy.clone();
    let call = call.clone();
    let task = tokio::spawn(async move {
        let answer = attempt::dispatch(&proxy, &call).await;
        let (answer, outcome) = read_outcome(&proxy, answer).await;
        let settlement = Settlement {
            key: claim.key,
            attempt: claim.attempt,
            outcome,
        };
        tokio::spawn(async move { proxy.claims.report_outcome(&settlement).await });
        answer
    });
    task.await
        .unwrap_or_else(|_| Err(Refusal::may_have_run(Reason::ConnectionLost)))
}

/// Reads the whole answer and returns it with the outcome to report.
async fn read_outcome(
    proxy: &Proxy,
    answer: Result<Response<Body>, Refusal>,
) -> (Result<Response<Body>, Refusal>, Outcome) {
    let response = match answer {
        Ok(response) => response,
        Err(refusal) if refusal.verdict == Verdict::NotRun => {
            return (Err(refusal), Outcome::NotRun);
        }
        Err(refusal) => return (Err(refusal), Outcome::MayHaveRun),
    };
    let (head, mut body) = response.into_parts();
    let mut account = proxy.memory.open();
    let limit = proxy.settings.limits.response_bytes;
    let bytes = match read_held(&mut body, limit, &mut account).await {
        Ok(bytes) => bytes,
        Err(error) => {
            let reason = match error {
                ReadError::NoMemory => Reason::NoMemory,
                _ => Reason::ConnectionLost,
            };
            return (Err(Refusal::may_have_run(reason)), Outcome::MayHaveRun);
        }
    };
    let outcome = recorded_outcome(&head, &bytes);
    (Ok(Response::from_parts(head, full(bytes))), outcome)
}

/// Outcome of an answered call; without the answer if that is too large to record.
fn recorded_outcome(head: &hyper::http::response::Parts, bytes: &Bytes) -> Outcome {
    if bytes.len() > MAX_RECORDED_BYTES {
        return Outcome::MayHaveRun;
    }
    Outcome::Answered(RecordedResponse {
        status: head.status.as_u16(),
        content_type: headers::text(&head.headers, "content-type").map(str::to_owned),
        body: hex::encode(bytes),
    })
}

/// Response to a repeat from the recorded answer.
fn replay_response(recorded: &RecordedResponse) -> Result<Response<Body>, Refusal> {
    let unreadable = || Refusal::may_have_run(Reason::Duplicate);
    let body = hex::decode(&recorded.body).map_err(|_| unreadable())?;
    let mut response = Response::new(full(body));
    *response.status_mut() = recorded.status.try_into().map_err(|_| unreadable())?;
    if let Some(content_type) = &recorded.content_type {
        headers::set(response.headers_mut(), "content-type", content_type);
    }
    headers::set(response.headers_mut(), headers::REPLAYED, "yes");
    Ok(response)
}
