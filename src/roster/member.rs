//! A node of the mesh and the target that it fronts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Group and capacity of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Target group that the target belongs to.
    pub group: String,
    /// Maximum number of requests that the target runs concurrently.
    pub slots: u32,
}

/// Whether a member accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// Accepts new requests.
    #[display("serving")]
    Serving,
    /// Finishes the requests in flight and accepts no new ones.
    #[display("leaving")]
    Leaving,
    /// The node runs, but its target does not answer.
    #[display("down")]
    Down,
}

/// Roster entry of a node, as announced by that node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node, unique in the mesh.
    pub node: String,
    /// Start time of the process in microseconds since the Unix epoch; a restarted node has a
    /// higher one.
    pub incarnation: u64,
    /// Incremented with every change of the entry within one incarnation.
    pub revision: u64,
    /// Region.
    pub region: String,
    /// Data centre.
    pub data_center: String,
    /// Address of the listener for calls from other nodes.
    pub mesh: SocketAddr,
    /// Address of the listener for control messages.
    pub control: SocketAddr,
    /// The target that the node fronts, if any.
    pub offer: Option<Offer>,
    /// Whether the member accepts new requests.
    pub presence: Presence,
}

impl Member {
    /// Whether this entry supersedes `other`, an entry of the same node.
    #[must_use]
    pub fn newer_than(&self, other: &Self) -> bool {
        (self.incarnation, self.revision) > (other.incarnation, other.revision)
    }
}
