//! A stand-in caller.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Method, Request};

use crate::http::{Pool, full, read_whole};
use crate::verdict::{HEADER, Verdict};

const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; 0 if the connection broke.
    pub status: u16,
    /// Verdict of a refusal.
    pub verdict: Option<Verdict>,
    /// Reason of a refusal, in short form.
    pub reason: Option<String>,
    /// Whether the answer was recorded for an earlier request with the same key.
    pub replayed: bool,
    /// Whole body.
    pub body: Bytes,
    /// Time until the whole answer was there.
    pub latency: Duration,
}

impl Answer {
    /// Whether a target answered with success.
    #[must_use]
    pub fn ok(&self) -> bool {
        self.status == 200
    }

    pub(crate) fn broken(began: Instant) -> Self {
        Self {
            status: 0,
            verdict: None,
            reason: None,
            replayed: false,
            body: Bytes::new(),
            latency: began.elapsed(),
        }
    }
}

/// Sends requests to one node's caller listener, or straight to a target.
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

    /// Calls for `tenant`.
    #[must_use]
    pub fn tenant(mut self, tenant: &str) -> Self {
        tenant.clone_into(&mut self.tenant);
        self
    }

    /// Gives every request this much time.
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

    /// Sends any request.
    pub async fn send(&self, method: Method, path: &str, key: Option<&str>, body: Bytes) -> Answer {
        let began = Instant::now();
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
            return Answer::broken(began);
        };
        let Ok(response) = self.pool.send(request).await else {
            return Answer::broken(began);
        };
        let (head, body) = response.into_parts();
        let Ok(body) = read_whole(body, MAX_ANSWER_BYTES).await else {
            return Answer::broken(began);
        };
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        Answer {
            status: head.status.as_u16(),
            verdict: text(HEADER).and_then(Verdict::parse),
            reason: text("x-bluebellgap-reason").map(str::to_owned),
            replayed: text("x-bluebellgap-replayed").is_some(),
            body,
            latency: began.elapsed(),
        }
    }
}
