//! The durable journal of a claim shard: one row per batch.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::claim::RETENTION;
use crate::claim::owner::owner_key;
use crate::error::{Error, Result};
use crate::store::{Row, Table, Transaction};
use crate::wire::{Claim, Settlement};

const WRITE_TRIES: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_DELETES_PER_BATCH: usize = 16;

/// One entry of the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Entry {
    /// A claim was granted.
    Claimed(Claim),
    /// A granted request ended.
    Settled(Settlement),
}

/// One row of the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Batch {
    /// Random number that tells this write from any other.
    pub id: u64,
    /// Time of the write, in seconds since the Unix epoch; used for retention only.
    pub written_s: u64,
    /// Entries in the order in which they took effect.
    pub entries: Vec<Entry>,
}

/// Writes the journal of one shard under one epoch.
pub(super) struct Journal {
    table: Arc<dyn Table>,
    shard: u32,
    epoch: u64,
    owner_revision: u64,
    next: u64,
    /// Keys of rows and their times, oldest first.
    rows: std::collections::VecDeque<(String, u64)>,
}

impl Journal {
    /// Reads what earlier owners wrote; must be called after the epoch was taken.
    pub(super) async fn open(
        table: Arc<dyn Table>,
        shard: u32,
        epoch: u64,
        owner_revision: u64,
    ) -> Result<(Self, Vec<Entry>)> {
        let rows = table.scan(&prefix(shard)).await?;
        let oldest = now_s().saturating_sub(RETENTION.as_secs());
        let mut journal = Self {
            table,
            shard,
            epoch,
            owner_revision,
            next: 1,
            rows: std::collections::VecDeque::new(),
        };
        let mut entries = Vec::new();
        for row in &rows {
            let batch: Batch = row.parse()?;
            journal.rows.push_back((row.key.clone(), batch.written_s));
            if batch.written_s >= oldest {
                entries.extend(batch.entries);
            }
        }
        Ok((journal, entries))
    }

    /// Writes a batch; returns once it is known whether it took effect.
    ///
    /// Fails with [`Error::Conflict`] if this owner was replaced, and with
    /// [`Error::Unavailable`] if the outcome stays unknown.
    pub(super) async fn append(&mut self, entries: &[Entry]) -> Result<()> {
        let batch = Batch {
            id: rand::random(),
            written_s: now_s(),
            entries: entries.to_vec(),
        };
        let key = format!("{}{:012}-{:012}", prefix(self.shard), self.epoch, self.next);
        self.next += 1;
        let expired = self.expired();
        let mut transaction = Transaction::default()
            .require(&owner_key(self.shard), self.owner_revision)
            .require(&key, 0)
            .put(&key, &batch);
        for (key, _) in &expired {
            transaction = transaction.delete(key);
        }
        self.commit(&transaction, &key, batch.id).await?;
        self.rows.drain(..expired.len());
        self.rows.push_back((key, batch.written_s));
        Ok(())
    }

    async fn commit(&self, transaction: &Transaction, key: &str, id: u64) -> Result<()> {
        let mut outcome = Ok(());
        for _ in 0..WRITE_TRIES {
            outcome = self.table.transact(transaction).await.map(|_| ());
            let Err(error) = &outcome else { return Ok(()) };
            match self.table.get(key).await {
                Ok(Some(row)) if holds(&row, id) => return Ok(()),
                Ok(_) if matches!(error, Error::Conflict(_)) => return outcome,
                Ok(_) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
        outcome
    }

    /// Rows at the front that are past retention, a few at a time.
    fn expired(&self) -> Vec<(String, u64)> {
        let oldest = now_s().saturating_sub(RETENTION.as_secs());
        let expired = self
            .rows
            .iter()
            .take_while(|(_, written)| *written < oldest);
        expired.take(MAX_DELETES_PER_BATCH).cloned().collect()
    }
}

fn holds(row: &Row, id: u64) -> bool {
    row.parse::<Batch>().is_ok_and(|batch| batch.id == id)
}

fn prefix(shard: u32) -> String {
    format!("claim/log/{shard:04}/")
}

fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
