//! HTTP headers between callers, nodes and targets: names, encoding and decoding.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use crate::bundle::ClassKind;
use crate::http::{Body, full};
use crate::route::Load;
use crate::verdict::{HEADER as VERDICT, Reason, Refusal, Verdict};

/// Prefix of the headers reserved for this system; they are removed from messages that enter or
/// leave it.
/// Longest time that an envelope grants; any number may arrive, and its sum with the current time would
/// overflow.
const MAX_REMAINING: Duration = Duration::from_hours(1);
const RESERVED_PREFIX: &str = "x-bluebellgap-";
/// Name of the tenant, set by callers.
pub(super) const TENANT: &str = "x-bluebellgap-tenant";
/// Time until the request's deadline in milliseconds, set by callers and sent on to targets.
pub(super) const DEADLINE: &str = "x-bluebellgap-deadline-ms";
/// Code of a refusal's [`Reason`].
pub(super) const REASON: &str = "x-bluebellgap-reason";
/// Marks an answer that was recorded for an earlier request with the same idempotency key.
pub(super) const REPLAYED: &str = "x-bluebellgap-replayed";
/// Idempotency key, set by callers.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of the target's crash to which a lost request is attributed.
pub(super) const CRASH: &str = "x-bluebellgap-crash";

const LOAD: &str = "x-bluebellgap-load";
const REQUEST_ID: &str = "x-bluebellgap-request";
const VERSION: &str = "x-bluebellgap-version";
const GROUP: &str = "x-bluebellgap-group";
const KIND: &str = "x-bluebellgap-kind";
const WEIGHT: &str = "x-bluebellgap-weight";
const RESERVED_PERCENT: &str = "x-bluebellgap-reserved-percent";
const FINGERPRINT: &str = "x-bluebellgap-fingerprint";
const SUSPECT: &str = "x-bluebellgap-suspect";

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Metadata of an attempt, sent from the caller's node to the target's node in headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Envelope {
    /// Identifies this attempt.
    pub request: u64,
    /// Version of the bundle that the route comes from.
    pub version: u64,
    pub group: String,
    /// Kind of the class.
    pub kind: ClassKind,
    pub tenant: String,
    /// Weight of the tenant.
    pub weight: u32,
    /// Share of the slots that long classes may not use, in percent.
    pub reserved_short_percent: u32,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Hash of the request, equal for requests that would do the same thing.
    pub fingerprint: u64,
    /// Whether a request with this fingerprint was in flight when a target crashed.
    pub suspect: bool,
}

impl Envelope {
    /// Writes the envelope into a request's headers.
    pub(super) fn write(&self, headers: &mut HeaderMap) {
        let remaining = u64::try_from(self.remaining.as_millis()).unwrap_or(u64::MAX);
        set_number(headers, REQUEST_ID, self.request);
        set_number(headers, VERSION, self.version);
        set(headers, GROUP, &self.group);
        set(headers, KIND, &self.kind.to_string());
        set(headers, TENANT, &self.tenant);
        set_number(headers, WEIGHT, self.weight.into());
        set_number(
            headers,
            RESERVED_PERCENT,
            self.reserved_short_percent.into(),
        );
        set_number(headers, DEADLINE, remaining);
        set_number(headers, FINGERPRINT, self.fingerprint);
        if self.suspect {
            set(headers, SUSPECT, "yes");
        }
    }

    /// Reads an envelope back; `None` if a header is missing or malformed.
    pub(super) fn read(headers: &HeaderMap) -> Option<Self> {
        let kind = match text(headers, KIND)? {
            "short" => ClassKind::Short,
            "long" => ClassKind::Long,
            _ => return None,
        };
        Some(Self {
            request: number(headers, REQUEST_ID)?,
            version: number(headers, VERSION)?,
            group: text(headers, GROUP)?.to_owned(),
            kind,
            tenant: text(headers, TENANT)?.to_owned(),
            weight: number(headers, WEIGHT)?.try_into().ok()?,
            reserved_short_percent: number(headers, RESERVED_PERCENT)?.try_into().ok()?,
            remaining: MAX_REMAINING.min(Duration::from_millis(number(headers, DEADLINE)?)),
            fingerprint: number(headers, FINGERPRINT)?,
            suspect: headers.contains_key(SUSPECT),
        })
    }
}

/// Value of a header; `None` if it is missing or not visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header as a number; `None` if it is missing or malformed.
pub(super) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Sets a header, unless the value is not allowed in a header.
pub(super) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Sets a header to a number.
pub(super) fn set_number(headers: &mut HeaderMap, name: &'static str, value: u64) {
    headers.insert(HeaderName::from_static(name), HeaderValue::from(value));
}

/// Writes a target's load as two numbers, for short and long classes.
pub(super) fn write_load(headers: &mut HeaderMap, load: Load) {
    let [short, long] = load.0;
    set(headers, LOAD, &format!("{short} {long}"));
}

/// Reads the load that [`write_load`] wrote; `None` if it is missing or malformed.
pub(super) fn read_load(headers: &HeaderMap) -> Option<Load> {
    let (short, long) = text(headers, LOAD)?.split_once(' ')?;
    Some(Load([short.parse().ok()?, long.parse().ok()?]))
}

/// Removes the headers that concern one connection only.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Removes the headers reserved for this system, so that callers and targets cannot forge them.
pub(super) fn strip_reserved(headers: &mut HeaderMap) {
    let reserved = headers
        .keys()
        .filter(|name| name.as_str().starts_with(RESERVED_PREFIX));
    for name in reserved.cloned().collect::<Vec<_>>() {
        headers.remove(name);
    }
}

/// Response to a refused or lost request.
pub(super) fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(full(format!("{refusal}\n")));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    set(headers, VERDICT, &refusal.verdict.to_string());
    set(headers, REASON, reason_code(refusal.reason));
    if let Some(retry_after) = refusal.retry_after {
        set_number(headers, "retry-after", retry_after.as_secs() + 1);
    }
    response
}

/// Reads the refusal from another node's response; `None` if a target answered.
pub(super) fn read_refusal(status: StatusCode, headers: &HeaderMap) -> Option<Refusal> {
    if status.is_success() {
        return None;
    }
    let verdict = Verdict::parse(text(headers, VERDICT)?)?;
    let code = text(headers, REASON).unwrap_or_default();
    let reason = REASON_CODES.iter().find(|(_, known)| *known == code);
    Some(Refusal {
        reason: reason.map_or(Reason::ConnectionLost, |(reason, _)| *reason),
        verdict,
        retry_after: None,
    })
}

/// Codes of the reasons that another node's response may carry.
const REASON_CODES: [(Reason, &str); 19] = [
    (Reason::NoBundle, "no-bundle"),
    (Reason::NoRoute, "no-route"),
    (Reason::BadRequest, "bad-request"),
    (Reason::KeyRequired, "key-required"),
    (Reason::NoTarget, "no-target"),
    (Reason::Overloaded, "overloaded"),
    (Reason::Draining, "draining"),
    (Reason::Deadline, "deadline"),
    (Reason::ConnectionLost, "connection-lost"),
    (Reason::Suspected, "suspected"),
    (Reason::ClaimUnavailable, "claim-unavailable"),
    (Reason::Duplicate, "duplicate"),
    (Reason::KeyReused, "key-reused"),
    (Reason::Shed, "shed"),
    (Reason::Unreachable, "unreachable"),
    (Reason::Rejected, "rejected"),
    (Reason::Spoiled, "spoiled"),
    (Reason::Failed, "failed"),
    (Reason::Cancelled, "cancelled"),
];

/// Code of a reason, for headers and counters.
pub(super) fn reason_code(reason: Reason) -> &'static str {
    let entry = REASON_CODES.iter().find(|(known, _)| *known == reason);
    entry.map_or("unknown", |(_, code)| code)
}
