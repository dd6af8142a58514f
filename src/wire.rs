//! Control messages between nodes: JSON-RPC through `jsonrpsee`.
//!
//! In every data centre one node, the registrar, keeps the roster of members. It sends roster
//! updates and new versions down a tree of the members, the dissemination tree; a member that
//! misses some pulls them from a peer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::rollout::{Head, Span, Tally};
use crate::roster::{Change, Member, Position, Update};
use crate::store::Holder;

/// Reply to the announcement of a member.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AnnounceReply {
    /// The asked node as holder of the registrar's lease; `None` if it is not the registrar.
    pub registrar: Option<Holder>,
    /// Whether the asked node is the registrar and queued the announcement.
    pub accepted: bool,
    /// Newest rollout head known to the asked node.
    pub head: Head,
    /// Last roster update known to the asked node, by data centre.
    pub positions: BTreeMap<String, Position>,
    /// Members from which to pull the roster and bundles.
    pub peers: Vec<Peer>,
}

/// Listener addresses of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Address of the mesh listener, which serves calls and bundles.
    pub mesh: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
}

impl From<&Member> for Peer {
    fn from(member: &Member) -> Self {
        Self {
            mesh: member.mesh,
            control: member.control,
        }
    }
}

impl From<&Holder> for Peer {
    fn from(holder: &Holder) -> Self {
        Self {
            mesh: holder.mesh,
            control: holder.control,
        }
    }
}

/// Rollout head and roster updates, sent down the dissemination tree of a data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Delivery {
    /// Registrar that originated the delivery; members reject an epoch lower than the one they
    /// know.
    pub registrar: Holder,
    /// Seed from which every member derives the same tree.
    pub seed: u64,
    /// Part of the tree that the recipient forwards to.
    pub span: Span,
    /// The sender, which has the bundles or is fetching them.
    pub sender: Peer,
    /// Newest rollout head known to the registrar.
    pub head: Head,
    /// Roster updates.
    pub updates: Vec<Update>,
    /// Last roster update known to the registrar, by data centre.
    pub positions: BTreeMap<String, Position>,
    /// Time within which the sender expects the reply, in milliseconds.
    pub budget_ms: u64,
}

/// Request for the head and the roster updates that the sender does not have yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pull {
    /// Revision of the sender's head.
    pub revision: u64,
    /// Last roster update known to the sender, by data centre.
    pub positions: BTreeMap<String, Position>,
}

/// Reply to a [`Pull`]: what the requesting member does not have yet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PullReply {
    /// Head, if it is newer than the one in the request.
    pub head: Option<Head>,
    /// Updates after the positions in the request.
    pub updates: Vec<Update>,
}

/// Roster updates from the registrar of another data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Exchange {
    /// Roster updates.
    pub updates: Vec<Update>,
    /// Whether the recipient forwards them to the other registrars in its region.
    pub relay: bool,
}

/// Report that a member does not answer the probes of its neighbour.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Silence {
    /// Name of the node that does not answer.
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: u64,
}

/// Reply to a probe.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ProbeReply {
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node.
    pub incarnation: u64,
}

/// Request for the right to dispatch a non-idempotent request with an idempotency key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Tenant, service and idempotency key, joined into one string.
    pub key: String,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Random number of the attempt; distinguishes a repeated message from a repeated request.
    pub attempt: u64,
}

/// A target's response to a claimed request, kept to answer repeats of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body as hexadecimal digits.
    pub body: String,
}

/// Reply to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Grant {
    /// The claimant alone may dispatch the request.
    Granted,
    /// The request has run, and the target responded with this.
    Answered(RecordedResponse),
    /// The request was dispatched before, and its outcome is unknown or still pending.
    Dispatched,
    /// The key was used before for a request with another fingerprint.
    Mismatch,
    /// The node that was asked does not own the shard of the key.
    NotOwner,
    /// The claim could not be written to the platform.
    Unavailable,
}

/// Outcome of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// The target ran it and responded.
    Answered(RecordedResponse),
    /// It is certain that the request did not run; the key can be claimed again.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
}

/// Reports the outcome of a granted request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Settlement {
    /// Key of the [`Claim`].
    pub key: String,
    /// Attempt of the [`Claim`].
    pub attempt: u64,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Request for the owner of a claim shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OwnerQuery {
    /// Number of the shard.
    pub shard: u32,
    /// Last known owner, if it did not answer.
    pub failed: Option<Owner>,
}

/// The node that owns a claim shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// Name of the node.
    pub node: String,
    /// Address of the control listener of the node.
    pub control: SocketAddr,
    /// Fencing epoch of the ownership.
    pub epoch: u64,
}

/// JSON-RPC methods that every node serves on its control listener.
#[rpc(client, server, namespace = "node")]
pub(crate) trait Control {
    /// Announces a member to the registrar.
    #[method(name = "announce")]
    async fn announce(&self, member: Member) -> RpcResult<AnnounceReply>;

    /// Delivers a head and roster updates to a part of the tree; returns the tally of that part.
    #[method(name = "deliver")]
    async fn deliver(&self, delivery: Delivery) -> RpcResult<Tally>;

    /// Returns what the requesting member does not have yet.
    #[method(name = "pull")]
    async fn pull(&self, pull: Pull) -> RpcResult<PullReply>;

    /// Sends roster updates to the registrar of another data centre.
    #[method(name = "exchange")]
    async fn exchange(&self, exchange: Exchange) -> RpcResult<()>;

    /// Reports to the registrar that a member does not answer.
    #[method(name = "silent")]
    async fn silent(&self, silence: Silence) -> RpcResult<()>;

    /// Checks that the node answers.
    #[method(name = "probe")]
    async fn probe(&self) -> RpcResult<ProbeReply>;

    /// Reports a crash or a cleared fingerprint to the registrar.
    #[method(name = "report")]
    async fn report(&self, change: Change) -> RpcResult<()>;

    /// Claims an idempotency key.
    #[method(name = "claim")]
    async fn claim(&self, claim: Claim) -> RpcResult<Grant>;

    /// Records the outcome of a claimed request with the shard's owner.
    #[method(name = "settle")]
    async fn settle(&self, settlement: Settlement) -> RpcResult<()>;

    /// Asks the registrar for the owner of a claim shard.
    #[method(name = "owner")]
    async fn owner(&self, query: OwnerQuery) -> RpcResult<Option<Owner>>;
}
