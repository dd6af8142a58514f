//! Parser of the heartbeats and departures of targets.

use std::time::Duration;

use hyper::Method;
use serde::Deserialize;

use crate::dialect::{Heartbeat, Notice, Phase};

/// Most slots that a target can have.
const MAX_SLOTS: u32 = 65_536;
/// Start of the year 2200, in milliseconds since 1970.
const MAX_STARTED_MS: u64 = 7_258_118_400_000;
/// Longest cold start of a target, in seconds.
const MAX_COLD_S: f64 = 3_600.0;

const PATH_PREFIX: &str = "/instances/";

/// Body of `PUT /instances/ID`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HeartbeatBody {
    info: Info,
    status: Status,
    /// Start of the target in milliseconds since 1970.
    #[serde(rename = "born")]
    started_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
    service: String,
    slots: u32,
    /// Software version of the target; older platforms state none.
    #[serde(default)]
    version: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: String,
    sequence: u64,
    /// Time in seconds that is left of the cold start of the target.
    #[serde(default)]
    cold_left_s: f64,
}

/// Body of `DELETE /instances/ID`; targets may omit it.
#[derive(Default, Deserialize)]
struct DepartureBody {
    /// Start of the target in milliseconds since 1970.
    #[serde(rename = "born")]
    started_ms: Option<u64>,
}

/// Parses the request with which a target reports its state.
pub(super) fn parse(method: &Method, path: &str, body: &[u8]) -> Result<Notice, String> {
    let id = path.strip_prefix(PATH_PREFIX).filter(|id| !id.is_empty());
    let id = id.ok_or("unknown path")?.to_owned();
    if method == Method::DELETE {
        let departure = serde_json::from_slice::<DepartureBody>(body).unwrap_or_default();
        return Ok(Notice::Departure {
            id,
            started_ms: departure.started_ms,
        });
    }
    if method != Method::PUT {
        return Err("unknown method".into());
    }
    let beat: HeartbeatBody = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let phase = match beat.status.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => return Err(format!("unknown state '{other}'")),
    };
    if beat.info.slots == 0 || beat.info.service.is_empty() {
        return Err("no slots or no service".into());
    }
    // Another program may write heartbeats too; such a start or number would outdate all real ones.
    let is_plausible = beat.info.slots <= MAX_SLOTS
        && beat.started_ms < MAX_STARTED_MS
        && beat.status.sequence < u64::MAX
        && beat.status.cold_left_s <= MAX_COLD_S;
    if !is_plausible {
        return Err("a number is out of range".into());
    }
    let cold_left = Duration::try_from_secs_f64(beat.status.cold_left_s);
    Ok(Notice::Heartbeat(Heartbeat {
        id,
        started_ms: beat.started_ms,
        sequence: beat.status.sequence,
        service: beat.info.service,
        slots: beat.info.slots,
        phase,
        cold_left: cold_left.map_err(|error| error.to_string())?,
        version: beat.info.version,
    }))
}
