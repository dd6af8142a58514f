//! The other side of the protocol, for the stand-ins of operators, targets and callers: sample
//! configurations, heartbeats and headers.

use hyper::header::{HeaderMap, HeaderValue};
use serde_json::{Value, json};

use crate::dialect::{Heartbeat, Phase};
use crate::platform::dialect::{
    CALLER_SERVICE, CREDENTIAL, DEADLINE_MS, EXPECT_INSTANCE, MISDIRECTED_STATUS, NOT_RUN,
    REQUEST_ID, SERVER_STAMP, TENANT,
};

/// Table and key of the row that holds the newest configuration.
pub(crate) const CONFIG_ROW: (&str, &str) = ("op", "config");

/// A route of a sample configuration.
pub(crate) struct Route<'a> {
    /// Prefix of the paths that match; also the name of the route.
    pub prefix: &'a str,
    /// Service that runs the requests.
    pub service: &'a str,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

/// A tenant of a sample configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tenant<'a> {
    /// Name of the tenant.
    pub name: &'a str,
    /// Its only key.
    pub key: &'a str,
}

/// Builds a configuration with `services`, `routes`, whose requests all go to `host`, and `tenants`.
/// Without tenants, requests need no keys.
pub(crate) fn config(
    version: u64,
    host: &str,
    services: &[&str],
    routes: &[Route],
    tenants: &[Tenant],
) -> String {
    let mut resources: Vec<Value> = services
        .iter()
        .map(|name| json!({"KindOf": "Services", "Metadata": {"Name": name}, "Spec": {}}))
        .collect();
    resources.extend(routes.iter().map(|route| {
        let kind = if route.idempotent { "safe" } else { "unsafe" };
        json!({"KindOf": "Routes", "Metadata": {"Name": route.prefix}, "Spec": {
            "Host": host, "Prefix": route.prefix, "Type": kind, "TimeoutS": 1.5, "GoalS": 0.5,
            "Priority": 1, "Attempts": 3, "Service": route.service}})
    }));
    resources.extend(tenants.iter().map(|tenant| {
        json!({"KindOf": "Tenants", "Metadata": {"Name": tenant.name},
            "Spec": {"ApiKeys": [tenant.key]}})
    }));
    resources.push(json!({"KindOf": "Limits", "Metadata": {}, "Spec": {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 1_048_576, "HeaderTimeoutS": 3,
        "IdleTimeoutS": 15}}));
    json!({"Version": version, "Resources": resources}).to_string()
}

/// Builds the path and body of a heartbeat.
pub(crate) fn heartbeat(beat: &Heartbeat) -> (String, String) {
    let state = match beat.phase {
        Phase::Ready => "ready",
        Phase::Draining => "draining",
    };
    let body = json!({"Address": "", "born": beat.started_ms,
        "Info": {"Service": beat.service, "Version": beat.version, "Zone": "", "Slots": beat.slots},
        "Status": {"State": state, "Sequence": beat.sequence, "ColdLeftS": 0}});
    (instance_path(&beat.id), body.to_string())
}

/// Path of the heartbeats and the departure of the target `id`.
pub(crate) fn instance_path(id: &str) -> String {
    format!("/instances/{id}")
}

/// Headers that a target reads from a request.
pub(crate) struct TargetHeaders {
    /// Id of the request, to be repeated in the response.
    pub request_id: String,
    /// Identity of the target that the request is meant for.
    pub expected: String,
    /// Service of the caller.
    pub caller_service: String,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Whether the caller's key has reached the target.
    pub has_key: bool,
}

/// Reads the headers that a target expects on a request; `None` if one is missing.
pub(crate) fn parse_headers(headers: &HeaderMap) -> Option<TargetHeaders> {
    let text = |name| Some(headers.get(name)?.to_str().ok()?.to_owned());
    text(DEADLINE_MS)?;
    Some(TargetHeaders {
        request_id: text(REQUEST_ID)?,
        expected: text(EXPECT_INSTANCE)?,
        caller_service: text(CALLER_SERVICE)?,
        tenant: text(TENANT),
        has_key: headers.contains_key(CREDENTIAL),
    })
}

/// Sets the headers of a target's response.
pub(crate) fn mark_response(headers: &mut HeaderMap, request_id: &str) {
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, id);
    }
    headers.insert(SERVER_STAMP, HeaderValue::from_static("sample"));
}

/// Status with which a target refuses a request that is meant for another target.
pub(crate) const fn misdirected_status() -> u16 {
    MISDIRECTED_STATUS
}

/// Sets the header of a refusal by a target that did not run the request.
pub(crate) fn mark_not_run(headers: &mut HeaderMap) {
    headers.insert(NOT_RUN, HeaderValue::from_static("1"));
}

/// Header lines that a caller sends, with the key of its tenant if there is one.
pub(crate) fn caller_headers(request_id: &str, deadline_ms: u64, key: Option<&str>) -> String {
    let key = key.map_or_else(String::new, |key| format!("{CREDENTIAL}: {key}\r\n"));
    format!("{REQUEST_ID}: {request_id}\r\n{DEADLINE_MS}: {deadline_ms}\r\n{key}")
}
