//! The operators' configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::bundle::{Bundle, Class, ClassKind, Group, RequestLimits, Route, Service, Version};

/// Row that holds the newest configuration.
pub(super) const KEY: &str = "op/config";
/// Class of every route: this platform knows no classes of run times.
const CLASS: &str = "request";
/// Longest time-out of a route, in seconds.
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
    /// Read once the kind is known.
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
    /// `safe` may run more than once, `unsafe` at most once.
    #[serde(rename = "Type")]
    kind: String,
    timeout_s: f64,
    /// Latency objective in seconds.
    goal_s: f64,
    priority: u32,
    attempts: u32,
    service: Option<String>,
    traffic_split: Option<Vec<Part>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Part {
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

/// Reads a whole configuration.
pub(super) fn read(bytes: &[u8]) -> Result<(Version, Bundle), String> {
    let config: Config = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let mut bundle = Bundle::default();
    let kind = ClassKind::Short;
    bundle.classes.insert(CLASS.into(), Class { kind });
    for resource in config.resources {
        let name = resource.metadata.name.unwrap_or_default();
        match resource.kind_of.as_str() {
            "Routes" => {
                let spec = parse::<RouteSpec>(&name, resource.spec)?;
                let route = route(spec).map_err(|fault| format!("route {name}: {fault}"))?;
                insert(&mut bundle.routes, name, route)?;
            }
            "Services" => {
                let service = Service {
                    group: name.clone(),
                };
                let group = Group {
                    reserved_short_percent: 0,
                };
                bundle.groups.insert(name.clone(), group);
                insert(&mut bundle.services, name, service)?;
            }
            "Limits" => bundle.intake = intake(&parse(&name, resource.spec)?),
            other => return Err(format!("unknown kind '{other}'")),
        }
    }
    check(&bundle)?;
    Ok((Version(config.version), bundle))
}

fn parse<'a, T: Deserialize<'a>>(name: &str, spec: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(spec.get()).map_err(|error| format!("{name}: {error}"))
}

fn insert<T>(map: &mut BTreeMap<String, T>, name: String, value: T) -> Result<(), String> {
    if name.is_empty() || map.contains_key(&name) {
        return Err(format!("name '{name}' is missing or stands twice"));
    }
    map.insert(name, value);
    Ok(())
}

fn route(spec: RouteSpec) -> Result<Route, String> {
    let idempotent = match spec.kind.as_str() {
        "safe" => true,
        "unsafe" => false,
        other => return Err(format!("unknown type '{other}'")),
    };
    if !spec.prefix.starts_with('/') || !spec.prefix.ends_with('/') {
        return Err(format!(
            "prefix '{}' needs a slash at both ends",
            spec.prefix
        ));
    }
    let timely = |seconds: f64| seconds > 0.0 && seconds <= MAX_TIMEOUT_S;
    if !timely(spec.timeout_s) || !timely(spec.goal_s) || spec.attempts == 0 {
        return Err("time-out, objective or attempts out of range".into());
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
        service: service.ok_or("no service")?,
        class: CLASS.into(),
        idempotent,
        timeout_ms: millis(spec.timeout_s),
        split,
        attempts: spec.attempts,
        objective_ms: Some(millis(spec.goal_s)),
        rank: spec.priority,
    })
}

fn intake(spec: &LimitsSpec) -> RequestLimits {
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
    reason = "bounded by MAX_TIMEOUT_S or saturated"
)]
fn millis(seconds: f64) -> u64 {
    (seconds * 1e3).round() as u64
}

/// Whether every name is defined and no two routes match the same requests.
fn check(bundle: &Bundle) -> Result<(), String> {
    bundle.validate()?;
    let mut places = BTreeSet::new();
    for (name, route) in &bundle.routes {
        if !places.insert((&route.host, &route.path)) {
            return Err(format!("route {name}: host and prefix stand twice"));
        }
    }
    Ok(())
}
