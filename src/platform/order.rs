//! Rows of canary releases: operators' orders, and the progress that the system reports.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::canary::{Order, Record, Stage};

/// Table and start of the key of the rows with orders.
pub(super) const KEY_PREFIX: &str = "op/rollout/";
/// Table and start of the key of the rows with their progress.
const PROGRESS_PREFIX: &str = "status/rollout/";
/// Longest time from an order to its deadline, in seconds.
const MAX_DURATION_S: f64 = 86_400.0;

/// Value of the row of an order.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct OrderBody {
    service: String,
    target: String,
    duration_s: f64,
}

/// Value of the row with the progress of an order. Operators read the first two fields.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ProgressBody {
    state: State,
    target: String,
    /// Whether the target version receives all requests.
    #[serde(default)]
    shifted: bool,
    /// When the order was first seen, in milliseconds since 1970.
    order_ms: u64,
    /// Version of the order's row.
    order_ver: u64,
    duration_ms: u64,
}

#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Running,
    Done,
    RolledBack,
}

pub(super) fn parse(key: &str, value: &str) -> Result<Order, String> {
    let service = key.strip_prefix(KEY_PREFIX).unwrap_or_default();
    let body: OrderBody = serde_json::from_str(value).map_err(|error| error.to_string())?;
    if service.is_empty() || body.service != service {
        return Err("the order names another service than its key".into());
    }
    if body.target.is_empty() {
        return Err("no target version".into());
    }
    if !(body.duration_s > 0.0 && body.duration_s <= MAX_DURATION_S) {
        return Err("the duration is out of range".into());
    }
    Ok(Order {
        service: body.service,
        target: body.target,
        // Whole milliseconds, as the progress states it.
        duration: Duration::from_millis(
            Duration::from_secs_f64(body.duration_s)
                .as_millis()
                .try_into()
                .unwrap_or(u64::MAX),
        ),
    })
}

pub(super) fn progress_key(service: &str) -> String {
    format!("{PROGRESS_PREFIX}{service}")
}

pub(super) fn render_progress(record: &Record) -> serde_json::Value {
    let body = ProgressBody {
        state: match record.stage {
            Stage::Trial | Stage::Shift => State::Running,
            Stage::Withdrawn | Stage::RolledBack => State::RolledBack,
            Stage::Done => State::Done,
        },
        target: record.target.clone(),
        shifted: record.stage == Stage::Shift,
        order_ms: record.order,
        order_ver: record.row,
        duration_ms: u64::try_from(record.duration.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_value(body).unwrap_or_default()
}

pub(super) fn parse_progress(value: &str) -> Result<Record, String> {
    let body: ProgressBody = serde_json::from_str(value).map_err(|error| error.to_string())?;
    Ok(Record {
        order: body.order_ms,
        row: body.order_ver,
        target: body.target,
        duration: Duration::from_millis(body.duration_ms),
        stage: match (body.state, body.shifted) {
            (State::Running, false) => Stage::Trial,
            (State::Running, true) => Stage::Shift,
            (State::RolledBack, _) => Stage::RolledBack,
            (State::Done, _) => Stage::Done,
        },
    })
}
