//! Parser of the operators' configuration, which becomes a [`Bundle`].

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::bundle::{Bundle, Class, ClassKind, Group, RequestLimits, Route, Service, Version};

/// Key of the row that holds the newest configuration.
pub(super) const ROW_KEY: &str = "op/config";
/// Class of every route, because this platform does not classify requests by run time.
const DEFAULT_CLASS: &str = "request";
/// Upper bound of the timeout and of the latency objective of a route, in seconds.
const MAX_TIMEOUT_S: f64 = 3_600.0;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Config<'a> {
    version: u64,
    #[serde(borrow)]
    resources: Vec<Resource<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Resource<'a> {
    kind_of: String,
    metadata: Metadata,
    /// Parsed after the kind, which determines its type.
    #[serde(borrow)]
    spec: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Metadata {
    name: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RouteSpec {
    host: String,
    prefix: String,
    /// `safe` if a request may run more than once, `unsafe` if at most once; `download` is `safe` with
    /// large responses.
    #[serde(rename = "Type")]
    kind: String,
    timeout_s: f64,
    /// Latency objective in seconds.
    goal_s: f64,
    priority: u32,
    attempts: u32,
    service: Option<String>,
    traffic_split: Option<Vec<SplitPart>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SplitPart {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct LimitsSpec {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

/// Parses and validates a whole configuration.
pub(super) fn parse(bytes: &[u8]) -> Result<(Version, Bundle), String> {
    let config: Config = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let mut bundle = Bundle::default();
    let kind = ClassKind::Short;
    bundle.classes.insert(DEFAULT_CLASS.into(), Class { kind });
    for resource in config.resources {
        let name = resource.metadata.name.unwrap_or_default();
        match resource.kind_of.as_str() {
            "Routes" => {
                let spec = parse_spec::<RouteSpec>(&name, resource.spec)?;
                let route =
                    convert_route(spec).map_err(|fault| format!("route {name}: {fault}"))?;
                insert_unique(&mut bundle.routes, name, route)?;
            }
            "Services" => {
                let service = Service {
                    group: name.clone(),
                };
                let group = Group {
                    reserved_short_percent: 0,
                };
                bundle.groups.insert(name.clone(), group);
                insert_unique(&mut bundle.services, name, service)?;
            }
            "Limits" => bundle.intake = convert_limits(&parse_spec(&name, resource.spec)?),
            other => return Err(format!("unknown kind '{other}'")),
        }
    }
    validate(&bundle)?;
    Ok((Version(config.version), bundle))
}

fn parse_spec<'a, T: Deserialize<'a>>(name: &str, spec: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(spec.get()).map_err(|error| format!("spec of resource '{name}': {error}"))
}

fn insert_unique<T>(map: &mut BTreeMap<String, T>, name: String, value: T) -> Result<(), String> {
    if name.is_empty() || map.contains_key(&name) {
        return Err(format!("resource name '{name}' is empty or defined twice"));
    }
    map.insert(name, value);
    Ok(())
}

fn convert_route(spec: RouteSpec) -> Result<Route, String> {
    let idempotent = match spec.kind.as_str() {
        "safe" | "download" => true,
        "unsafe" => false,
        other => return Err(format!("unknown type '{other}'")),
    };
    if !spec.prefix.starts_with('/') || !spec.prefix.ends_with('/') {
        return Err(format!(
            "prefix '{}' needs a slash at both ends",
            spec.prefix
        ));
    }
    let in_range = |seconds: f64| seconds > 0.0 && seconds <= MAX_TIMEOUT_S;
    if !in_range(spec.timeout_s) || !in_range(spec.goal_s) || spec.attempts == 0 {
        return Err("timeout, objective or attempts out of range".into());
    }
    let parts = spec.traffic_split.unwrap_or_default();
    let split: BTreeMap<String, u32> = parts
        .into_iter()
        .filter(|part| part.weight > 0)
        .map(|part| (part.service, part.weight))
        .collect();
    let service = spec.service.or_else(|| split.keys().next().cloned());
    Ok(Route {
        host: Some(spec.host),
        path: spec.prefix,
        method: None,
        service: service.ok_or("neither Service nor a TrafficSplit with a weight above 0")?,
        class: DEFAULT_CLASS.into(),
        idempotent,
        timeout_ms: millis(spec.timeout_s),
        split,
        attempts: spec.attempts,
        objective_ms: Some(millis(spec.goal_s)),
        rank: spec.priority,
    })
}

fn convert_limits(spec: &LimitsSpec) -> RequestLimits {
    RequestLimits {
        header_bytes: spec.max_header_bytes,
        body_bytes: spec.max_body_bytes,
        header_timeout_ms: millis(spec.header_timeout_s),
        idle_timeout_ms: millis(spec.idle_timeout_s),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and route timeouts are bounded by MAX_TIMEOUT_S"
)]
fn millis(seconds: f64) -> u64 {
    (seconds * 1e3).round() as u64
}

/// Checks that every name that is referred to is defined, and that no two routes have the same host
/// and prefix.
fn validate(bundle: &Bundle) -> Result<(), String> {
    bundle.validate()?;
    let mut matches = BTreeSet::new();
    for (name, route) in &bundle.routes {
        if !matches.insert((&route.host, &route.path)) {
            return Err(format!(
                "route {name}: another route has the same host and prefix"
            ));
        }
    }
    Ok(())
}
