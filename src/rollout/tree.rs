//! The dissemination tree: each recipient forwards to a span of a hash ring, which it splits among
//! its children.
//!
//! The ring is seeded per message, so the inner nodes of the tree differ between messages. Messages
//! carry spans, not lists of members: each node looks up the members of its span in its own roster.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of children of a node in the tree.
pub(crate) const FAN_OUT: usize = 8;

/// Position of a node on the hash ring with the given seed.
pub(crate) fn ring_position(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// An interval of the ring, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// First position.
    pub first: u64,
    /// Last position.
    pub last: u64,
}

impl Span {
    /// The entire ring.
    pub(crate) const ALL: Self = Self {
        first: 0,
        last: u64::MAX,
    };

    pub(crate) fn contains(self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }

    /// Splits the span at the given member positions, which must be sorted, into at most
    /// [`FAN_OUT`] parts with about equal numbers of members. Each part begins at its first member,
    /// so that no part contains a sender whose position starts the span. The registrar, which sends
    /// to the entire ring, may be in a part; senders leave it out of the members.
    pub(crate) fn split(self, positions: &[u64]) -> Vec<Self> {
        let size = positions.len().div_ceil(FAN_OUT).max(1);
        let starts: Vec<u64> = positions.chunks(size).map(|chunk| chunk[0]).collect();
        let ends = starts.iter().skip(1).map(|next| next - 1);
        let ends = ends.chain([self.last]);
        let parts = starts.iter().zip(ends);
        parts
            .map(|(first, last)| Self {
                first: *first,
                last,
            })
            .collect()
    }
}
