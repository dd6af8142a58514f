//! Outcome of a request that got no answer from its target: the reason, and whether it may have
//! run.

use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// Response header that carries the [`Verdict`] of a failed request.
pub const HEADER: &str = "x-bluebellgap-verdict";

/// Whether a request that got no answer from its target may have run there. Callers can safely
/// repeat one that has not.
///
/// ```
/// use bluebellgap::verdict::Verdict;
/// assert_eq!(Verdict::NotRun.to_string(), "not-run");
/// assert_eq!(Verdict::parse("may-have-run"), Some(Verdict::MayHaveRun));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Verdict {
    /// The request is proved not to have run: it was never handed to a target, or the target
    /// rejected it.
    #[display("not-run")]
    NotRun,
    /// The request reached a target, or it is unknown whether it did.
    #[display("may-have-run")]
    MayHaveRun,
}

impl Verdict {
    /// Reads the value of [`HEADER`].
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "not-run" => Some(Self::NotRun),
            "may-have-run" => Some(Self::MayHaveRun),
            _ => None,
        }
    }
}

/// Why a request was refused or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum Reason {
    /// The node has no bundle in force yet.
    #[display("no configuration in force")]
    NoBundle,
    /// No route matches host, method and path.
    #[display("no route matches")]
    NoRoute,
    /// The request itself is malformed or over a limit.
    #[display("bad request")]
    BadRequest,
    /// The route is not idempotent and the request has no `Idempotency-Key`.
    #[display("this route requires an Idempotency-Key header")]
    KeyRequired,
    /// No target of the service is available.
    #[display("no target available")]
    NoTarget,
    /// No slot of the target becomes free in time.
    #[display("target overloaded")]
    Overloaded,
    /// The target is draining and accepts no new requests.
    #[display("target draining")]
    Draining,
    /// The request's deadline passed.
    #[display("deadline exceeded")]
    Deadline,
    /// The connection to the target or to its node broke or could not be opened.
    #[display("connection lost")]
    ConnectionLost,
    /// A request with this fingerprint was in flight when targets crashed.
    #[display("suspected of crashing targets")]
    Suspected,
    /// The claim of the idempotency key could not be recorded.
    #[display("idempotency claims unavailable")]
    ClaimUnavailable,
    /// Another request with this idempotency key was dispatched and its outcome is unknown.
    #[display("a request with this key was dispatched before")]
    Duplicate,
    /// The key was used before with a different request.
    #[display("idempotency key reused for a different request")]
    KeyReused,
    /// The caller's node shed the request because the targets refuse most requests.
    #[display("shed at the caller's node")]
    Shed,
    /// The target's node cannot be reached.
    #[display("target's node unreachable")]
    Unreachable,
    /// The target reported that it did not run the request.
    #[display("rejected by the target")]
    Rejected,
    /// The target's answer was truncated or malformed, or belongs to another request.
    #[display("answer spoiled")]
    Spoiled,
    /// The target answered with a failure.
    #[display("failed at the target")]
    Failed,
    /// The caller cancelled the request or disconnected.
    #[display("cancelled by the caller")]
    Cancelled,
    /// The caller's node stops before the request is certain to be answered.
    #[display("node is stopping")]
    Stopping,
    /// The request carries no key of a tenant, though its route requires one.
    #[display("no valid key")]
    Unauthorized,
    /// The tenant has used up its quota.
    #[display("over the quota")]
    OverQuota,
    /// The caller's node has no memory for the target's response.
    #[display("no memory for the response")]
    NoMemory,
}

/// Refusal or loss of a request: the reason, the verdict and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{reason} ({verdict})")]
pub struct Refusal {
    /// Why the request was refused or lost.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Time after which a retry makes sense, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refusal of a request that is proved not to have run.
    ///
    /// ```
    /// use bluebellgap::verdict::{Reason, Refusal};
    /// assert_eq!(Refusal::not_run(Reason::NoRoute).to_string(), "no route matches (not-run)");
    /// ```
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::NotRun,
            retry_after: None,
        }
    }

    /// Failure of a request that may have reached a target.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
        }
    }

    /// HTTP status of the answer to the caller.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self.reason {
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::Unauthorized => StatusCode::UNAUTHORIZED,
            Reason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Reason::BadRequest | Reason::KeyRequired => StatusCode::BAD_REQUEST,
            Reason::Duplicate => StatusCode::CONFLICT,
            Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::Deadline if self.verdict == Verdict::MayHaveRun => StatusCode::GATEWAY_TIMEOUT,
            Reason::ConnectionLost => StatusCode::BAD_GATEWAY,
            _ if self.verdict == Verdict::MayHaveRun => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
