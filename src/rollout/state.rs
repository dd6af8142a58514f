//! What the platform's table says about versions.

use serde::{Deserialize, Serialize};

use crate::bundle::{Digest, Signature, Version};

/// A signed version of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Number of the version.
    pub version: Version,
    /// Digest of the bundle's canonical bytes.
    pub digest: Digest,
    /// Size of the canonical bytes.
    pub size: usize,
    /// Operators' signatures over version and digest.
    pub signatures: Vec<Signature>,
}

/// A version that nodes prepare, not yet in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// What is prepared.
    pub release: Release,
    /// Operator who approved it.
    pub approved_by: String,
}

/// What an operator did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Stored a draft.
    #[display("pushed")]
    Push,
    /// Signed and started a roll.
    #[display("approved")]
    Approve,
    /// Stopped a roll before acceptance.
    #[display("stopped")]
    Stop,
    /// Replaced a version by a higher one.
    #[display("superseded")]
    Supersede,
}

/// The last operator's action, so that the loser of a race learns who won.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{operator} {action} version {version}")]
pub struct LastAction {
    /// Who.
    pub operator: String,
    /// What.
    pub action: Action,
    /// Which version.
    pub version: Version,
}

/// The single row that every roll goes through.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version in force; its number never falls.
    pub active: Option<Release>,
    /// Version being prepared.
    pub candidate: Option<Candidate>,
    /// Highest version number given out.
    pub highest: Version,
    /// Last action on the rollout.
    pub last: Option<LastAction>,
}

impl Rollout {
    /// Number of the version in force, 0 before the first.
    #[must_use]
    pub fn active_version(&self) -> Version {
        self.active.as_ref().map_or(Version(0), |r| r.version)
    }
}

/// What nodes learn of the rollout row.
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

/// Where a version stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Stored, not signed.
    #[display("draft")]
    Draft,
    /// Signed, not rolling.
    #[display("signed")]
    Signed,
    /// Nodes fetch and check it.
    #[display("preparing")]
    Preparing,
    /// In force.
    #[display("accepted")]
    Accepted,
    /// Withdrawn before it was in force.
    #[display("stopped")]
    Stopped,
    /// Replaced by a higher version.
    #[display("superseded")]
    Superseded,
}

/// The row of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Version, digest, size and the signatures so far.
    pub release: Release,
    /// Where it stands.
    pub phase: Phase,
    /// Version in force when it was made; it can only follow that one.
    pub base: Version,
    /// Operator who stored it.
    pub pushed_by: String,
    /// Operation ids of the actions that took effect on it.
    pub operations: Vec<u64>,
}
