//! Heartbeats and departures of targets.

use std::time::Duration;

use hyper::Method;
use serde::Deserialize;

use crate::dialect::{Heartbeat, Notice, Phase};

const PREFIX: &str = "/instances/";

/// Body of `PUT /instances/ID`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Beat {
    info: Info,
    status: Status,
    /// Start of the instance in milliseconds since 1970.
    #[serde(rename = "born")]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
    service: String,
    slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: String,
    sequence: u64,
    /// Time in seconds for which the instance is still slow after its start.
    #[serde(default)]
    cold_left_s: f64,
}

/// Body of `DELETE /instances/ID`, where there is one.
#[derive(Default, Deserialize)]
struct Leave {
    #[serde(rename = "born")]
    born: Option<u64>,
}

/// Reads a call of an instance.
pub(super) fn read(method: &Method, path: &str, body: &[u8]) -> Result<Notice, String> {
    let id = path.strip_prefix(PREFIX).filter(|id| !id.is_empty());
    let id = id.ok_or("unknown path")?.to_owned();
    if method == Method::DELETE {
        let leave = serde_json::from_slice::<Leave>(body).unwrap_or_default();
        return Ok(Notice::Departure {
            id,
            started_ms: leave.born,
        });
    }
    if method != Method::PUT {
        return Err("unknown method".into());
    }
    let beat: Beat = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let phase = match beat.status.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => return Err(format!("unknown state '{other}'")),
    };
    if beat.info.slots == 0 || beat.info.service.is_empty() {
        return Err("no slots or no service".into());
    }
    let cold = Duration::try_from_secs_f64(beat.status.cold_left_s);
    Ok(Notice::Heartbeat(Heartbeat {
        id,
        started_ms: beat.born,
        sequence: beat.status.sequence,
        service: beat.info.service,
        slots: beat.info.slots,
        phase,
        cold_left: cold.map_err(|error| error.to_string())?,
    }))
}
