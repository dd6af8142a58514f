//! Messages of the table service.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// A row as read; `revision` changes with every write to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// JSON text.
    pub value: String,
    /// Revision for conditional writes; never 0.
    pub revision: u64,
}

impl Row {
    /// Parses the value.
    ///
    /// # Errors
    /// [`Error::Unavailable`] if the row does not hold what it should.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.value)
            .map_err(|error| Error::Unavailable(format!("row {}: {error}", self.key)))
    }
}

/// Rows found by a scan.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rows {
    /// In key order.
    pub rows: Vec<Row>,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 if it must not exist.
    pub revision: u64,
}

/// A write to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; the row is deleted where absent.
    pub value: Option<String>,
}

/// Conditional writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Applied in order.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires that `key` has `revision`, 0 for absent.
    ///
    /// ```
    /// use bluebellgap::store::Transaction;
    /// let transaction = Transaction::default().require("a", 0).put("a", &1);
    /// assert_eq!(transaction.writes[0].value.as_deref(), Some("1"));
    /// ```
    #[must_use]
    pub fn require(mut self, key: &str, revision: u64) -> Self {
        let key = key.to_owned();
        self.conditions.push(Condition { key, revision });
        self
    }

    /// Writes `value` as JSON to `key`.
    ///
    /// # Panics
    /// Panics if `value` cannot be written as JSON.
    #[must_use]
    pub fn put(mut self, key: &str, value: &impl Serialize) -> Self {
        let value = serde_json::to_string(value).expect("rows are plain data");
        self.writes.push(Write {
            key: key.to_owned(),
            value: Some(value),
        });
        self
    }

    /// Deletes `key`.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            value: None,
        });
        self
    }
}
