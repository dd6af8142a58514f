//! HTTP handler of the listener that receives heartbeats and departure notices of the target.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};

use crate::dialect::{Dialect, Notice, Phase};
use crate::http::{self, Body, full, read_whole};
use crate::sidecar::copies;
use crate::sidecar::hub::Hub;
use crate::target::Outcome;

/// Largest accepted body of a notice.
const MAX_NOTICE_BYTES: usize = 64 * 1024;

/// Passes heartbeats and departure notices of the target to the runner.
pub(super) struct Handler {
    pub dialect: Arc<dyn Dialect>,
    pub hub: Arc<Hub>,
}

#[async_trait]
impl http::Handler for Handler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let notice = match read_whole(body, MAX_NOTICE_BYTES).await {
            Ok(body) => self
                .dialect
                .parse_notice(&head.method, head.uri.path(), &body),
            Err(error) => Err(error),
        };
        match notice {
            Ok(notice) => {
                if self.apply(notice) && !copies::secure(&self.hub).await {
                    log::warn!(
                        event = "notice_not_safe",
                        path = head.uri.path();
                        "neither the store nor other nodes keep the notice; not acknowledging it"
                    );
                    let fault = "the notice would be lost with this process; send it again";
                    return http::json(StatusCode::SERVICE_UNAVAILABLE, &fault);
                }
                self.acknowledge()
            }
            Err(fault) => {
                log::warn!(
                    event = "notice_rejected",
                    path = head.uri.path();
                    "notice from the target rejected: {fault}"
                );
                http::json(StatusCode::BAD_REQUEST, &fault)
            }
        }
    }
}

impl Handler {
    /// Applies a notice; returns whether it says that the target drains or has departed, which binds
    /// later processes of this node too.
    fn apply(&self, notice: Notice) -> bool {
        let runner = &self.hub.runner;
        match notice {
            Notice::Heartbeat(heartbeat) => {
                let id = heartbeat.id.clone();
                let (started_ms, sequence) = (heartbeat.started_ms, heartbeat.sequence);
                let drains = heartbeat.phase == Phase::Draining;
                let outcome = runner.apply_heartbeat(heartbeat);
                if outcome == Outcome::Stale {
                    log::info!(
                        event = "heartbeat_stale",
                        target_id = id.as_str(),
                        started_ms = started_ms,
                        sequence = sequence;
                        "heartbeat ignored; it is outdated or its target has departed"
                    );
                }
                // A repeated one may follow one that was not acknowledged.
                drains && outcome != Outcome::Stale
            }
            Notice::Departure { id, started_ms } => {
                runner.apply_departure(&id, started_ms);
                // If the target repeats its departure, the store may have lost it since.
                self.hub.verify_stored();
                true
            }
        }
    }

    fn acknowledge(&self) -> Response<Body> {
        let mut response = Response::new(full(self.dialect.acknowledgement()));
        response
            .headers_mut()
            .insert("content-type", HeaderValue::from_static("application/json"));
        response
    }
}
