//! The mesh listener: calls from other nodes, bundles for peers, questions about requests.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::{Body, Handler, full, read_whole};
use crate::proxy::Proxy;
use crate::proxy::headers::{self, Envelope};
use crate::proxy::requests::REQUEST_PATH;
use crate::rollout::{BUNDLE_PATH, serve_bundle};
use crate::verdict::{Reason, Refusal, Verdict};

/// Answers other nodes.
pub(super) struct MeshSide {
    pub proxy: Arc<Proxy>,
}

#[async_trait]
impl Handler for MeshSide {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path.starts_with(BUNDLE_PATH) {
            return serve_bundle(&self.proxy.shelf, &self.proxy.traffic, &request).await;
        }
        if let Some(id) = path.strip_prefix(REQUEST_PATH) {
            return self.inquire(id);
        }
        let mut response = self.call(request).await.unwrap_or_else(|refusal| {
            self.proxy.counters.count("mesh_refusals");
            self.refuse(&refusal)
        });
        if let Some(target) = &self.proxy.target {
            headers::write_load(response.headers_mut(), target.load());
        }
        response
    }
}

impl MeshSide {
    fn inquire(&self, id: &str) -> Response<Body> {
        match id.parse() {
            Ok(id) => Response::new(full(self.proxy.requests.inquire(id).to_string())),
            Err(_) => headers::refusal(&Refusal::not_run(Reason::BadRequest)),
        }
    }

    /// A refusal, with the number of the crash where the target's connection broke.
    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        let mut response = headers::refusal(refusal);
        let lost =
            refusal.reason == Reason::ConnectionLost && refusal.verdict == Verdict::MayHaveRun;
        if let (true, Some(target)) = (lost, &self.proxy.target) {
            headers::set_number(
                response.headers_mut(),
                headers::CRASH,
                target.crash_number(),
            );
        }
        response
    }

    async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let envelope = Envelope::read(request.headers());
        let envelope = envelope.ok_or_else(|| Refusal::not_run(Reason::BadRequest))?;
        let running = self.proxy.requests.begin(envelope.request);
        let _running = running.ok_or_else(|| Refusal::not_run(Reason::Deadline))?;
        let target = self.proxy.target.as_ref();
        let target = target.filter(|target| target.group() == envelope.group);
        let target = target.ok_or_else(|| Refusal::not_run(Reason::NoTarget))?;
        let limit = self.proxy.settings.limits.body_bytes;
        let (head, body) = request.into_parts();
        let body = read_whole(body, limit).await;
        let body = body.map_err(|_| Refusal::not_run(Reason::BadRequest))?;
        target.serve(&self.proxy, envelope, head, body).await
    }
}
