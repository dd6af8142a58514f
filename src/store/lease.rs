//! Leases: one row per role, held by one node at a time, with a fencing epoch.
//!
//! No node relies on the clock of another. A lease has expired for a contender once its row stayed
//! unchanged for the whole term on the contender's own clock. The holder counts its term from
//! before it sends the renewal, so its lease expires before another node can acquire it. Writes
//! made under a lease are conditional on the fence row, which changes only when the holder
//! changes.

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
    /// Address of the node's control listener.
    pub control: SocketAddr,
    /// Address of the node's mesh listener, which serves calls and bundles.
    pub mesh: SocketAddr,
    /// Fencing epoch; increases with every change of holder.
    pub epoch: u64,
    /// Number of renewals, so that each renewal changes the row.
    pub renewals: u64,
}

/// A lease as this node holds it.
#[derive(Clone, Debug)]
struct HeldLease {
    holder: Holder,
    lease_revision: u64,
    fence_revision: u64,
    /// End of the term on this node's clock.
    valid_until: Instant,
}

/// Revision of a lease row that another node holds, and when this node first read it.
#[derive(Clone, Copy, Debug)]
struct Observation {
    revision: u64,
    first_read: Instant,
}

/// The lease of one role, from the view of one node.
pub(crate) struct Lease {
    table: Arc<dyn Table>,
    key: String,
    fence_key: String,
    term: Duration,
    candidate: Holder,
    held: Mutex<Option<HeldLease>>,
    observed: Mutex<Option<Observation>>,
}

impl Lease {
    /// Creates the lease `name` of which `candidate` may become the holder, for `term` after each
    /// renewal.
    pub(crate) fn new(
        table: Arc<dyn Table>,
        name: &str,
        term: Duration,
        candidate: Holder,
    ) -> Self {
        Self {
            table,
            key: format!("{LEASE_PREFIX}{name}"),
            fence_key: format!("{FENCE_PREFIX}{name}"),
            term,
            candidate,
            held: Mutex::new(None),
            observed: Mutex::new(None),
        }
    }

    /// This node's entry while it holds the lease and the term has not ended on its own clock.
    pub(crate) fn valid_holder(&self) -> Option<Holder> {
        let held = lock(&self.held);
        let unexpired = held.as_ref().filter(|h| Instant::now() < h.valid_until);
        unexpired.map(|held| held.holder.clone())
    }

    /// This node's entry from when it acquires the lease until it finds out that it lost it, also
    /// past the end of the term.
    ///
    /// Meant for work on soft state, which a holder continues while it cannot reach the platform:
    /// as long as the platform is down, no other node can acquire the lease either, and members
    /// follow the holder with the highest epoch that they know of.
    pub(crate) fn presumed_holder(&self) -> Option<Holder> {
        lock(&self.held).as_ref().map(|held| held.holder.clone())
    }

    /// Makes a transaction conditional on this node still holding the lease.
    ///
    /// Fails with [`Error::State`] if the lease has expired on this node's own clock.
    pub(crate) fn fence(&self, transaction: Transaction) -> Result<Transaction> {
        if self.valid_holder().is_none() {
            return Err(Error::State("the lease has expired".into()));
        }
        let revision = lock(&self.held).as_ref().map_or(0, |h| h.fence_revision);
        Ok(transaction.require(&self.fence_key, revision))
    }

    /// Acquires the lease if it is free or has expired; returns its holder, if known.
    pub(crate) async fn try_acquire(&self) -> Result<Option<Holder>> {
        let row = self.table.get(&self.key).await?;
        if !self.has_expired(row.as_ref()) {
            return row.map(|row| row.parse()).transpose();
        }
        self.acquire(row).await?;
        Ok(self.valid_holder())
    }

    /// Acquires a free or expired lease whose row was read as `row`; returns whether this node
    /// holds it now.
    async fn acquire(&self, row: Option<Row>) -> Result<bool> {
        let fence = self.table.get(&self.fence_key).await?;
        let epoch = fence.as_ref().map_or(Ok(0), Row::parse::<u64>)? + 1;
        let holder = Holder {
            epoch,
            ..self.candidate.clone()
        };
        let transaction = Transaction::default()
            .require(&self.key, row.map_or(0, |row| row.revision))
            .require(&self.fence_key, fence.map_or(0, |row| row.revision))
            .put(&self.key, &holder)
            .put(&self.fence_key, &epoch);
        let valid_until = Instant::now() + self.term;
        let Ok(revision) = self.table.transact(&transaction).await else {
            return self.confirm_write(&holder, valid_until).await;
        };
        *lock(&self.held) = Some(HeldLease {
            holder,
            lease_revision: revision,
            fence_revision: revision,
            valid_until,
        });
        Ok(true)
    }

    /// Renews the lease for another term; returns whether that succeeded. `false` means that the
    /// lease was lost or that the renewal did not take effect.
    pub(crate) async fn renew(&self) -> Result<bool> {
        let Some(held) = self.next_renewal() else {
            return Ok(false);
        };
        let transaction = Transaction::default()
            .require(&self.key, held.lease_revision)
            .put(&self.key, &held.holder);
        let valid_until = Instant::now() + self.term;
        let Ok(revision) = self.table.transact(&transaction).await else {
            return self.confirm_write(&held.holder, valid_until).await;
        };
        if let Some(held) = lock(&self.held).as_mut() {
            held.lease_revision = revision;
            held.valid_until = valid_until;
        }
        Ok(true)
    }

    /// Increments the number of renewals, so that the row shows which attempt wrote it, and returns
    /// the lease to write; `None` if this node does not hold it.
    fn next_renewal(&self) -> Option<HeldLease> {
        let mut guard = lock(&self.held);
        let held = guard.as_mut()?;
        held.holder.renewals += 1;
        Some(held.clone())
    }

    /// Reads the rows back after a write whose outcome is unknown. The term is extended only if the
    /// lease row holds exactly this attempt; returns whether it does.
    async fn confirm_write(&self, attempt: &Holder, valid_until: Instant) -> Result<bool> {
        let lease = self.table.get(&self.key).await?;
        let fence = self.table.get(&self.fence_key).await?;
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
        let took_effect = stored.renewals == attempt.renewals;
        let previous_end = held.as_ref().map_or(Instant::now(), |h| h.valid_until);
        *held = Some(HeldLease {
            holder: attempt.clone(),
            lease_revision: lease.revision,
            fence_revision: fence.revision,
            valid_until: if took_effect {
                valid_until
            } else {
                previous_end
            },
        });
        Ok(took_effect)
    }

    /// Releases the lease, so that another node can acquire it without waiting for its expiry.
    pub(crate) async fn release(&self) -> Result<()> {
        let Some(held) = lock(&self.held).take() else {
            return Ok(());
        };
        let transaction = Transaction::default()
            .require(&self.key, held.lease_revision)
            .delete(&self.key);
        self.table.transact(&transaction).await.map(|_| ())
    }

    /// Whether a lease with this row can be acquired: there is no row, or it did not change for a
    /// whole term on this node's clock.
    fn has_expired(&self, row: Option<&Row>) -> bool {
        let Some(row) = row else { return true };
        let mut observed = lock(&self.observed);
        match *observed {
            Some(seen) if seen.revision == row.revision => seen.first_read.elapsed() > self.term,
            _ => {
                *observed = Some(Observation {
                    revision: row.revision,
                    first_read: Instant::now(),
                });
                false
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
