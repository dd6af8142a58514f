//! Handler of the caller listener: resolves the route of a request and dispatches it.

use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::http::{Body, Handler};
use crate::proxy::Proxy;
use crate::proxy::call::Call;
use crate::proxy::{at_most_once, attempt, headers, intake};
use crate::verdict::{Reason, Refusal, Verdict};

/// Handles requests from callers.
pub(super) struct CallerHandler {
    pub proxy: Arc<Proxy>,
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let counters = &self.proxy.counters;
        counters.count("calls");
        match self.serve(request).await {
            Ok(response) => response,
            Err(refusal) => {
                let verdict = match refusal.verdict {
                    Verdict::NotRun => "not_run",
                    Verdict::MayHaveRun => "may_have_run",
                };
                counters.count(&format!("refused.{verdict}"));
                counters.count(&format!("refused.{}", headers::reason_code(refusal.reason)));
                headers::refusal_response(&refusal)
            }
        }
    }
}

impl CallerHandler {
    async fn serve(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let started = Instant::now();
        let in_force = self.proxy.agent.in_force();
        let in_force = in_force.ok_or_else(|| Refusal::not_run(Reason::NoBundle))?;
        let (head, body) = request.into_parts();
        let (route, deadline) = Call::resolve(&in_force, &head)?;
        let limit = self.proxy.settings.limits.body_bytes;
        let (body, buffers) = intake::receive(&self.proxy.memory, body, limit, deadline).await?;
        let call = Call::new(&in_force, route, deadline, head, body);
        drop(in_force);
        let call = Arc::new(call);
        let outcome = self.dispatch(&call).await;
        self.record_latency(&call, started);
        outcome.map(|response| intake::hold_buffers(response, buffers))
    }

    async fn dispatch(&self, call: &Arc<Call>) -> Result<Response<Body>, Refusal> {
        if self.proxy.suspicions.must_refuse(call.fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        if self
            .proxy
            .throttle(&call.route.service)
            .should_shed(rand::random())
        {
            return Err(Refusal::not_run(Reason::Shed));
        }
        self.proxy.retry_budget.deposit();
        if call.route.idempotent {
            return attempt::dispatch(&self.proxy, call).await;
        }
        at_most_once::dispatch(&self.proxy, call).await
    }

    fn record_latency(&self, call: &Call, started: Instant) {
        let histograms = &self.proxy.histograms;
        histograms.record(&format!("tenant.{}", call.tenant), started.elapsed());
        histograms.record(&format!("class.{}", call.route.class), started.elapsed());
    }
}
