//! Counts of nodes by version, summed up the dissemination tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::bundle::Version;

const MAX_NAMES: usize = 16;

/// A node that refused a version, and why.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusedBy {
    /// Name of the node.
    pub node: String,
    /// Version that it refused.
    pub version: Version,
    /// Its reason.
    pub reason: String,
}

/// What a set of nodes says about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Nodes by the version they have in force.
    pub in_force: BTreeMap<Version, usize>,
    /// Nodes by the version they have ready but not in force.
    pub prepared: BTreeMap<Version, usize>,
    /// Number of refusals.
    pub refused: usize,
    /// The first refusals, with names.
    pub refused_by: Vec<RefusedBy>,
    /// Nodes that wait for targets of a service that is new in the candidate.
    pub awaiting_targets: usize,
    /// Number of nodes that did not answer.
    pub unheard: usize,
    /// The first of them.
    pub unheard_names: Vec<String>,
}

impl Tally {
    /// Number of nodes that answered.
    ///
    /// ```
    /// use bluebellgap::bundle::Version;
    /// use bluebellgap::rollout::Tally;
    /// let mut tally = Tally::default();
    /// tally.in_force.insert(Version(1), 3);
    /// assert_eq!(tally.heard(), 3);
    /// ```
    #[must_use]
    pub fn heard(&self) -> usize {
        self.in_force.values().sum()
    }

    /// Number of nodes that have `version` ready or in force.
    #[must_use]
    pub fn ready_for(&self, version: Version) -> usize {
        let count = |map: &BTreeMap<Version, usize>| map.get(&version).copied().unwrap_or(0);
        count(&self.prepared) + count(&self.in_force)
    }

    /// Adds the counts of other nodes.
    pub fn merge(&mut self, other: Self) {
        for (version, count) in other.in_force {
            *self.in_force.entry(version).or_default() += count;
        }
        for (version, count) in other.prepared {
            *self.prepared.entry(version).or_default() += count;
        }
        self.refused += other.refused;
        self.refused_by.extend(other.refused_by);
        self.refused_by.truncate(MAX_NAMES);
        self.awaiting_targets += other.awaiting_targets;
        self.unheard += other.unheard;
        self.unheard_names.extend(other.unheard_names);
        self.unheard_names.truncate(MAX_NAMES);
    }

    /// Counts a node that did not answer.
    pub fn add_unheard(&mut self, node: &str) {
        self.unheard += 1;
        if self.unheard_names.len() < MAX_NAMES {
            self.unheard_names.push(node.to_owned());
        }
    }
}

/// The row in which a data centre's registrar reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Data centre.
    pub data_center: String,
    /// Revision of the rollout row that the nodes were told of.
    pub revision: u64,
    /// What they answered.
    pub tally: Tally,
}
