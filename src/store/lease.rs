//! Leases: one row per role, held by one node at a time, with a fencing epoch.
//!
//! Contenders do not trust each other's clocks. A lease has lapsed once its row stayed unchanged
//! for the whole term on the contender's own clock. The holder counts its term from before the
//! renewal was sent, so it gives up before anybody can take over. Writes made under a lease are
//! conditional on the fence row, which changes only when the holder changes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::store::{Row, Table, Transaction};

/// Key prefix of lease rows.
pub(crate) const LEASE_PREFIX: &str = "lease/";
const FENCE_PREFIX: &str = "fence/";

/// The node that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the node.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Data centre of the node.
    pub data_center: String,
    /// Where the node answers control messages.
    pub control: SocketAddr,
    /// Where the node answers calls and serves bundles.
    pub mesh: SocketAddr,
    /// Fencing epoch; grows with every change of holder.
    pub epoch: u64,
    /// Number of renewals, so that each renewal changes the row.
    pub renewals: u64,
}

#[derive(Clone, Debug)]
struct Held {
    holder: Holder,
    lease_revision: u64,
    fence_revision: u64,
    valid_until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    revision: u64,
    since: Instant,
}

/// One role's lease as seen by one node.
pub(crate) struct Lease {
    table: Arc<dyn Table>,
    key: String,
    fence: String,
    term: Duration,
    candidate: Holder,
    held: Mutex<Option<Held>>,
    observed: Mutex<Option<Observation>>,
}

impl Lease {
    /// A lease called `name` that `candidate` may come to hold for `term` at a time.
    pub(crate) fn new(
        table: Arc<dyn Table>,
        name: &str,
        term: Duration,
        candidate: Holder,
    ) -> Self {
        Self {
            table,
            key: format!("{LEASE_PREFIX}{name}"),
            fence: format!("{FENCE_PREFIX}{name}"),
            term,
            candidate,
            held: Mutex::new(None),
            observed: Mutex::new(None),
        }
    }

    /// The holder's own entry while the lease is valid on this node's clock.
    pub(crate) fn holding(&self) -> Option<Holder> {
        let held = lock(&self.held);
        let valid = held.as_ref().filter(|h| Instant::now() < h.valid_until);
        valid.map(|held| held.holder.clone())
    }

    /// The holder's own entry until it is known that the lease was lost. A holder that cannot reach
    /// the platform goes on with what is soft state; nobody can take the lease either meanwhile, and
    /// members follow the highest epoch they hear of.
    pub(crate) fn presumed_holder(&self) -> Option<Holder> {
        lock(&self.held).as_ref().map(|held| held.holder.clone())
    }

    /// Adds the condition that this node still holds the lease.
    ///
    /// Fails with [`Error::State`] if it does not, as far as its own clock tells.
    pub(crate) fn fence(&self, transaction: Transaction) -> Result<Transaction> {
        if self.holding().is_none() {
            return Err(Error::State("the lease has lapsed".into()));
        }
        let revision = lock(&self.held).as_ref().map_or(0, |h| h.fence_revision);
        Ok(transaction.require(&self.fence, revision))
    }

    /// Takes the lease if it is free or has lapsed; returns who holds it now, as far as known.
    pub(crate) async fn try_acquire(&self) -> Result<Option<Holder>> {
        let row = self.table.get(&self.key).await?;
        if !self.lapsed(row.as_ref()) {
            return row.map(|row| row.parse()).transpose();
        }
        self.take(row).await?;
        Ok(self.holding())
    }

    /// Takes a lapsed lease whose row was read as `row`; returns whether this node holds it now.
    async fn take(&self, row: Option<Row>) -> Result<bool> {
        let fence = self.table.get(&self.fence).await?;
        let epoch = fence.as_ref().map_or(Ok(0), Row::parse::<u64>)? + 1;
        let holder = Holder {
            epoch,
            ..self.candidate.clone()
        };
        let transaction = Transaction::default()
            .require(&self.key, row.map_or(0, |row| row.revision))
            .require(&self.fence, fence.map_or(0, |row| row.revision))
            .put(&self.key, &holder)
            .put(&self.fence, &epoch);
        let valid_until = Instant::now() + self.term;
        let Ok(revision) = self.table.transact(&transaction).await else {
            return self.adopt(&holder, valid_until).await;
        };
        *lock(&self.held) = Some(Held {
            holder,
            lease_revision: revision,
            fence_revision: revision,
            valid_until,
        });
        Ok(true)
    }

    /// Extends the lease; returns whether this node still holds it.
    pub(crate) async fn renew(&self) -> Result<bool> {
        let Some(held) = self.count_renewal() else {
            return Ok(false);
        };
        let transaction = Transaction::default()
            .require(&self.key, held.lease_revision)
            .put(&self.key, &held.holder);
        let valid_until = Instant::now() + self.term;
        let Ok(revision) = self.table.transact(&transaction).await else {
            return self.adopt(&held.holder, valid_until).await;
        };
        if let Some(held) = lock(&self.held).as_mut() {
            held.lease_revision = revision;
            held.valid_until = valid_until;
        }
        Ok(true)
    }

    /// Counts an attempt, so that each attempt can be told apart in the row.
    fn count_renewal(&self) -> Option<Held> {
        let mut guard = lock(&self.held);
        let held = guard.as_mut()?;
        held.holder.renewals += 1;
        Some(held.clone())
    }

    /// Settles a write whose outcome is unknown by reading the row back. The term is extended
    /// only if the row holds exactly this attempt.
    async fn adopt(&self, attempt: &Holder, valid_until: Instant) -> Result<bool> {
        let lease = self.table.get(&self.key).await?;
        let fence = self.table.get(&self.fence).await?;
        let stored = lease.as_ref().map(Row::parse::<Holder>).transpose()?;
        let mut held = lock(&self.held);
        let (Some(lease), Some(fence), Some(stored)) = (lease, fence, stored) else {
            *held = None;
            return Ok(false);
        };
        if stored.node != attempt.node || stored.epoch != attempt.epoch {
            *held = None;
            return Ok(false);
        }
        let extended = stored.renewals == attempt.renewals;
        let kept = held.as_ref().map_or(Instant::now(), |h| h.valid_until);
        *held = Some(Held {
            holder: attempt.clone(),
            lease_revision: lease.revision,
            fence_revision: fence.revision,
            valid_until: if extended { valid_until } else { kept },
        });
        Ok(extended)
    }

    /// Gives the lease up, so that another node can take it at once.
    pub(crate) async fn release(&self) -> Result<()> {
        let Some(held) = lock(&self.held).take() else {
            return Ok(());
        };
        let transaction = Transaction::default()
            .require(&self.key, held.lease_revision)
            .delete(&self.key);
        self.table.transact(&transaction).await.map(|_| ())
    }

    fn lapsed(&self, row: Option<&Row>) -> bool {
        let Some(row) = row else { return true };
        let mut observed = lock(&self.observed);
        match *observed {
            Some(seen) if seen.revision == row.revision => seen.since.elapsed() > self.term,
            _ => {
                *observed = Some(Observation {
                    revision: row.revision,
                    since: Instant::now(),
                });
                false
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
