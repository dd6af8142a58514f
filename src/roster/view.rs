//! A node's copy of the roster, kept up by numbered updates per data centre.
//!
//! A new registrar numbers from 1 under a higher epoch. Members that it has not confirmed yet are
//! carried over from the earlier epoch for a grace period, so an empty view is never believed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::roster::{Crash, Member};

const KEPT_UPDATES: usize = 128;

/// How far a copy of one data centre's roster goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the registrar.
    pub epoch: u64,
    /// Number of the last update.
    pub number: u64,
}

/// One change of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A member is there, or says something new about itself.
    Joined(Member),
    /// A member is gone.
    Left {
        /// Name of the node.
        node: String,
        /// Incarnation that is gone; a later one is not meant.
        incarnation: u64,
    },
    /// A target crashed.
    Crashed(Crash),
    /// A fingerprint completed and is innocent.
    Cleared {
        /// The fingerprint.
        fingerprint: u64,
    },
}

/// Changes of one data centre under one number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Data centre.
    pub data_center: String,
    /// Position that the update follows on.
    pub after: Position,
    /// Position that it leads to.
    pub position: Position,
    /// The changes; the whole membership where `whole` is set.
    pub changes: Vec<Change>,
    /// Whether this replaces the copy instead of adding to it.
    pub whole: bool,
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Applied {
    /// It is in the copy now.
    Taken,
    /// The copy was as far already.
    Known,
    /// Earlier updates are missing.
    Gap,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Arc<Member>,
    /// Set while only an earlier registrar knew the member.
    carried_since: Option<Instant>,
}

#[derive(Default)]
struct Center {
    position: Position,
    entries: BTreeMap<String, Entry>,
    log: VecDeque<Update>,
}

/// Members by group and by data centre, as one immutable value.
#[derive(Clone, Debug, Default)]
pub(crate) struct Roster {
    /// Members that offer a target, by target group.
    pub groups: HashMap<String, Vec<Arc<Member>>>,
    /// All members by data centre.
    pub centers: BTreeMap<String, Vec<Arc<Member>>>,
}

impl Roster {
    /// Members of `data_center`.
    pub(crate) fn center(&self, data_center: &str) -> &[Arc<Member>] {
        self.centers.get(data_center).map_or(&[], Vec::as_slice)
    }
}

/// A node's copy of the roster.
#[derive(Default)]
pub(crate) struct View {
    centers: BTreeMap<String, Center>,
}

impl View {
    /// Applies an update if it follows on the copy.
    pub(crate) fn apply(&mut self, update: &Update) -> Applied {
        let center = self.centers.entry(update.data_center.clone()).or_default();
        if update.position <= center.position {
            return Applied::Known;
        }
        if !update.whole && update.after != center.position {
            return Applied::Gap;
        }
        if update.whole {
            center.replace(update.position.epoch);
        }
        for change in &update.changes {
            center.change(change);
        }
        center.position = update.position;
        if !update.whole {
            center.remember(update);
        }
        Applied::Taken
    }

    /// How far the copy goes, by data centre.
    pub(crate) fn positions(&self) -> BTreeMap<String, Position> {
        let positions = self.centers.iter();
        positions
            .map(|(name, center)| (name.clone(), center.position))
            .collect()
    }

    pub(crate) fn position(&self, data_center: &str) -> Position {
        self.centers
            .get(data_center)
            .map_or(Position::default(), |c| c.position)
    }

    /// Updates that a copy at `theirs` lacks: single ones where they are still kept, else the
    /// whole data centre.
    pub(crate) fn newer_than(&self, theirs: &BTreeMap<String, Position>) -> Vec<Update> {
        let mut updates = Vec::new();
        for (name, center) in &self.centers {
            let position = theirs.get(name).copied().unwrap_or_default();
            if center.position > position {
                updates.extend(center.since(name, position));
            }
        }
        updates
    }

    /// The entry of `node` in `data_center`.
    pub(crate) fn find(&self, data_center: &str, node: &str) -> Option<Arc<Member>> {
        let entry = self.centers.get(data_center)?.entries.get(node)?;
        Some(entry.member.clone())
    }

    /// Drops members that no registrar confirmed within `grace`; returns whether any was dropped.
    pub(crate) fn expire(&mut self, grace: Duration) -> bool {
        let mut dropped = false;
        for center in self.centers.values_mut() {
            let before = center.entries.len();
            center.entries.retain(|_, entry| {
                entry
                    .carried_since
                    .is_none_or(|since| since.elapsed() < grace)
            });
            dropped |= center.entries.len() < before;
        }
        dropped
    }

    /// The copy as one immutable value.
    pub(crate) fn roster(&self) -> Roster {
        let mut roster = Roster::default();
        for (name, center) in &self.centers {
            let members: Vec<_> = center.entries.values().map(|e| e.member.clone()).collect();
            for member in &members {
                if let Some(offer) = &member.offer {
                    let group = roster.groups.entry(offer.group.clone()).or_default();
                    group.push(member.clone());
                }
            }
            roster.centers.insert(name.clone(), members);
        }
        roster
    }
}

impl Center {
    /// Makes room for a whole copy. Under the same registrar what it leaves out is gone; a new
    /// registrar may not have heard of everybody yet.
    fn replace(&mut self, epoch: u64) {
        self.log.clear();
        if epoch == self.position.epoch {
            self.entries.clear();
            return;
        }
        let now = Instant::now();
        for entry in self.entries.values_mut() {
            entry.carried_since.get_or_insert(now);
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Joined(member) => {
                let held = self.entries.get(&member.node);
                let outdated = held.is_some_and(|entry| entry.member.newer_than(member));
                if !outdated {
                    let entry = Entry {
                        member: Arc::new(member.clone()),
                        carried_since: None,
                    };
                    self.entries.insert(member.node.clone(), entry);
                }
            }
            Change::Left { node, incarnation } => {
                let held = self.entries.get(node);
                if held.is_some_and(|entry| entry.member.incarnation <= *incarnation) {
                    self.entries.remove(node);
                }
            }
            Change::Crashed(_) | Change::Cleared { .. } => {}
        }
    }

    fn remember(&mut self, update: &Update) {
        self.log.push_back(update.clone());
        if self.log.len() > KEPT_UPDATES {
            self.log.pop_front();
        }
    }

    fn since(&self, name: &str, position: Position) -> Vec<Update> {
        let start = self.log.iter().position(|update| update.after == position);
        match start {
            Some(start) => self.log.iter().skip(start).cloned().collect(),
            None => vec![self.whole(name)],
        }
    }

    fn whole(&self, name: &str) -> Update {
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
