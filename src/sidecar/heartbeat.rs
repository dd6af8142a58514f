//! HTTP handler of the listener that receives heartbeats and departure notices of the target.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};

use crate::dialect::{Dialect, Notice};
use crate::http::{self, Body, full, read_whole};
use crate::target::{Outcome, Runner};

/// Largest accepted body of a notice.
const MAX_NOTICE_BYTES: usize = 64 * 1024;

/// Passes heartbeats and departure notices of the target to the runner.
pub(super) struct Handler {
    pub dialect: Arc<dyn Dialect>,
    pub runner: Arc<Runner>,
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
                self.apply(notice);
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
    fn apply(&self, notice: Notice) {
        match notice {
            Notice::Heartbeat(heartbeat) => {
                let id = heartbeat.id.clone();
                let (started_ms, sequence) = (heartbeat.started_ms, heartbeat.sequence);
                if self.runner.apply_heartbeat(heartbeat) == Outcome::Stale {
                    log::info!(
                        event = "heartbeat_stale",
                        target_id = id.as_str(),
                        started_ms = started_ms,
                        sequence = sequence;
                        "heartbeat ignored; it is outdated or its target has departed"
                    );
                }
            }
            Notice::Departure { id, started_ms } => self.runner.apply_departure(&id, started_ms),
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
