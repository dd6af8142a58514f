//! The admin listener: status and readiness of one node.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

use crate::http::{Body, Handler, full, json};
use crate::node::core::Core;
use crate::rollout::Tally;
use crate::roster::Member;
use crate::telemetry::Quantiles;

/// Body of `GET /status`.
#[derive(Serialize)]
struct Status {
    member: Member,
    version: u64,
    registrar: Option<String>,
    holds_lease: bool,
    members_by_data_center: BTreeMap<String, usize>,
    own: Tally,
    short_load: Option<u32>,
    long_load: Option<u32>,
    counters: BTreeMap<String, u64>,
    latency: BTreeMap<String, Quantiles>,
    control_bytes_by_region: BTreeMap<String, u64>,
}

struct AdminHandler {
    core: Arc<Core>,
}

/// Handler of the admin listener: `GET /status` and `GET /ready`.
pub(super) fn handler(core: Arc<Core>) -> Arc<dyn Handler> {
    Arc::new(AdminHandler { core })
}

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/status" => json(StatusCode::OK, &self.status()),
            "/ready" => self.ready(),
            _ => json(StatusCode::NOT_FOUND, &"known paths: /status, /ready"),
        }
    }
}

impl AdminHandler {
    fn ready(&self) -> Response<Body> {
        let version = self.core.agent.version();
        let mut response = Response::new(full(format!("version {version}\n")));
        if version.0 == 0 {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn status(&self) -> Status {
        let core = &self.core;
        let data_centers = core.roster().data_centers.clone();
        Status {
            member: core.member(),
            version: core.agent.version().0,
            registrar: core.registrar().map(|known| known.holder.node),
            holds_lease: core.lease.acting().is_some(),
            members_by_data_center: data_centers
                .into_iter()
                .map(|(name, members)| (name, members.len()))
                .collect(),
            own: crate::node::delivery::own_tally(core),
            short_load: core.proxy().load().map(|load| load.0[0]),
            long_load: core.proxy().load().map(|load| load.0[1]),
            counters: core.counters.snapshot(),
            latency: core.histograms.snapshot(),
            control_bytes_by_region: core.traffic.snapshot(),
        }
    }
}
