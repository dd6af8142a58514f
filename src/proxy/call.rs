//! One call as its caller's node sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use xxhash_rust::xxh3::Xxh3;

use crate::proxy::Proxy;
use crate::proxy::headers::{self, Envelope};
use crate::rollout::ActiveBundle;
use crate::route::Matched;
use crate::verdict::{Reason, Refusal};

/// A call with its route resolved and its body read.
pub(super) struct Call {
    /// Route.
    pub route: Arc<Matched>,
    /// Version that decided on the route.
    pub version: u64,
    /// Tenant.
    pub tenant: String,
    /// Weight of the tenant.
    pub weight: u32,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers for the target.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

impl Call {
    /// Resolves the route of a request.
    pub(super) fn resolve(
        in_force: &ActiveBundle,
        head: &hyper::http::request::Parts,
    ) -> Result<(Arc<Matched>, Instant), Refusal> {
        let host = headers::text(&head.headers, "host").unwrap_or_default();
        let found = in_force
            .table
            .find(host, head.method.as_str(), head.uri.path());
        let route = found
            .ok_or_else(|| Refusal::not_run(Reason::NoRoute))?
            .clone();
        let asked = headers::number(&head.headers, headers::DEADLINE).map(Duration::from_millis);
        let timeout = asked.map_or(route.timeout, |asked| asked.min(route.timeout));
        Ok((route, Instant::now() + timeout))
    }

    pub(super) fn new(
        in_force: &ActiveBundle,
        route: Arc<Matched>,
        deadline: Instant,
        head: hyper::http::request::Parts,
        body: Bytes,
    ) -> Self {
        let tenant = headers::text(&head.headers, headers::TENANT).unwrap_or("default");
        let (tenant, weight) = in_force.table.tenant(tenant);
        let tenant = tenant.to_owned();
        let key = headers::text(&head.headers, headers::IDEMPOTENCY_KEY).map(str::to_owned);
        let fingerprint = fingerprint(&route, &head, key.as_deref(), &body);
        let mut headers = head.headers;
        headers::strip_hop_by_hop(&mut headers);
        headers::strip_own(&mut headers);
        headers.remove("content-length");
        Self {
            route,
            version: in_force.version.0,
            tenant,
            weight,
            deadline,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            fingerprint,
            key,
        }
    }

    /// Time that is left.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// What the target's node is told about an attempt.
    pub(super) fn envelope(&self, proxy: &Proxy, request: u64) -> Envelope {
        Envelope {
            request,
            version: self.version,
            group: self.route.group.clone(),
            kind: self.route.kind,
            tenant: self.tenant.clone(),
            weight: self.weight,
            reserved_short_percent: self.route.reserved_short_percent,
            left: self.left(),
            fingerprint: self.fingerprint,
            suspect: proxy.suspicions.is_suspect(self.fingerprint),
        }
    }

    /// Key of the claim: the caller's key inside its tenant and service.
    pub(super) fn claim_key(&self) -> Option<String> {
        let key = self.key.as_ref()?;
        Some(format!("{}\n{}\n{key}", self.tenant, self.route.service))
    }
}

/// Identifies requests that would do the same thing.
fn fingerprint(
    route: &Matched,
    head: &hyper::http::request::Parts,
    key: Option<&str>,
    body: &[u8],
) -> u64 {
    let mut hash = Xxh3::new();
    let target = head.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [
        &route.service,
        head.method.as_str(),
        target,
        key.unwrap_or(""),
    ] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}
