//! One node of the mesh and the target beside it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a target offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Target group.
    pub group: String,
    /// Requests that the target runs at the same time.
    pub slots: u32,
}

/// Whether a member takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// Takes work.
    #[display("serving")]
    Serving,
    /// Finishes what it has and takes no new work.
    #[display("leaving")]
    Leaving,
    /// Its node runs, its target does not answer.
    #[display("down")]
    Down,
}

/// A node, as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique in the mesh.
    pub node: String,
    /// Start time of the process in microseconds since the Unix epoch; a restarted node has a
    /// higher one.
    pub incarnation: u64,
    /// Grows with every announcement whose content changed.
    pub revision: u64,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
    /// Where it takes calls from other nodes.
    pub mesh: SocketAddr,
    /// Where it takes control messages.
    pub control: SocketAddr,
    /// The target beside it, if any.
    pub offer: Option<Offer>,
    /// Whether it takes work.
    pub presence: Presence,
}

impl Member {
    /// Whether this entry replaces `other` of the same node.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}
