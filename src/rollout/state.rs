//! Rows about versions in the platform's table, and the part of them that nodes receive.

use serde::{Deserialize, Serialize};

use crate::bundle::{Digest, Signature, Version};

/// A signed version of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the version.
    pub version: Version,
    /// Digest of the bundle's canonical bytes.
    pub digest: Digest,
    /// Size of the canonical bytes, in bytes.
    pub size: usize,
    /// Operators' signatures over the version and the digest.
    pub signatures: Vec<Signature>,
}

/// The version that nodes prepare and that is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The version's release.
    pub release: Release,
    /// Operator who approved it.
    pub approved_by: String,
}

/// An operator's action on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Stored a draft.
    #[display("pushed")]
    Push,
    /// Signed a version and started its rollout.
    #[display("approved")]
    Approve,
    /// Withdrew a version before it was accepted.
    #[display("stopped")]
    Stop,
    /// Started the rollout of a new version in place of the current one.
    #[display("superseded")]
    Supersede,
}

/// The latest action of an operator. Reported to operators whose concurrent action failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{operator} {action} version {version}")]
pub struct LastAction {
    /// Name of the operator.
    pub operator: String,
    /// The action.
    pub action: Action,
    /// Version that the action applied to.
    pub version: Version,
}

/// The single row that every operator's action and every acceptance writes conditionally.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version in force; its number never decreases.
    pub active: Option<Release>,
    /// Version being prepared.
    pub candidate: Option<Candidate>,
    /// Highest version number assigned so far.
    pub highest: Version,
    /// Latest action on the rollout.
    pub last: Option<LastAction>,
}

impl Rollout {
    /// Number of the version in force, 0 before the first.
    #[must_use]
    pub fn active_version(&self) -> Version {
        self.active.as_ref().map_or(Version(0), |r| r.version)
    }
}

/// The part of the rollout row that is distributed to the nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the rollout row; higher is newer.
    pub revision: u64,
    /// Version in force.
    pub active: Option<Release>,
    /// Version to prepare.
    pub candidate: Option<Release>,
}

impl Head {
    pub(crate) fn new(rollout: &Rollout, revision: u64) -> Self {
        Self {
            revision,
            active: rollout.active.clone(),
            candidate: rollout.candidate.as_ref().map(|c| c.release.clone()),
        }
    }
}

/// Stage of a version's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Stored, but not signed.
    #[display("draft")]
    Draft,
    /// Signed, but its rollout has not started.
    #[display("signed")]
    Signed,
    /// Nodes fetch and verify it.
    #[display("preparing")]
    Preparing,
    /// In force.
    #[display("accepted")]
    Accepted,
    /// Withdrawn before it came into force.
    #[display("stopped")]
    Stopped,
    /// Replaced by a higher version.
    #[display("superseded")]
    Superseded,
}

/// The row of one version, through all phases of its life cycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Version, digest, size and the signatures so far.
    pub release: Release,
    /// Stage of its life cycle.
    pub phase: Phase,
    /// Version in force when this one was stored. Approval requires that it is still in force.
    pub base: Version,
    /// Operator who stored it.
    pub pushed_by: String,
    /// Ids of the operations that took effect on it, so that a retried write is detected.
    pub operations: Vec<u64>,
}
