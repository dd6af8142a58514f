//! Counts of nodes by version, aggregated up the dissemination tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::bundle::Version;

const MAX_LISTED_NODES: usize = 16;

/// A node's refusal of a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusedBy {
    /// Name of the node.
    pub node: String,
    /// Version that it refused.
    pub version: Version,
    /// Why the node refused it.
    pub reason: String,
}

/// Rollout state of a set of nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of nodes by the version in force on them.
    pub in_force: BTreeMap<Version, usize>,
    /// Number of nodes by the version that is prepared on them but not in force.
    pub prepared: BTreeMap<Version, usize>,
    /// Number of refusals.
    pub refused: usize,
    /// The first refusals, up to a limit.
    pub refused_by: Vec<RefusedBy>,
    /// Number of nodes that know no target yet for a service that is new in the candidate.
    pub awaiting_targets: usize,
    /// Number of nodes that did not answer.
    pub unheard: usize,
    /// Names of the first nodes that did not answer, up to a limit.
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
    /// assert_eq!(tally.responded(), 3);
    /// ```
    #[must_use]
    pub fn responded(&self) -> usize {
        self.in_force.values().sum()
    }

    /// Number of nodes on which `version` is prepared or in force.
    #[must_use]
    pub fn ready_for(&self, version: Version) -> usize {
        let count = |map: &BTreeMap<Version, usize>| map.get(&version).copied().unwrap_or(0);
        count(&self.prepared) + count(&self.in_force)
    }

    /// Adds the counts of a disjoint set of nodes.
    pub fn merge(&mut self, other: Self) {
        for (version, count) in other.in_force {
            *self.in_force.entry(version).or_default() += count;
        }
        for (version, count) in other.prepared {
            *self.prepared.entry(version).or_default() += count;
        }
        self.refused += other.refused;
        self.refused_by.extend(other.refused_by);
        self.refused_by.truncate(MAX_LISTED_NODES);
        self.awaiting_targets += other.awaiting_targets;
        self.unheard += other.unheard;
        self.unheard_names.extend(other.unheard_names);
        self.unheard_names.truncate(MAX_LISTED_NODES);
    }

    /// Counts a node that did not answer.
    pub fn add_unheard(&mut self, node: &str) {
        self.unheard += 1;
        if self.unheard_names.len() < MAX_LISTED_NODES {
            self.unheard_names.push(node.to_owned());
        }
    }
}

/// Row with the rollout state of a data centre, written by its registrar.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Data centre.
    pub data_center: String,
    /// Revision of the rollout row that the nodes' answers refer to.
    pub revision: u64,
    /// Rollout state of the data centre's nodes.
    pub tally: Tally,
}
