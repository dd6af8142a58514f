//! Data model of a bundle: tenants, classes, target groups, services and routes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The configuration of a mesh. A valid bundle defines every service, group and class that it
/// refers to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Name of the mesh that the bundle is for.
    pub name: String,
    /// Tenants by name; requests of any other tenant are counted under `default`.
    pub tenants: BTreeMap<String, Tenant>,
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Target groups by name.
    pub groups: BTreeMap<String, Group>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Limits on callers' requests.
    #[serde(default, skip_serializing_if = "RequestLimits::is_default")]
    pub intake: RequestLimits,
}

/// Limits on the size of a caller's requests, and timeouts while they are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a whole request, head and body, must arrive after its first byte, in
    /// milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl RequestLimits {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// A tenant, whose requests share the targets with those of other tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Share of a busy target's slots, relative to the weights of other tenants.
    pub weight: u32,
    /// Keys by which the tenant's requests are recognised.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<ApiKey>,
    /// Priority of the tenant's requests, which goes before the rank of their routes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Limit on the tenant's requests over all nodes; absent for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
}

/// Secret by which a tenant's requests are recognised. Its debug output hides it.
#[derive(
    Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, derive_more::From,
)]
#[serde(transparent)]
pub struct ApiKey(String);

impl std::borrow::Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl ApiKey {
    /// The secret itself.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

/// Limit on the requests of a tenant: a rate, and a burst beyond it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Requests per 1,000 seconds, so that low rates are whole numbers too.
    pub per_kilosecond: u64,
    /// Requests that may be sent at once after a time without any.
    pub burst: u64,
}

/// Whether requests of a class are expected to occupy a target's slot for a short or a long time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum ClassKind {
    /// May use every slot.
    #[display("short")]
    Short,
    /// Limited to the slots that are not reserved for short requests.
    #[display("long")]
    Long,
}

impl ClassKind {
    /// Number of kinds.
    pub const COUNT: usize = 2;

    /// Index of the kind in arrays of [`ClassKind::COUNT`] elements.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Short => 0,
            Self::Long => 1,
        }
    }
}

/// A class of requests with similar processing times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Expected processing time.
    pub kind: ClassKind,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Share of each target's slots that is reserved for short requests, in percent.
    pub reserved_short_percent: u32,
}

/// A service and the target group that serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the target group.
    pub group: String,
}

/// Maps matching requests to a service, and says how to forward them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host that a request must name; absent matches any host.
    pub host: Option<String>,
    /// Prefix of the paths that match. One that ends with a slash begins only paths that contain this
    /// slash; another one ends at the end of a path segment.
    pub path: String,
    /// Method that a request must have; absent matches any method.
    pub method: Option<String>,
    /// Service that the requests are sent to, unless `split` is set.
    pub service: String,
    /// Class of the requests.
    pub class: String,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Time within which the response must begin, in milliseconds.
    pub timeout_ms: u64,
    /// Services that share the requests, with their weights; empty sends all requests to `service`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
    /// Maximum number of targets that one request is sent to.
    #[serde(
        default = "default_attempts",
        skip_serializing_if = "is_default_attempts"
    )]
    pub attempts: u32,
    /// Latency objective in milliseconds; defaults to `timeout_ms`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Priority in the queue of a busy target; requests with 0 are served first.
    #[serde(default, skip_serializing_if = "is_default_rank")]
    pub rank: u32,
    /// Whether requests need no tenant's key.
    #[serde(default, skip_serializing_if = "is_default_public")]
    pub public: bool,
}

/// [`Route::attempts`] of a route that does not set it.
pub const DEFAULT_ATTEMPTS: u32 = 4;

fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_default_attempts(attempts: &u32) -> bool {
    *attempts == DEFAULT_ATTEMPTS
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_default_public(public: &bool) -> bool {
    !public
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_default_rank(rank: &u32) -> bool {
    *rank == 0
}
