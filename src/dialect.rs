//! The port to whatever platform the nodes run on: how its messages are read and marked.

use std::time::Duration;

use hyper::Method;
use hyper::header::HeaderMap;

use crate::bundle::{Bundle, Version};
use crate::h1::{Request, Response};

/// Whether a target takes new work, in its own words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Phase {
    /// It takes new work.
    #[display("ready")]
    Ready,
    /// It is about to leave.
    #[display("draining")]
    Draining,
}

/// One heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Heartbeat {
    /// Identity of the target.
    pub id: String,
    /// Start of the target in milliseconds since 1970; tells incarnations under one identity apart.
    pub started_ms: u64,
    /// Grows with every heartbeat of one incarnation.
    pub sequence: u64,
    /// Service that it runs.
    pub service: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Time for which it is still slower than usual.
    pub cold_left: Duration,
}

/// A message of a target about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Notice {
    /// It lives.
    Heartbeat(Heartbeat),
    /// It leaves for good; the start is given where the message holds it.
    Departure {
        /// Identity of the target.
        id: String,
        /// Start of the target in milliseconds since 1970.
        started_ms: Option<u64>,
    },
}

/// Reads and marks messages in the platform's manner. Decides nothing.
pub(crate) trait Dialect: Send + Sync + 'static {
    /// Reads a message of a target; the error text names the fault.
    fn parse_notice(&self, method: &Method, path: &str, body: &[u8]) -> Result<Notice, String>;

    /// Body that acknowledges a notice.
    fn acknowledgement(&self) -> &'static str;

    /// Reads a whole version; the error text names the fault.
    fn parse_version(&self, bytes: &[u8]) -> Result<(Version, Bundle), String>;

    /// Key of the row that holds the newest version.
    fn version_key(&self) -> &'static str;

    /// Sets what the target is told: who is meant, who called, and how long the caller waits.
    fn set_target_headers(
        &self,
        request: &mut Request,
        id: &str,
        caller_service: &str,
        left: Duration,
    );

    /// Identity of the request that a message belongs to, if it bears one.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Time that the caller waits, if the request bears one.
    fn timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Whether the response states that the target did not run the request.
    fn is_rejection(&self, response: &Response) -> bool;

    /// Whether an answer bears the marks of a target and can be passed on.
    fn is_genuine(&self, response: &Response) -> bool;
}
