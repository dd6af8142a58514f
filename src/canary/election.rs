//! Which node adds up the reports of a data centre, and which one drives the orders.
//!
//! There is no lease. Nodes may disagree for a while: reports are totals, and stages are written on
//! the condition that the row has not changed.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// A node that could take a role.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate<'a> {
    /// Name of the node.
    pub node: &'a str,
    /// Its data centre.
    pub data_center: &'a str,
    /// Whether the node can be reached.
    pub reachable: bool,
    /// Whether the store answers the node, as far as is known.
    pub has_store: bool,
}

/// Position in the order in which nodes take roles, which is that of the watchers.
fn rank(node: &str) -> (u64, &str) {
    (xxh3_64(node.as_bytes()), node)
}

/// The first reachable node of each data centre, which adds up the reports of the data centre.
pub(crate) fn aggregators<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> BTreeMap<&'a str, &'a str> {
    let mut first = BTreeMap::new();
    for candidate in candidates.filter(|candidate| candidate.reachable) {
        let node = first.entry(candidate.data_center).or_insert(candidate.node);
        if rank(candidate.node) < rank(node) {
            *node = candidate.node;
        }
    }
    first
}

/// The first reachable node that the store answers, or the first reachable one if it answers none.
pub(crate) fn driver<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Option<&'a str> {
    let reachable = candidates.filter(|candidate| candidate.reachable);
    let first = reachable.min_by_key(|candidate| (!candidate.has_store, rank(candidate.node)));
    first.map(|candidate| candidate.node)
}
