//! What a bundle says: tenants, classes, target groups, services and routes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A whole configuration, closed in itself: every name that a part refers to is defined in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Name of the mesh that the bundle is for.
    pub name: String,
    /// Tenants by name; requests of other tenants count as `default`.
    pub tenants: BTreeMap<String, Tenant>,
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Target groups by name.
    pub groups: BTreeMap<String, Group>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Routes by name.
    pub routes: BTreeMap<String, Route>,
    /// Bounds on what callers may send.
    #[serde(default, skip_serializing_if = "RequestLimits::is_default")]
    pub intake: RequestLimits,
}

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time for a whole request head to arrive, in milliseconds.
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

/// A customer whose requests share the targets with others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Share of a busy target relative to other tenants.
    pub weight: u32,
}

/// Whether requests of a class are expected to hold a slot for long.
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

    /// Place of the kind in tables of [`ClassKind::COUNT`] entries.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Short => 0,
            Self::Long => 1,
        }
    }
}

/// A class of requests with similar run times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Expected slot use.
    pub kind: ClassKind,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Share of each target's slots that long classes may not use, in percent.
    pub reserved_short_percent: u32,
}

/// A named service and the group that serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the target group.
    pub group: String,
}

/// Which requests go to which service, and how they are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host that must match; any host where absent.
    pub host: Option<String>,
    /// Path prefix, matched at segment borders.
    pub path: String,
    /// Method that must match; any method where absent.
    pub method: Option<String>,
    /// Service that the requests go to.
    pub service: String,
    /// Class of the requests.
    pub class: String,
    /// Whether running a request twice is harmless.
    pub idempotent: bool,
    /// Time in which the whole answer must have begun, in milliseconds.
    pub timeout_ms: u64,
    /// Services that share the requests, by weight; empty where `service` takes them all.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
    /// Targets that one request may be sent to at most.
    #[serde(
        default = "default_attempts",
        skip_serializing_if = "is_default_attempts"
    )]
    pub attempts: u32,
    /// Latency objective in milliseconds; the timeout where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective_ms: Option<u64>,
    /// Rank in the queue of a busy target; 0 is served first.
    #[serde(default, skip_serializing_if = "is_first_rank")]
    pub rank: u32,
}

/// Attempts of a route that sets none.
pub const DEFAULT_ATTEMPTS: u32 = 4;

fn default_attempts() -> u32 {
    DEFAULT_ATTEMPTS
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_default_attempts(attempts: &u32) -> bool {
    *attempts == DEFAULT_ATTEMPTS
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_first_rank(rank: &u32) -> bool {
    *rank == 0
}
