//! HTTP handler for a node's readiness, status and metrics.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;

use crate::explain::{self, Question};
use crate::forward::Forwarder;
use crate::http::{self, Body, full};
use crate::link::{Entry, Load};
use crate::memory::Pool;
use crate::sidecar::hub::Hub;
use crate::telemetry::{Counters, Histograms, Quantiles};

/// Serves `/ready`, `/status`, `/metrics` and `/explain` on the admin and metrics listeners.
pub(super) struct Admin {
    pub hub: Arc<Hub>,
    pub forwarder: Arc<Forwarder>,
    pub leaving: Arc<AtomicBool>,
    pub counters: Arc<Counters>,
    pub histograms: Arc<Histograms>,
    pub memory: Arc<Pool>,
}

/// JSON document at `/status`.
#[derive(Serialize)]
struct StatusDocument {
    own: Entry,
    version: u64,
    /// Name of the node that reads the store for this data centre.
    watcher: Option<String>,
    source_reachable: bool,
    ready: bool,
    load: Load,
    heartbeat_age_ms: Option<u128>,
    nodes: Vec<Entry>,
    counters: BTreeMap<String, u64>,
    latency: BTreeMap<String, Quantiles>,
}

#[async_trait]
impl http::Handler for Admin {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/ready" => self.ready(),
            "/status" => http::json(StatusCode::OK, &self.status_document()),
            "/metrics" => Response::new(full(self.metrics())),
            explain::PATH => self.explain(request.into_body()).await,
            _ => http::json(
                StatusCode::NOT_FOUND,
                &"known paths: /ready, /status, /metrics, /explain",
            ),
        }
    }
}

impl Admin {
    /// Whether the node has a version in force and is not shutting down.
    fn is_ready(&self) -> bool {
        self.hub.versions.number() > 0 && !self.leaving.load(Ordering::Relaxed)
    }

    fn ready(&self) -> Response<Body> {
        let version = self.hub.versions.number();
        let mut response = Response::new(full(format!("version {version}\n")));
        if !self.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }

    /// Answers a question as JSON.
    async fn explain(&self, mut body: Incoming) -> Response<Body> {
        let mut account = self.memory.open();
        let question = http::read_held(&mut body, explain::MAX_BYTES, &mut account).await;
        let question = question
            .map_err(|error| error.to_string())
            .and_then(|bytes| {
                // The error itself may quote a header of the question.
                serde_json::from_slice::<Question>(&bytes)
                    .map_err(|error| format!("not a question: column {}", error.column()))
            });
        match question.map(|question| self.forwarder.explain(&question)) {
            Ok(Some(explanation)) => http::json(StatusCode::OK, &explanation),
            Ok(None) => http::json(StatusCode::BAD_REQUEST, &"not a valid request"),
            Err(fault) => http::json(StatusCode::BAD_REQUEST, &fault),
        }
    }

    fn status_document(&self) -> StatusDocument {
        StatusDocument {
            own: self.hub.own_entry(),
            version: self.hub.versions.number(),
            watcher: self.hub.watcher(),
            source_reachable: self.hub.source_reachable(),
            ready: self.is_ready(),
            load: self.hub.status().load,
            heartbeat_age_ms: self.hub.runner.heartbeat_age().map(|age| age.as_millis()),
            nodes: self.hub.directory.entries(),
            counters: self.counters.snapshot(),
            latency: self.histograms.snapshot(),
        }
    }

    /// Number of nodes whose use of quotas is known here.
    fn quota_nodes_heard(&self) -> u32 {
        let exchange = self.hub.quotas.get();
        exchange.map_or(0, |exchange| exchange.quotas.heard())
    }

    /// Gauges, counters and quantiles in the Prometheus text format, one line each.
    fn metrics(&self) -> String {
        let mut text = String::new();
        let load = self.hub.status().load;
        let gauges = [
            ("version", self.hub.versions.number()),
            ("ready", u64::from(self.is_ready())),
            ("source_reachable", u64::from(self.hub.source_reachable())),
            ("is_watcher", u64::from(self.hub.is_watcher())),
            ("nodes", self.hub.directory.len() as u64),
            ("quota_nodes_heard", self.quota_nodes_heard().into()),
            ("target_running", load.running.into()),
            ("target_queued", load.queued.into()),
            ("target_slots", load.slots.into()),
            ("target_run_ms", load.run_ms.into()),
            ("target_slowness_percent", load.slowness_percent.into()),
            ("target_failing_percent", load.failing_percent.into()),
            ("store_era", self.hub.store_era.known()),
            ("store_era_changes", self.hub.store_era.changes()),
            (
                "store_answers_ignored",
                self.hub.store_era.ignored_answers(),
            ),
            ("target_work_ms", load.work_ms.into()),
            ("memory_held_bytes", self.memory.budget().held() as u64),
        ];
        for (name, value) in gauges {
            let _ = writeln!(text, "bluebellgap_{name} {value}");
        }
        for (name, value) in self.counters.snapshot() {
            let name: String = name
                .chars()
                .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
                .collect();
            let _ = writeln!(text, "{name}_total {value}");
        }
        for (label, quantiles) in self.histograms.snapshot() {
            let values = [
                ("0.5", quantiles.p50_us),
                ("0.99", quantiles.p99_us),
                ("1", quantiles.max_us),
            ];
            for (quantile, micros) in values {
                let _ = writeln!(
                    text,
                    "bluebellgap_latency_us{{label=\"{label}\",quantile=\"{quantile}\"}} {micros}"
                );
            }
            let count = quantiles.count;
            let _ = writeln!(
                text,
                "bluebellgap_latency_us_count{{label=\"{label}\"}} {count}"
            );
        }
        text
    }
}
