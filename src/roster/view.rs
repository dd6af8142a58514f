//! A node's copy of the roster, maintained by numbered updates per data centre.
//!
//! A new registrar numbers its updates from 1 under a higher epoch. Members that it has not
//! confirmed yet are kept from the earlier epoch for a grace period, so that a registrar that
//! starts with an empty roster does not remove members that are running.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::roster::{Crash, Member};

const MAX_LOG_UPDATES: usize = 128;

/// Position in the update sequence of one data centre's roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the registrar.
    pub epoch: u64,
    /// Number of the last update within the epoch.
    pub number: u64,
}

/// A change to the roster, or to the suspicions that are distributed with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A member was added, or its entry changed.
    Joined(Member),
    /// A member was removed.
    Left {
        /// Name of the node.
        node: String,
        /// Highest incarnation that is removed; a later one stays.
        incarnation: u64,
    },
    /// A target crashed.
    Crashed(Crash),
    /// A request completed, which clears its fingerprint of suspicion.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

/// A numbered batch of changes to one data centre's roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Data centre.
    pub data_center: String,
    /// Position that a copy must be at for the update to apply; ignored if `whole` is set.
    pub after: Position,
    /// Position of a copy once the update is applied.
    pub position: Position,
    /// The changes, or all members if `whole` is set.
    pub changes: Vec<Change>,
    /// Whether the update is a full copy of the data centre's roster and not a difference.
    pub whole: bool,
}

/// Outcome of [`View::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApplyOutcome {
    /// The update was applied.
    Applied,
    /// Nothing to do: the copy was at the update's position or beyond.
    AlreadyApplied,
    /// Not applied, because earlier updates are missing.
    MissingUpdates,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Arc<Member>,
    /// When a full copy under a new epoch first left the member out; `None` once confirmed.
    unconfirmed_since: Option<Instant>,
}

/// Copy of one data centre's roster.
#[derive(Default)]
struct DataCenter {
    position: Position,
    entries: BTreeMap<String, Entry>,
    /// Latest updates, oldest first, for peers that lack some of them.
    log: VecDeque<Update>,
}

/// Immutable snapshot of the members, by target group and by data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    /// Members that offer a target, by target group.
    pub groups: HashMap<String, Vec<Arc<Member>>>,
    /// All members by data centre.
    pub data_centers: BTreeMap<String, Vec<Arc<Member>>>,
}

impl Roster {
    /// Members of `data_center`.
    pub(crate) fn members_in(&self, data_center: &str) -> &[Arc<Member>] {
        self.data_centers
            .get(data_center)
            .map_or(&[], Vec::as_slice)
    }
}

/// A node's copy of the roster.
#[derive(Default)]
pub(crate) struct View {
    data_centers: BTreeMap<String, DataCenter>,
}

impl View {
    /// Applies an update if it is a full copy or starts at the copy's position.
    pub(crate) fn apply(&mut self, update: &Update) -> ApplyOutcome {
        let data_center = self
            .data_centers
            .entry(update.data_center.clone())
            .or_default();
        if update.position <= data_center.position {
            return ApplyOutcome::AlreadyApplied;
        }
        if !update.whole && update.after != data_center.position {
            return ApplyOutcome::MissingUpdates;
        }
        if update.whole {
            data_center.begin_replacement(update.position.epoch);
        }
        for change in &update.changes {
            data_center.apply(change);
        }
        data_center.position = update.position;
        if !update.whole {
            data_center.append_to_log(update);
        }
        ApplyOutcome::Applied
    }

    /// Positions of the copy, by data centre.
    pub(crate) fn positions(&self) -> BTreeMap<String, Position> {
        let positions = self.data_centers.iter();
        positions
            .map(|(name, data_center)| (name.clone(), data_center.position))
            .collect()
    }

    /// Position of the copy for `data_center`, the default one if it is not known.
    pub(crate) fn position(&self, data_center: &str) -> Position {
        self.data_centers
            .get(data_center)
            .map_or(Position::default(), |c| c.position)
    }

    /// Updates that a copy at `positions` lacks: the single updates where the log still has them,
    /// else a full copy of the data centre.
    pub(crate) fn updates_after(&self, positions: &BTreeMap<String, Position>) -> Vec<Update> {
        let mut updates = Vec::new();
        for (name, data_center) in &self.data_centers {
            let position = positions.get(name).copied().unwrap_or_default();
            if data_center.position > position {
                updates.extend(data_center.updates_after(name, position));
            }
        }
        updates
    }

    /// The member `node` in `data_center`.
    pub(crate) fn find(&self, data_center: &str, node: &str) -> Option<Arc<Member>> {
        let entry = self.data_centers.get(data_center)?.entries.get(node)?;
        Some(entry.member.clone())
    }

    /// Drops members that a new registrar did not confirm within `grace`. Returns whether any was
    /// dropped.
    pub(crate) fn expire(&mut self, grace: Duration) -> bool {
        let mut dropped = false;
        for data_center in self.data_centers.values_mut() {
            let before = data_center.entries.len();
            data_center.entries.retain(|_, entry| {
                entry
                    .unconfirmed_since
                    .is_none_or(|since| since.elapsed() < grace)
            });
            dropped |= data_center.entries.len() < before;
        }
        dropped
    }

    /// Takes a snapshot of the copy.
    pub(crate) fn roster(&self) -> Roster {
        let mut roster = Roster::default();
        for (name, data_center) in &self.data_centers {
            let members: Vec<_> = data_center
                .entries
                .values()
                .map(|e| e.member.clone())
                .collect();
            for member in &members {
                if let Some(offer) = &member.offer {
                    let group = roster.groups.entry(offer.group.clone()).or_default();
                    group.push(member.clone());
                }
            }
            roster.data_centers.insert(name.clone(), members);
        }
        roster
    }
}

impl DataCenter {
    /// Prepares for the members of a full copy. Under the same epoch, members that it leaves out
    /// are removed. A new registrar may not have received all announcements yet, so existing
    /// members stay and are marked unconfirmed.
    fn begin_replacement(&mut self, epoch: u64) {
        self.log.clear();
        if epoch == self.position.epoch {
            self.entries.clear();
            return;
        }
        let now = Instant::now();
        for entry in self.entries.values_mut() {
            entry.unconfirmed_since.get_or_insert(now);
        }
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Joined(member) => {
                let existing = self.entries.get(&member.node);
                let is_outdated = existing.is_some_and(|entry| entry.member.newer_than(member));
                if !is_outdated {
                    let entry = Entry {
                        member: Arc::new(member.clone()),
                        unconfirmed_since: None,
                    };
                    self.entries.insert(member.node.clone(), entry);
                }
            }
            Change::Left { node, incarnation } => {
                let existing = self.entries.get(node);
                if existing.is_some_and(|entry| entry.member.incarnation <= *incarnation) {
                    self.entries.remove(node);
                }
            }
            Change::Crashed(_) | Change::Cleared { .. } => {}
        }
    }

    fn append_to_log(&mut self, update: &Update) {
        self.log.push_back(update.clone());
        if self.log.len() > MAX_LOG_UPDATES {
            self.log.pop_front();
        }
    }

    fn updates_after(&self, name: &str, position: Position) -> Vec<Update> {
        let start = self.log.iter().position(|update| update.after == position);
        match start {
            Some(start) => self.log.iter().skip(start).cloned().collect(),
            None => vec![self.full_copy(name)],
        }
    }

    fn full_copy(&self, name: &str) -> Update {
        let members = self.entries.values().map(|e| (*e.member).clone());
        Update {
            data_center: name.to_owned(),
            after: Position::default(),
            position: self.position,
            changes: members.map(Change::Joined).collect(),
            whole: true,
        }
    }
}
