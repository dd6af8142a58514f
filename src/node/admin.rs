//! The admin listener: what one node says about itself.

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

/// Everything that the node shows.
#[derive(Serialize)]
struct Overview {
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

struct AdminSide {
    core: Arc<Core>,
}

/// Handler of the admin listener: `GET /status` and `GET /ready`.
pub(super) fn handler(core: Arc<Core>) -> Arc<dyn Handler> {
    Arc::new(AdminSide { core })
}

#[async_trait]
impl Handler for AdminSide {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/status" => json(StatusCode::OK, &self.overview()),
            "/ready" => self.ready(),
            _ => json(StatusCode::NOT_FOUND, &"known paths: /status, /ready"),
        }
    }
}

impl AdminSide {
    fn ready(&self) -> Response<Body> {
        let version = self.core.agent.version();
        let mut response = Response::new(full(format!("version {version}\n")));
        if version.0 == 0 {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    fn overview(&self) -> Overview {
        let core = &self.core;
        let centers = core.roster().centers.clone();
        Overview {
            member: core.member(),
            version: core.agent.version().0,
            registrar: core.registrar().map(|known| known.holder.node),
            holds_lease: core.lease.presumed_holder().is_some(),
            members_by_data_center: centers.into_iter().map(|(n, m)| (n, m.len())).collect(),
            own: crate::node::delivery::own_tally(core),
            short_load: core.proxy().load().map(|load| load.0[0]),
            long_load: core.proxy().load().map(|load| load.0[1]),
            counters: core.counters.snapshot(),
            latency: core.histograms.snapshot(),
            control_bytes_by_region: core.traffic.snapshot(),
        }
    }
}
