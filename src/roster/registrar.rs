//! The registrar of a data centre: numbers the changes of its members.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::roster::{Change, Member, Position, Update, View};

const MAX_CHANGES_PER_UPDATE: usize = 512;

/// State of a registrar, kept by the node that holds the data centre's lease.
pub(crate) struct Registrar {
    data_center: String,
    position: Position,
    confirmed: HashMap<String, Instant>,
    pending: Vec<Change>,
    epoch: u64,
    since: Instant,
}

impl Registrar {
    /// Takes over at `position`, the end of this node's own copy, under a higher epoch.
    pub(crate) fn new(data_center: &str, position: Position, epoch: u64) -> Self {
        Self {
            data_center: data_center.to_owned(),
            position,
            confirmed: HashMap::new(),
            pending: Vec::new(),
            epoch,
            since: Instant::now(),
        }
    }

    /// Takes an announcement.
    pub(crate) fn announce(&mut self, member: Member, view: &View) {
        let known = view.find(&self.data_center, &member.node);
        self.confirmed.insert(member.node.clone(), Instant::now());
        let news = known.is_none_or(|known| member.newer_than(&known));
        let queued = self
            .pending
            .iter()
            .any(|change| matches!(change, Change::Joined(m) if *m == member));
        if news && !queued {
            self.pending.push(Change::Joined(member));
        }
    }

    /// Takes any other change.
    pub(crate) fn add(&mut self, change: Change) {
        if let Change::Left { node, .. } = &change {
            self.confirmed.remove(node);
        }
        self.pending.push(change);
    }

    /// Numbers what is pending. The first update under a new epoch goes out even if it is empty,
    /// so that members learn of the registrar.
    pub(crate) fn flush(&mut self) -> Option<Update> {
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

    /// Members of `known` that were not confirmed within `term`.
    pub(crate) fn unconfirmed(
        &self,
        known: &[std::sync::Arc<Member>],
        term: Duration,
    ) -> Vec<Member> {
        let stale = |member: &&std::sync::Arc<Member>| {
            let confirmed = self.confirmed.get(&member.node).copied();
            confirmed.unwrap_or(self.since).elapsed() > term
        };
        known.iter().filter(stale).map(|m| (**m).clone()).collect()
    }

    /// Notes that a member answered a probe.
    pub(crate) fn confirm(&mut self, node: &str) {
        self.confirmed.insert(node.to_owned(), Instant::now());
    }
}
