//! Reads the bodies of requests, within the memory that the node may use.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;

use crate::http::{Body, MAX_BUFFER_BYTES, ReadError, ReleasingBody, read_held};
use crate::memory::{Pool, Reservation};
use crate::verdict::{Reason, Refusal};

/// Bytes reserved for the buffers through which a response passes: that of the connection to the target or
/// its node, and that of the connection to the caller.
const RESPONSE_BUFFER_BYTES: usize = 2 * MAX_BUFFER_BYTES;
/// Bounds, in milliseconds, of the time after which a request refused for lack of memory may be sent again.
/// Drawn at random, so that callers do not return together.
const RETRY_AFTER_MS: std::ops::Range<u64> = 300..1_000;
/// Longest time for which the rest of a refused request is discarded, so that its caller sees the response.
const DISCARD_TIME: Duration = Duration::from_secs(3);

/// Reads a whole body of at most `limit` bytes before `deadline`; returns it with the memory of the buffers
/// for the response. A refusal is always
/// [`crate::verdict::Verdict::NotRun`].
pub(super) async fn receive(
    pool: &Arc<Pool>,
    mut body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<(Bytes, Reservation), Refusal> {
    let read = async {
        let mut account = pool.open();
        account.hold(RESPONSE_BUFFER_BYTES).await?;
        let bytes = read_held(&mut body, limit, &mut account).await?;
        Ok((bytes, account.split(RESPONSE_BUFFER_BYTES)))
    };
    let outcome = tokio::time::timeout_at(deadline.into(), read).await;
    let refusal = match outcome {
        Ok(Ok(received)) => return Ok(received),
        Ok(Err(ReadError::TooLarge | ReadError::Broken(_))) => Refusal::not_run(Reason::BadRequest),
        Ok(Err(ReadError::NoMemory | ReadError::Stalled)) => Refusal {
            retry_after: Some(Duration::from_millis(rand::random_range(RETRY_AFTER_MS))),
            ..Refusal::not_run(Reason::Overloaded)
        },
        Err(_) => Refusal::not_run(Reason::Deadline),
    };
    tokio::spawn(tokio::time::timeout(DISCARD_TIME, discard(body)));
    Err(refusal)
}

async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

/// Ties the memory of the buffers to a response's body.
pub(super) fn hold_buffers(response: Response<Body>, buffers: Reservation) -> Response<Body> {
    response.map(|body| ReleasingBody::new(body, buffers).boxed())
}
