//! Interface to the protocol of the platform that the sidecar nodes run on: how its messages are
//! parsed and which headers they carry.
//!
//! [`crate::platform::Dialect`] is the only implementation. The trait keeps the platform's names
//! and formats out of the code that forwards requests, runs targets and applies versions.

use std::time::Duration;

use hyper::Method;
use hyper::header::HeaderMap;

use crate::bundle::{Bundle, Version};
use crate::canary::{Order, Record};
use crate::h1::{Request, Response};

/// State that a target reports in its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Phase {
    /// The target accepts new requests.
    #[display("ready")]
    Ready,
    /// The target is shutting down and accepts no new requests.
    #[display("draining")]
    Draining,
}

/// One heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Heartbeat {
    /// Identity of the target.
    pub id: String,
    /// Start of the target in milliseconds since 1970; distinguishes incarnations with the same
    /// identity.
    pub started_ms: u64,
    /// Increases with every heartbeat of one incarnation.
    pub sequence: u64,
    /// Service that the target runs.
    pub service: String,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
    /// State of the target.
    pub phase: Phase,
    /// Time left of the cold start, during which the target is slower than usual.
    pub cold_left: Duration,
    /// Software version that the target runs; empty if it states none.
    pub version: String,
}

/// A message in which a target reports its state to its node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Notice {
    /// The target is running.
    Heartbeat(Heartbeat),
    /// The target leaves and will not come back.
    Departure {
        /// Identity of the target.
        id: String,
        /// Start of the target in milliseconds since 1970, if the message contains it.
        started_ms: Option<u64>,
    },
}

/// The message formats and headers of one platform: converts them from and to the types of this
/// crate. Implementations make no decisions; the code that calls them does.
pub(crate) trait Dialect: Send + Sync + 'static {
    /// Parses the HTTP request in which a target reports its state; the error text says what is
    /// wrong with it.
    fn parse_notice(&self, method: &Method, path: &str, body: &[u8]) -> Result<Notice, String>;

    /// Body of the response to a valid notice.
    fn acknowledgement(&self) -> &'static str;

    /// Parses a whole version of the configuration; the error text says what is wrong with it.
    fn parse_version(&self, bytes: &[u8]) -> Result<(Version, Bundle), String>;

    /// Key of the store's row that holds the newest version of the configuration.
    fn version_key(&self) -> &'static str;

    /// Start of the keys of the store's rows that hold operators' orders of canary releases.
    fn order_prefix(&self) -> &'static str;

    /// Parses an order from the key and value of its row; the error text says what is wrong with it.
    fn parse_order(&self, key: &str, value: &str) -> Result<Order, String>;

    /// Key of the store's row that holds the progress of a service's order.
    fn progress_key(&self, service: &str) -> String;

    /// Value of that row.
    fn render_progress(&self, record: &Record) -> serde_json::Value;

    /// Parses the value of that row; the error text says what is wrong with it.
    fn parse_progress(&self, value: &str) -> Result<Record, String>;

    /// Sets the headers that a target checks: the identity `id` of the target that the request is
    /// meant for, the service of the caller, and the time left until the caller's deadline.
    fn set_target_headers(
        &self,
        request: &mut Request,
        id: &str,
        caller_service: &str,
        time_left: Duration,
    );

    /// Key of the caller's tenant in the headers of a request, if there is one.
    fn credential<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Removes the caller's key and its claim of a tenant from a request, and sets the header that
    /// names the tenant to the target, if there is one.
    fn set_tenant(&self, headers: &mut HeaderMap, tenant: Option<&str>);

    /// Request id in the headers of a request or response, if there is one.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Id of the request for which a target makes the request with the given id; `None` if the id
    /// does not show one.
    fn parent_request_id<'a>(&self, request_id: &'a str) -> Option<&'a str>;

    /// Time until the caller's deadline, if the request headers state one.
    fn timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Whether the response states that the target did not run the request.
    fn is_rejection(&self, response: &Response) -> bool;

    /// Whether the headers show that the response comes unaltered from a target, so that it can be
    /// forwarded to the caller.
    fn is_genuine(&self, response: &Response) -> bool;
}
