//! JSON messages of the platform's store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

/// A row, or, without value, a reference to one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Row {
    pub table: String,
    /// Identifies the row together with table and key; this crate only uses rows where it is empty.
    #[serde(rename = "part", default)]
    pub part: String,
    pub key: String,
    /// Value in base64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Version that the last write gave to the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ver: Option<u64>,
    /// Whether the change deleted the row; set in a feed only.
    #[serde(default, skip_serializing_if = "is_false")]
    pub deleted: bool,
}

/// Body of a conditional transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Commit {
    /// Rows that must have the given versions; version 0 requires that the row does not exist.
    pub expect: Vec<Row>,
    pub puts: Vec<Row>,
    pub deletes: Vec<Row>,
}

/// Response to a read, a feed poll or a transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Answer {
    #[serde(default)]
    pub rows: Vec<Row>,
    #[serde(default)]
    pub has_more: bool,
    /// Newest version of any row in the store.
    pub ver: u64,
}

impl Row {
    /// Refers to a row by table and key, with an empty part.
    pub(crate) fn reference(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
            value: None,
            ver: None,
            deleted: false,
        }
    }

    /// A row to write.
    pub(crate) fn put(table: &str, key: &str, value: &str) -> Self {
        Self {
            value: Some(STANDARD.encode(value)),
            ..Self::reference(table, key)
        }
    }

    /// Table, part and key, which together identify the row.
    #[cfg(feature = "standin")]
    pub(crate) fn full_key(&self) -> (String, String, String) {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_false(flag: &bool) -> bool {
    !flag
}
