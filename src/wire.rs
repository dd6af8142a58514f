//! Control messages between nodes, as JSON-RPC by `jsonrpsee`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::rollout::Span;
use crate::rollout::{Head, Tally};
use crate::roster::{Change, Member, Position, Update};
use crate::store::Holder;

/// A registrar's answer to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AnnounceReply {
    /// The registrar; another node's entry if the asked one is not the holder.
    pub registrar: Option<Holder>,
    /// Whether the announcement was taken.
    pub accepted: bool,
    /// Newest head.
    pub head: Head,
    /// How far the registrar's roster goes.
    pub positions: BTreeMap<String, Position>,
    /// Members to pull the roster and bundles from.
    pub peers: Vec<Peer>,
}

/// Addresses of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Calls and bundles.
    pub mesh: SocketAddr,
    /// Control messages.
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

/// News that travels down a data centre's tree.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Delivery {
    /// Registrar that sent it; members refuse a lower epoch than they know.
    pub registrar: Holder,
    /// Seed of the tree.
    pub seed: u64,
    /// Part of the tree that the recipient serves.
    pub span: Span,
    /// The sender, which has or gets the bundles.
    pub sender: Peer,
    /// Newest head.
    pub head: Head,
    /// Roster updates.
    pub updates: Vec<Update>,
    /// How far the registrar's roster goes.
    pub positions: BTreeMap<String, Position>,
    /// Time for the answer, in milliseconds.
    pub budget_ms: u64,
}

/// Question for whatever the asker lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Pull {
    /// Revision of the asker's head.
    pub revision: u64,
    /// How far the asker's roster goes.
    pub positions: BTreeMap<String, Position>,
}

/// What the asker of a [`Pull`] lacks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PullReply {
    /// Newer head, if any.
    pub head: Option<Head>,
    /// Newer updates.
    pub updates: Vec<Update>,
}

/// Updates between the registrars of different data centres.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Exchange {
    /// The updates.
    pub updates: Vec<Update>,
    /// Whether the recipient passes them on inside its region.
    pub relay: bool,
}

/// A member that does not answer its neighbour.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Silence {
    /// Name of the silent node.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Answer to a probe.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ProbeReply {
    /// Name of the node.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Request to dispatch a non-idempotent request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Claim {
    /// Tenant, service and idempotency key in one text.
    pub key: String,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Identifies the attempt, so that a repeated message is told from a repeated request.
    pub attempt: u64,
}

/// A recorded answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body in hex.
    pub body: String,
}

/// Answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Grant {
    /// The asker, and nobody else, may dispatch the request.
    Granted,
    /// The request ran; this was its answer.
    Answered(RecordedResponse),
    /// The request was dispatched and its outcome is not known, or not yet.
    Dispatched,
    /// The key belongs to a different request.
    Mismatch,
    /// The asked node does not own the shard.
    NotOwner,
    /// The claim could not be recorded.
    Unavailable,
}

/// What became of a granted request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// It ran and answered.
    Answered(RecordedResponse),
    /// Proved not to have run; the key is free again.
    NotRun,
    /// Unknown.
    MayHaveRun,
}

/// Reports the outcome of a granted request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Settlement {
    /// As in the claim.
    pub key: String,
    /// As in the claim.
    pub attempt: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// Question for the owner of a claim shard.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OwnerQuery {
    /// Number of the shard.
    pub shard: u32,
    /// Owner that did not answer, if any.
    pub failed: Option<Owner>,
}

/// Owner of a claim shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// Name of the node.
    pub node: String,
    /// Its control listener.
    pub control: SocketAddr,
    /// Fencing epoch of the ownership.
    pub epoch: u64,
}

/// The control interface of a node.
#[rpc(client, server, namespace = "node")]
pub(crate) trait Control {
    /// Announces a member to the registrar.
    #[method(name = "announce")]
    async fn announce(&self, member: Member) -> RpcResult<AnnounceReply>;

    /// Hands news to a subtree.
    #[method(name = "deliver")]
    async fn deliver(&self, delivery: Delivery) -> RpcResult<Tally>;

    /// Asks for whatever the asker lacks.
    #[method(name = "pull")]
    async fn pull(&self, pull: Pull) -> RpcResult<PullReply>;

    /// Hands updates to another data centre's registrar.
    #[method(name = "exchange")]
    async fn exchange(&self, exchange: Exchange) -> RpcResult<()>;

    /// Reports a silent member to the registrar.
    #[method(name = "silent")]
    async fn silent(&self, silence: Silence) -> RpcResult<()>;

    /// Probes the node.
    #[method(name = "probe")]
    async fn probe(&self) -> RpcResult<ProbeReply>;

    /// Reports a crash or a cleared fingerprint to the registrar.
    #[method(name = "report")]
    async fn report(&self, change: Change) -> RpcResult<()>;

    /// Claims an idempotency key.
    #[method(name = "claim")]
    async fn claim(&self, claim: Claim) -> RpcResult<Grant>;

    /// Settles a claim.
    #[method(name = "settle")]
    async fn settle(&self, settlement: Settlement) -> RpcResult<()>;

    /// Asks the registrar who owns a claim shard.
    #[method(name = "owner")]
    async fn owner(&self, query: OwnerQuery) -> RpcResult<Option<Owner>>;
}
