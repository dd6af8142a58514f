//! JSON messages of the table service.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::{Error, Result};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value as JSON text.
    pub value: String,
    /// Changes with every write to the row, and is never 0; conditional writes compare it.
    pub revision: u64,
}

impl Row {
    /// Parses the value from JSON.
    ///
    /// # Errors
    /// [`Error::Unavailable`] if the value is not JSON of the type `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_str(&self.value)
            .map_err(|error| Error::Unavailable(format!("row {}: {error}", self.key)))
    }
}

/// Response to a scan.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in key order.
    pub rows: Vec<Row>,
}

/// A condition on the revision of one row.
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
    /// New value as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Conditional writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes in the order in which they are applied.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires that the row `key` has the revision `revision`, or does not exist if it is 0.
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

    /// Writes `value` as JSON to the row `key`.
    ///
    /// # Panics
    /// Panics if `value` cannot be serialised as JSON.
    #[must_use]
    pub fn put(mut self, key: &str, value: &impl Serialize) -> Self {
        let value = serde_json::to_string(value).expect("row values serialise as JSON");
        self.writes.push(Write {
            key: key.to_owned(),
            value: Some(value),
        });
        self
    }

    /// Deletes the row `key`.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write {
            key: key.to_owned(),
            value: None,
        });
        self
    }
}
