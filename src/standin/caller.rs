//! A stand-in caller: an HTTP client that sends requests as a caller of the mesh does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, Request};

use crate::http::{Pool, full, read_whole};
use crate::verdict::{HEADER as VERDICT_HEADER, Verdict};

const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// Result of one request: the response, or that there was none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 if no whole response arrived.
    pub status: u16,
    /// Verdict of a refusal, from the `x-bluebellgap-verdict` header.
    pub verdict: Option<Verdict>,
    /// Reason code of a refusal, from the `x-bluebellgap-reason` header.
    pub reason: Option<String>,
    /// Whether this is the recorded answer to an earlier request with the same idempotency key.
    pub replayed: bool,
    /// Body; empty if no whole response arrived.
    pub body: Bytes,
    /// Time from sending the request until the whole response, or the failure.
    pub latency: Duration,
}

impl Answer {
    /// Whether the status is 200.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.status == 200
    }

    /// The result of a request sent at `sent_at` that got no whole response.
    pub(crate) fn without_response(sent_at: Instant) -> Self {
        Self {
            status: 0,
            verdict: None,
            reason: None,
            replayed: false,
            body: Bytes::new(),
            latency: sent_at.elapsed(),
        }
    }
}

/// Sends requests to the caller listener of one node, or directly to a target.
#[derive(Clone)]
pub struct Caller {
    pool: Pool,
    tenant: String,
    deadline: Option<Duration>,
}

impl Caller {
    /// A caller of the tenant `default`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(address),
            tenant: "default".into(),
            deadline: None,
        }
    }

    /// Sends requests as `tenant`.
    #[must_use]
    pub fn tenant(mut self, tenant: &str) -> Self {
        tenant.clone_into(&mut self.tenant);
        self
    }

    /// Sends this time limit with every request, in `x-bluebellgap-deadline-ms`; the caller itself
    /// doesn't enforce it.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Answer {
        self.send(Method::GET, path, None, Bytes::new()).await
    }

    /// Sends a POST request with an idempotency key.
    pub async fn post(&self, path: &str, key: &str, body: impl Into<Bytes>) -> Answer {
        self.send(Method::POST, path, Some(key), body.into()).await
    }

    /// Sends a request, with an `Idempotency-Key` header if `key` is given.
    pub async fn send(&self, method: Method, path: &str, key: Option<&str>, body: Bytes) -> Answer {
        let sent_at = Instant::now();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "mesh")
            .header("x-bluebellgap-tenant", &self.tenant);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        if let Some(deadline) = self.deadline {
            let millis = u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX);
            request = request.header("x-bluebellgap-deadline-ms", millis);
        }
        let Ok(request) = request.body(full(body)) else {
            return Answer::without_response(sent_at);
        };
        let Ok(response) = self.pool.send(request).await else {
            return Answer::without_response(sent_at);
        };
        let (head, body) = response.into_parts();
        let Ok(body) = read_whole(body, MAX_ANSWER_BYTES).await else {
            return Answer::without_response(sent_at);
        };
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        Answer {
            status: head.status.as_u16(),
            verdict: header(VERDICT_HEADER).and_then(Verdict::parse),
            reason: header("x-bluebellgap-reason").map(str::to_owned),
            replayed: header("x-bluebellgap-replayed").is_some(),
            body,
            latency: sent_at.elapsed(),
        }
    }
}
