//! Numbering of roster changes by the registrar of a data centre.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::roster::{Change, Member, Position, Update, View};

const MAX_CHANGES_PER_UPDATE: usize = 512;

/// Registrar state, kept by the node that holds the data centre's lease.
pub(crate) struct Registrar {
    data_center: String,
    position: Position,
    /// Time of the last announcement or answered probe, by node.
    confirmed_at: HashMap<String, Instant>,
    pending: Vec<Change>,
    epoch: u64,
    started: Instant,
}

impl Registrar {
    /// Continues from `position`, the position of this node's own copy, under a higher epoch.
    pub(crate) fn new(data_center: &str, position: Position, epoch: u64) -> Self {
        Self {
            data_center: data_center.to_owned(),
            position,
            confirmed_at: HashMap::new(),
            pending: Vec::new(),
            epoch,
            started: Instant::now(),
        }
    }

    /// Confirms the member and queues its entry if it is newer than the one in `view`.
    pub(crate) fn handle_announcement(&mut self, member: Member, view: &View) {
        let existing = view.find(&self.data_center, &member.node);
        self.confirmed_at
            .insert(member.node.clone(), Instant::now());
        let is_newer = existing.is_none_or(|existing| member.newer_than(&existing));
        let is_queued = self
            .pending
            .iter()
            .any(|change| matches!(change, Change::Joined(m) if *m == member));
        if is_newer && !is_queued {
            self.pending.push(Change::Joined(member));
        }
    }

    /// Queues a change other than an announcement.
    pub(crate) fn queue_change(&mut self, change: Change) {
        if let Change::Left { node, .. } = &change {
            self.confirmed_at.remove(node);
        }
        self.pending.push(change);
    }

    /// Returns the next numbered update with pending changes, if there is one. The first update
    /// under a new epoch is returned even if it is empty, to make the new registrar known.
    pub(crate) fn next_update(&mut self) -> Option<Update> {
        if self.pending.is_empty() && self.position.epoch == self.epoch {
            return None;
        }
        let after = self.position;
        let number = if after.epoch == self.epoch {
            after.number + 1
        } else {
            1
        };
        self.position = Position {
            epoch: self.epoch,
            number,
        };
        let count = self.pending.len().min(MAX_CHANGES_PER_UPDATE);
        Some(Update {
            data_center: self.data_center.clone(),
            after,
            position: self.position,
            changes: self.pending.drain(..count).collect(),
            whole: false,
        })
    }

    /// Those of `members` that were not confirmed within `term`. A member that was never confirmed
    /// counts from the registrar's start.
    pub(crate) fn unconfirmed(
        &self,
        members: &[std::sync::Arc<Member>],
        term: Duration,
    ) -> Vec<Member> {
        let is_unconfirmed = |member: &&std::sync::Arc<Member>| {
            let confirmed_at = self.confirmed_at.get(&member.node).copied();
            confirmed_at.unwrap_or(self.started).elapsed() > term
        };
        members
            .iter()
            .filter(is_unconfirmed)
            .map(|m| (**m).clone())
            .collect()
    }

    /// Restarts the confirmation term of a member.
    pub(crate) fn confirm(&mut self, node: &str) {
        self.confirmed_at.insert(node.to_owned(), Instant::now());
    }
}
