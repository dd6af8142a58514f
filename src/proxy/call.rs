//! A call on the caller's node: a request with its route resolved.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use xxhash_rust::xxh3::Xxh3;

use crate::proxy::Proxy;
use crate::proxy::headers::{self, Envelope};
use crate::rollout::ActiveBundle;
use crate::route::CompiledRoute;
use crate::verdict::{Reason, Refusal};

/// A call with its route resolved and its body read.
pub(super) struct Call {
    pub route: Arc<CompiledRoute>,
    /// Version of the bundle that the route comes from.
    pub version: u64,
    pub tenant: String,
    /// Weight of the tenant.
    pub weight: u32,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers for the target, without hop-by-hop headers and the system's own.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Hash of the request, equal for requests that would do the same thing.
    pub fingerprint: u64,
    /// Idempotency key, if the caller gave one.
    pub key: Option<String>,
}

impl Call {
    /// Resolves the route and the deadline of a request. The caller may shorten the route's timeout
    /// by header, but not extend it.
    pub(super) fn resolve(
        in_force: &ActiveBundle,
        head: &hyper::http::request::Parts,
    ) -> Result<(Arc<CompiledRoute>, Instant), Refusal> {
        let host = headers::text(&head.headers, "host").unwrap_or_default();
        let matched = in_force
            .table
            .find(host, head.method.as_str(), head.uri.path());
        let route = matched
            .ok_or_else(|| Refusal::not_run(Reason::NoRoute))?
            .clone();
        let requested_timeout =
            headers::number(&head.headers, headers::DEADLINE).map(Duration::from_millis);
        let timeout =
            requested_timeout.map_or(route.timeout, |requested| requested.min(route.timeout));
        Ok((route, Instant::now() + timeout))
    }

    /// A call of a request whose route is resolved and whose body is read.
    pub(super) fn new(
        in_force: &ActiveBundle,
        route: Arc<CompiledRoute>,
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
        headers::strip_reserved(&mut headers);
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

    /// Time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Metadata that the target's node gets with an attempt.
    pub(super) fn envelope(&self, proxy: &Proxy, request: u64) -> Envelope {
        Envelope {
            request,
            version: self.version,
            group: self.route.group.clone(),
            kind: self.route.kind,
            tenant: self.tenant.clone(),
            weight: self.weight,
            reserved_short_percent: self.route.reserved_short_percent,
            remaining: self.remaining(),
            fingerprint: self.fingerprint,
            suspect: proxy.suspicions.is_suspect(self.fingerprint),
        }
    }

    /// Key of the claim: tenant, service and the caller's idempotency key.
    pub(super) fn claim_key(&self) -> Option<String> {
        let key = self.key.as_ref()?;
        Some(format!("{}\n{}\n{key}", self.tenant, self.route.service))
    }
}

/// Hash of service, method, path, query, idempotency key and body; equal for requests that would
/// do the same thing.
fn fingerprint(
    route: &CompiledRoute,
    head: &hyper::http::request::Parts,
    key: Option<&str>,
    body: &[u8],
) -> u64 {
    let mut hash = Xxh3::new();
    let path_and_query = head.uri.path_and_query().map_or("", |path| path.as_str());
    for part in [
        &route.service,
        head.method.as_str(),
        path_and_query,
        key.unwrap_or(""),
    ] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}
