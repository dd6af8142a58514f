//! Interfaces to the platform's services: a transactional table with a change feed, and an object
//! store.
//!
//! There are two platforms with different protocols: [`Client`] serves [`crate::Node`]s and
//! operators, and [`crate::platform::Store`] serves [`crate::Sidecar`]s.

mod era;
mod http;
mod lease;
mod wire;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::Result;

pub use era::Era;
pub use http::Client;
pub use lease::Holder;
pub(crate) use lease::{LEASE_PREFIX, Lease};
pub use wire::{Condition, Row, Rows, Transaction, Write};

/// The platform's transactional table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Reads the rows whose keys start with `prefix`, in key order.
    async fn scan(&self, prefix: &str) -> Result<Vec<Row>>;

    /// Applies all writes if all conditions hold, otherwise none; returns the new revision of the
    /// written rows.
    ///
    /// Fails with [`crate::Error::Conflict`] if a condition does not hold, and with
    /// [`crate::Error::Unavailable`] if it is unknown whether the writes took effect.
    async fn transact(&self, transaction: &Transaction) -> Result<u64>;
}

/// Position in a change feed. It has a meaning within one era only, because a store that was restored
/// from an older copy uses versions again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Version of the last change read.
    pub version: u64,
    /// Era in which it was read; 0 if the store names none.
    pub era: u64,
}

/// All rows of one table at one point in time, and the feed position from which to follow later
/// changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Position to pass to [`Feed::changes`] for the changes after this snapshot.
    pub position: Position,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The row was written.
    Written(Row),
    /// The row with this key was deleted.
    Deleted(String),
}

/// Result of polling a feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Changes in the order in which they were made; empty if the wait ended without any.
    Batch {
        /// The changes.
        changes: Vec<Change>,
        /// Position to pass to the next poll.
        position: Position,
    },
    /// The platform no longer keeps the changes since the given position, or it has lost that position
    /// itself; the reader has to take a new snapshot.
    HistoryLost,
}

/// Change feed of the platform's tables, read by long polling.
#[async_trait]
pub trait Feed: Send + Sync {
    /// Reads all rows of a table.
    async fn snapshot(&self, table: &str) -> Result<Snapshot>;

    /// Waits up to `wait` for changes of a table after the position `after`.
    async fn changes(&self, table: &str, after: Position, wait: Duration) -> Result<Changes>;
}

/// The platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Reads a whole object.
    async fn fetch(&self, name: &str) -> Result<Option<Bytes>>;

    /// Stores a whole object. Storing the same bytes again has no effect.
    async fn store(&self, name: &str, bytes: Bytes) -> Result<()>;
}

/// Clients of the platform's table service and object store.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn Objects>,
}

#[cfg(all(test, feature = "standin"))]
mod tests;
