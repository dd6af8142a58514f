//! Write-ahead journal of a claim shard in the platform's table, one row per batch.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::claim::RETENTION;
use crate::claim::owner::owner_key;
use crate::error::{Error, Result};
use crate::store::{Row, Table, Transaction};
use crate::wire::{Claim, Settlement};

const MAX_WRITE_ATTEMPTS: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Expired rows deleted along with one batch, so that a transaction stays small.
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
    /// Random number by which a writer recognises its own write after a lost answer.
    pub id: u64,
    /// Time of the write, in seconds since the Unix epoch; used for retention only.
    pub written_s: u64,
    /// Entries in the order in which they take effect.
    pub entries: Vec<Entry>,
}

/// Writer of one shard's journal under one epoch.
pub(super) struct Journal {
    table: Arc<dyn Table>,
    shard: u32,
    epoch: u64,
    /// Revision of the owner's row. Every write requires it, which fences out replaced owners.
    owner_revision: u64,
    /// Number of the next batch.
    next_sequence: u64,
    /// Keys of the journal's rows and the times of their writes, oldest first.
    rows: std::collections::VecDeque<(String, u64)>,
}

impl Journal {
    /// Reads the entries of earlier owners. Must be called after this owner's row was written, or
    /// the last owner could still append entries that are missed.
    pub(super) async fn open(
        table: Arc<dyn Table>,
        shard: u32,
        epoch: u64,
        owner_revision: u64,
    ) -> Result<(Self, Vec<Entry>)> {
        let rows = table.scan(&key_prefix(shard)).await?;
        let retention_start = now_s().saturating_sub(RETENTION.as_secs());
        let mut journal = Self {
            table,
            shard,
            epoch,
            owner_revision,
            next_sequence: 1,
            rows: std::collections::VecDeque::new(),
        };
        let mut entries = Vec::new();
        for row in &rows {
            let batch: Batch = row.parse()?;
            journal.rows.push_back((row.key.clone(), batch.written_s));
            if batch.written_s >= retention_start {
                entries.extend(batch.entries);
            }
        }
        Ok((journal, entries))
    }

    /// Writes a batch and returns once its outcome is known.
    ///
    /// Fails with [`Error::Conflict`] if this owner was replaced, and with
    /// [`Error::Unavailable`] if the outcome stays unknown.
    pub(super) async fn append(&mut self, entries: &[Entry]) -> Result<()> {
        let batch = Batch {
            id: rand::random(),
            written_s: now_s(),
            entries: entries.to_vec(),
        };
        let key = format!(
            "{}{:012}-{:012}",
            key_prefix(self.shard),
            self.epoch,
            self.next_sequence
        );
        self.next_sequence += 1;
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

    /// Writes with retries. After an error, reads the row back, as the write may have taken effect.
    async fn commit(&self, transaction: &Transaction, key: &str, id: u64) -> Result<()> {
        let mut outcome = Ok(());
        for _ in 0..MAX_WRITE_ATTEMPTS {
            outcome = self.table.transact(transaction).await.map(|_| ());
            let Err(error) = &outcome else { return Ok(()) };
            match self.table.get(key).await {
                Ok(Some(row)) if is_batch(&row, id) => return Ok(()),
                Ok(_) if matches!(error, Error::Conflict(_)) => return outcome,
                Ok(_) | Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        outcome
    }

    /// The oldest rows past retention, at most [`MAX_DELETES_PER_BATCH`].
    fn expired(&self) -> Vec<(String, u64)> {
        let retention_start = now_s().saturating_sub(RETENTION.as_secs());
        let expired = self
            .rows
            .iter()
            .take_while(|(_, written_s)| *written_s < retention_start);
        expired.take(MAX_DELETES_PER_BATCH).cloned().collect()
    }
}

fn is_batch(row: &Row, id: u64) -> bool {
    row.parse::<Batch>().is_ok_and(|batch| batch.id == id)
}

fn key_prefix(shard: u32) -> String {
    format!("claim/log/{shard:04}/")
}

fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
