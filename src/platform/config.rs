//! Parser of the operators' configuration, which becomes a [`Bundle`].

use std::collections::{BTreeMap, BTreeSet};

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::bundle::{
    ApiKey, Bundle, Class, ClassKind, Group, Quota, RequestLimits, Route, Service, Tenant, Version,
};

/// Key of the row that holds the newest configuration.
pub(super) const ROW_KEY: &str = "op/config";
/// Class of every route, because this platform does not classify requests by run time.
const DEFAULT_CLASS: &str = "request";
/// Upper bound of the timeout and of the latency objective of a route, in seconds.
const MAX_TIMEOUT_S: f64 = 3_600.0;
/// Upper bound of the rate and of the burst of a tenant's quota.
const MAX_QUOTA: f64 = 1e9;
/// Weight of every tenant, because this platform does not give them weights.
const TENANT_WEIGHT: u32 = 1;

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
    /// large responses, `upload` is `unsafe` with large requests.
    #[serde(rename = "Type")]
    kind: String,
    timeout_s: f64,
    /// Latency objective in seconds.
    goal_s: f64,
    priority: u32,
    attempts: u32,
    service: Option<String>,
    traffic_split: Option<Vec<SplitPart>>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantSpec {
    #[serde(default)]
    api_keys: Vec<ApiKey>,
    priority: Option<u32>,
    /// 0 or absent for no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
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
            "Tenants" => {
                let spec = parse_spec(&name, resource.spec)?;
                let tenant =
                    convert_tenant(spec).map_err(|fault| format!("tenant {name}: {fault}"))?;
                insert_unique(&mut bundle.tenants, name, tenant)?;
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
        "unsafe" | "upload" => false,
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
        public: spec.public,
    })
}

fn convert_tenant(spec: TenantSpec) -> Result<Tenant, String> {
    let in_range = |number: f64| (0.0..=MAX_QUOTA).contains(&number);
    if !in_range(spec.rate_per_s) || !in_range(spec.burst) {
        return Err("RatePerS or Burst out of range".into());
    }
    let quota = Quota {
        per_kilosecond: millis(spec.rate_per_s),
        burst: whole(spec.burst),
    };
    Ok(Tenant {
        weight: TENANT_WEIGHT,
        keys: spec.api_keys,
        rank: spec.priority,
        quota: (quota.per_kilosecond > 0).then_some(quota),
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

/// A thousand times the number: seconds in milliseconds, or a rate per second as one per kilosecond.
fn millis(number: f64) -> u64 {
    whole(number * 1e3)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and timeouts and quotas are bounded"
)]
fn whole(number: f64) -> u64 {
    number.round() as u64
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
