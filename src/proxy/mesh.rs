//! Handler of the mesh listener: requests from other nodes for the local target, downloads of
//! bundles, and inquiries about requests.

use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::{Body, Handler, full};
use crate::proxy::Proxy;
use crate::proxy::headers::{self, Envelope};
use crate::proxy::intake;
use crate::proxy::requests::{Phase, REQUEST_PATH};
use crate::rollout::{BUNDLE_PATH, serve_bundle};
use crate::verdict::{Reason, Refusal, Verdict};

/// Handles requests from other nodes.
pub(super) struct MeshHandler {
    pub proxy: Arc<Proxy>,
}

#[async_trait]
impl Handler for MeshHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path();
        if path.starts_with(BUNDLE_PATH) {
            return serve_bundle(&self.proxy.bundles, &self.proxy.traffic, &request).await;
        }
        if let Some(id) = path.strip_prefix(REQUEST_PATH) {
            return self.inquire(id, request.uri().query());
        }
        let mut response = self.serve(request).await.unwrap_or_else(|refusal| {
            self.proxy.counters.count("mesh_refusals");
            self.refusal_response(&refusal)
        });
        if let Some(target) = &self.proxy.target {
            headers::write_load(response.headers_mut(), target.load());
        }
        response
    }
}

impl MeshHandler {
    /// Answers an inquiry about a request; one that has not arrived is cancelled. If the caller's node
    /// names an earlier process of this node, an unknown request counts as ended.
    fn inquire(&self, id: &str, query: Option<&str>) -> Response<Body> {
        let Ok(id) = id.parse() else {
            return headers::refusal_response(&Refusal::not_run(Reason::BadRequest));
        };
        let asked = query.and_then(|query| query.strip_prefix("incarnation="));
        let own = self.proxy.membership.member();
        let own = own.map(|member| member.incarnation.to_string());
        let requests = &self.proxy.requests;
        let phase = if asked.is_none() || asked == own.as_deref() {
            requests.inquire_or_cancel(id)
        } else {
            requests.phase(id).unwrap_or(Phase::Done)
        };
        Response::new(full(phase.to_string()))
    }

    /// Response for a refusal, with the crash number if the connection to the target broke after
    /// the request was sent.
    fn refusal_response(&self, refusal: &Refusal) -> Response<Body> {
        let mut response = headers::refusal_response(refusal);
        let connection_lost =
            refusal.reason == Reason::ConnectionLost && refusal.verdict == Verdict::MayHaveRun;
        if let (true, Some(target)) = (connection_lost, &self.proxy.target) {
            headers::set_number(
                response.headers_mut(),
                headers::CRASH,
                target.crash_number(),
            );
        }
        response
    }

    /// Runs a request from another node at the local target.
    async fn serve(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let envelope = Envelope::read(request.headers());
        let envelope = envelope.ok_or_else(|| Refusal::not_run(Reason::BadRequest))?;
        let guard = self.proxy.requests.begin(envelope.request);
        // An inquiry found that it had not arrived yet; another target may still have time for it.
        let _guard = guard.ok_or_else(|| Refusal::not_run(Reason::ConnectionLost))?;
        let target = self.proxy.target.as_ref();
        let target = target.filter(|target| target.group() == envelope.group);
        let target = target.ok_or_else(|| Refusal::not_run(Reason::NoTarget))?;
        let limit = self.proxy.settings.limits.body_bytes;
        let (head, body) = request.into_parts();
        let deadline = Instant::now() + envelope.remaining;
        let (body, buffers) = intake::receive(&self.proxy.memory, body, limit, deadline).await?;
        let response = target
            .serve(&self.proxy, envelope, deadline, head, body)
            .await?;
        Ok(intake::hold_buffers(response, buffers))
    }
}
