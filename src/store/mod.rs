//! Ports to the platform: a transactional table service with a feed of changes, and an object
//! store.

mod http;
mod lease;
mod wire;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::Result;

pub use http::Client;
pub use lease::Holder;
pub(crate) use lease::{LEASE_PREFIX, Lease};
pub use wire::{Condition, Row, Rows, Transaction, Write};

/// The platform's transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Reads the rows whose keys begin with `prefix`, in key order.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>>;

    /// Applies all writes if all conditions hold, else none; returns the revision that the
    /// written rows have now.
    ///
    /// Fails with [`crate::Error::Conflict`] if a condition does not hold, and with
    /// [`crate::Error::Unavailable`] where it is unknown whether the writes took effect.
    async fn transact(&self, transaction: &Transaction) -> Result<u64>;
}

/// Rows of one table as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// In key order.
    pub rows: Vec<Row>,
    /// Where to follow the table's changes from.
    pub position: u64,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The row was written.
    Written(Row),
    /// The row with this key was deleted.
    Deleted(String),
}

/// What a feed answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Changes in order, none if nothing changed in time.
    Next {
        /// The changes.
        changes: Vec<Change>,
        /// Where to go on from.
        position: u64,
    },
    /// The changes since the given position are no longer known: read a snapshot.
    HistoryLost,
}

/// Changes of the platform's tables as they happen.
#[async_trait]
pub trait Feed: Send + Sync {
    /// Reads all rows of a table.
    async fn snapshot(&self, table: &str) -> Result<Snapshot>;

    /// Waits for changes of a table after a position, at most for `wait`.
    async fn changes(&self, table: &str, after: u64, wait: Duration) -> Result<Changes>;
}

/// The platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads a whole object.
    async fn fetch(&self, name: &str) -> Result<Option<Bytes>>;

    /// Stores a whole object; storing the same bytes again is harmless.
    async fn store(&self, name: &str, bytes: Bytes) -> Result<()>;
}

/// Both services of the platform.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
}

#[cfg(all(test, feature = "standin"))]
mod tests;
