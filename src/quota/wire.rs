//! Messages about quotas between nodes.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a tenant in messages: 32 bits of the hash of its name. Tenants with equal ids would
/// be counted together.
pub(crate) type TenantId = u32;

/// Id of the tenant with this name.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the lower half of the hash is wanted"
)]
pub(crate) fn tenant_id(name: &str) -> TenantId {
    xxh3_64(name.as_bytes()) as u32
}

/// Activity of one tenant at a node, in a data centre or at all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Activity {
    /// Requests admitted in the window, by nodes that are heard from.
    pub used: u32,
    /// Requests admitted in the window by nodes that are no longer heard from, as last reported.
    pub lost: u32,
    /// Requests among `used` that soon leave the window.
    pub expiring: u32,
    /// Requests that recently arrived, those over the quota included.
    pub demand: u32,
}

impl Activity {
    pub(super) fn add(&mut self, other: &Self) {
        self.used = self.used.saturating_add(other.used);
        self.lost = self.lost.saturating_add(other.lost);
        self.expiring = self.expiring.saturating_add(other.expiring);
        self.demand = self.demand.saturating_add(other.demand);
    }
}

/// Activity by tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// Whether tenants that are not listed have no activity. Otherwise theirs is unchanged.
    pub full: bool,
    /// Number of nodes that are heard from and whose use is known for the whole window.
    pub nodes: u32,
    pub tenants: Vec<(TenantId, Activity)>,
}

/// A message about quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// From a node to the aggregator of its data centre, with the node's incarnation.
    Report(u64, Digest),
    /// From an aggregator to those of the other data centres, with the name of its own.
    Sums(String, Digest),
    /// From an aggregator to the nodes of its data centre.
    Totals(Digest),
}
