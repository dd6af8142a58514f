//! The dissemination tree: each recipient serves a span of a hash ring and splits it further.
//!
//! The ring is seeded per message, so inner nodes of the tree change with every message. Senders
//! pass spans, not lists of members: each node looks up the members of its span in its own roster.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Children of an inner node.
pub(crate) const FAN_OUT: usize = 8;

/// Place of a node on the ring of `seed`.
pub(crate) fn position(seed: u64, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// A part of the ring, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// First position.
    pub first: u64,
    /// Last position.
    pub last: u64,
}

impl Span {
    /// The whole ring.
    pub(crate) const ALL: Self = Self {
        first: 0,
        last: u64::MAX,
    };

    pub(crate) fn contains(self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }

    /// Splits the span at the given member positions (sorted) into at most [`FAN_OUT`] parts of
    /// about equal numbers of members. The parts cover the whole span.
    pub(crate) fn split(self, positions: &[u64]) -> Vec<Self> {
        if positions.is_empty() {
            return Vec::new();
        }
        let size = positions.len().div_ceil(FAN_OUT);
        let starts: Vec<u64> = positions.chunks(size).map(|chunk| chunk[0]).collect();
        let mut parts = Vec::with_capacity(starts.len());
        for (index, _) in starts.iter().enumerate() {
            let first = if index == 0 {
                self.first
            } else {
                starts[index]
            };
            let last = starts.get(index + 1).map_or(self.last, |next| next - 1);
            parts.push(Self { first, last });
        }
        parts
    }
}
