//! Requests of callers on this VM.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::bundle::RequestLimits;
use crate::dialect::Dialect;
use crate::directory::{Directory, Endpoint};
use crate::forward::attempt::{self, Outcome};
use crate::forward::budget::{Budget, Limits};
use crate::forward::call::Call;
use crate::forward::usual::Usual;
use crate::h1::{Request, Response};
use crate::ingress::Handler;
use crate::roster::Suspicions;
use crate::target::Side;
use crate::telemetry::{Counters, Histograms};
use crate::verdict::{Reason, Refusal, Verdict};
use crate::version::InForce;

/// Share of the objective for which the first targets asked may let a request wait for a slot.
const FIRST_WAIT_SHARE: f64 = 0.125;
/// Refusals for load after which a request waits at the best target instead of asking more.
const MAX_REFUSALS: usize = 2;
/// Share of the objective after which an idempotent request is also sent to a second target.
const HEDGE_SHARE: f64 = 0.6;
/// Usual run times after which it is, if that is later.
const HEDGE_RUNS: f64 = 2.0;
/// Repeats that hedges leave in the budget for requests that were lost.
const HEDGE_RESERVE: f64 = 1.5;
/// Time that must be left for another attempt, in usual run times.
const MIN_RUNS_LEFT: f64 = 0.4;
/// Bounds of the time after which callers are told to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Pause before targets are looked for again when none is known to serve.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(50);
/// Share of the objective for which targets are looked for again.
const NO_TARGET_SHARE: f64 = 0.25;

/// Bytes of a path that go into a log line.
const MAX_LOGGED_PATH: usize = 128;

/// Serves the callers on this VM.
pub(crate) struct Forwarder {
    pub dialect: Arc<dyn Dialect>,
    pub directory: Arc<Directory>,
    pub side: Arc<Side>,
    pub in_force: Arc<ArcSwapOption<InForce>>,
    pub suspicions: Arc<Suspicions>,
    pub counters: Arc<Counters>,
    pub histograms: Arc<Histograms>,
    caller_service: ArcSwapOption<String>,
    /// When this node ends, once that is known.
    end: watch::Sender<Option<Instant>>,
    /// Requests that are not answered yet.
    unanswered: TaskTracker,
    budget: Budget,
    usual: Usual,
}

#[async_trait]
impl Handler for Forwarder {
    fn intake(&self) -> RequestLimits {
        let in_force = self.in_force.load();
        in_force
            .as_ref()
            .map_or_else(RequestLimits::default, |in_force| in_force.intake)
    }

    async fn handle(&self, request: Request) -> Response {
        let began = Instant::now();
        let request_id = self
            .dialect
            .request_id(&request.headers)
            .unwrap_or_default();
        let request_id = request_id.to_owned();
        self.counters.count("requests");
        let _unanswered = self.unanswered.token();
        let answer = tokio::select! {
            answer = self.serve(&request, &request_id) => answer,
            () = self.ended() => Err(Refusal::may_have_run(Reason::Stopping)),
        };
        match answer {
            Ok(response) => response,
            Err(refusal) => self.refuse(&refusal, &request, &request_id, began.elapsed()),
        }
    }
}

impl Forwarder {
    #[allow(clippy::too_many_arguments, reason = "assembled in one place")]
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        directory: Arc<Directory>,
        side: Arc<Side>,
        in_force: Arc<ArcSwapOption<InForce>>,
        suspicions: Arc<Suspicions>,
        counters: Arc<Counters>,
        histograms: Arc<Histograms>,
        limits: Limits,
    ) -> Self {
        Self {
            dialect,
            directory,
            side,
            in_force,
            suspicions,
            counters,
            histograms,
            caller_service: ArcSwapOption::empty(),
            end: watch::Sender::new(None),
            unanswered: TaskTracker::new(),
            budget: Budget::new(limits),
            usual: Usual::default(),
        }
    }

    /// Sets the service that callers on this VM belong to.
    pub(crate) fn set_caller_service(&self, service: &str) {
        self.caller_service
            .store(Some(Arc::new(service.to_owned())));
    }

    /// Refuses requests from now on whose deadline is after `end`, when this node ends, and answers
    /// at `end` those that are still at work.
    pub(crate) fn stop_by(&self, end: Instant) {
        self.end.send_replace(Some(end));
    }

    /// Waits until no request is unanswered.
    pub(crate) async fn idle(&self) {
        self.unanswered.close();
        self.unanswered.wait().await;
    }

    /// Refuses a call that could outlast the node.
    fn check_end(&self, call: &Call) -> Result<(), Refusal> {
        match *self.end.borrow() {
            Some(end) if call.deadline > end => Err(Refusal {
                retry_after: Some(end.saturating_duration_since(Instant::now())),
                ..Refusal::not_run(Reason::Stopping)
            }),
            _ => Ok(()),
        }
    }

    /// Waits for the end of the node.
    async fn ended(&self) {
        let mut end = self.end.subscribe();
        let known = end.wait_for(Option::is_some).await;
        let at = known.ok().and_then(|end| *end);
        match at {
            Some(at) => tokio::time::sleep_until(at.into()).await,
            None => std::future::pending().await,
        }
    }

    async fn serve(&self, request: &Request, request_id: &str) -> Result<Response, Refusal> {
        let in_force = self.in_force.load_full();
        let in_force = in_force.ok_or_else(|| Refusal::not_run(Reason::NoBundle))?;
        let path = request.target.split('?').next().unwrap_or_default();
        let method = request.method.as_str();
        let route = in_force.table.find(host(request), method, path);
        let route = route
            .ok_or_else(|| Refusal::not_run(Reason::NoRoute))?
            .clone();
        let usual = self.usual.of(&route.name, route.objective);
        let caller_service = self.caller_service.load_full();
        let call = Call::new(
            route,
            in_force.version.0,
            request,
            request_id,
            self.dialect.timeout(&request.headers),
            caller_service.as_deref().map_or("", String::as_str),
            usual,
        );
        self.check_end(&call)?;
        if self.suspicions.refuses(call.fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        self.budget
            .request(&call.service, self.side.repeated_share());
        let answer = self.dispatch(&call).await;
        if let Ok(response) = &answer
            && response.status.is_success()
        {
            let took = call.began.elapsed();
            self.histograms
                .record(&format!("route.{}", call.route.name), took);
        }
        answer
    }

    /// Tries targets until one answers, the attempts or the budget are used up, or a failure
    /// forbids another attempt.
    async fn dispatch(&self, call: &Call) -> Result<Response, Refusal> {
        let mut progress = Progress::default();
        loop {
            let ranked = self.directory.rank(
                &call.service,
                call.usual,
                call.route.objective,
                &progress.excluded,
            );
            let Some(endpoint) = ranked.first() else {
                if progress.refusals == 0 && may_look_again(call) {
                    tokio::time::sleep(NO_TARGET_PAUSE).await;
                    progress.excluded.clear();
                    continue;
                }
                return progress.end(Refusal::not_run(Reason::NoTarget));
            };
            let free = ranked.iter().find(|endpoint| !endpoint.is_full());
            let patient = progress.refusals >= MAX_REFUSALS || ranked.len() == 1 || free.is_none();
            let endpoint = if patient {
                endpoint
            } else {
                free.unwrap_or(endpoint)
            };
            let max_wait = max_wait(call, patient);
            let outcome = self.attempt(call, endpoint, max_wait, &mut progress).await;
            let refusal = match outcome {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            let refused_for_load = refusal.reason == Reason::Overloaded;
            progress.refusals += usize::from(refused_for_load);
            progress.excluded.push(endpoint.entry.node.clone());
            progress.note(refusal);
            if refused_for_load && patient || !self.may_go_on(call, &mut progress) {
                return progress.end(refusal);
            }
        }
    }

    /// Whether another attempt is allowed and worth while.
    fn may_go_on(&self, call: &Call, progress: &mut Progress) -> bool {
        if call.left() < call.usual.mul_f64(MIN_RUNS_LEFT) {
            return false;
        }
        if progress.reached == 0 {
            return true;
        }
        let harmless = call.route.idempotent || progress.verdict == Verdict::NotRun;
        harmless && progress.reached < call.route.attempts && self.withdraw(call)
    }

    fn withdraw(&self, call: &Call) -> bool {
        let granted = self.budget.withdraw(&call.service, self.directory.len());
        self.counters
            .count(if granted { "repeats" } else { "repeats_denied" });
        granted
    }

    /// One attempt, and a second one elsewhere if the call is idempotent and the first is late.
    async fn attempt(
        &self,
        call: &Call,
        endpoint: &Arc<Endpoint>,
        max_wait: Duration,
        progress: &mut Progress,
    ) -> Result<Response, Refusal> {
        let first = attempt::run(&self.side, call, endpoint, max_wait, progress.reached > 0);
        tokio::pin!(first);
        if !call.route.idempotent {
            return self.conclude(call, first.await, progress);
        }
        let delay = call
            .route
            .objective
            .mul_f64(HEDGE_SHARE)
            .max(call.usual.mul_f64(HEDGE_RUNS))
            .saturating_sub(call.began.elapsed());
        tokio::select! {
            outcome = &mut first => return self.conclude(call, outcome, progress),
            () = tokio::time::sleep(delay) => {}
        }
        let Some(other) = self.second_target(call, endpoint, progress) else {
            return self.conclude(call, first.await, progress);
        };
        progress.excluded.push(other.entry.node.clone());
        log::info!(
            event = "hedge",
            request_id = call.request_id.as_str(),
            first = endpoint.entry.node.as_str(),
            second = other.entry.node.as_str();
            "first target is late"
        );
        let second = attempt::run(&self.side, call, &other, Duration::ZERO, true);
        tokio::pin!(second);
        let (outcome, first_ended) = tokio::select! {
            outcome = &mut first => (outcome, true),
            outcome = &mut second => (outcome, false),
        };
        let answer = self.conclude(call, outcome, progress);
        if answer
            .as_ref()
            .is_ok_and(|response| !response.status.is_server_error())
        {
            progress.reached += 1;
            return answer;
        }
        let other = if first_ended {
            second.await
        } else {
            first.await
        };
        let other = self.conclude(call, other, progress);
        match (answer, other) {
            (_, Ok(response)) | (Ok(response), Err(_)) => Ok(response),
            (Err(one), Err(two)) => Err(worse(one, two)),
        }
    }

    /// A second target for a call whose first one is late, if the budget allows one.
    fn second_target(
        &self,
        call: &Call,
        first: &Endpoint,
        progress: &Progress,
    ) -> Option<Arc<Endpoint>> {
        let mut excluded = progress.excluded.clone();
        excluded.push(first.entry.node.clone());
        let ranked =
            self.directory
                .rank(&call.service, call.usual, call.route.objective, &excluded);
        let other = ranked.into_iter().next()?;
        let nodes = self.directory.len();
        let allowed = progress.reached + 1 < call.route.attempts
            && other.has_room()
            && self.budget.left(&call.service, nodes) > HEDGE_RESERVE
            && self.withdraw(call);
        allowed.then_some(other)
    }

    /// Takes the end of an attempt. An idempotent call that failed at its target may go on; the
    /// failure is kept in case nothing better comes.
    fn conclude(
        &self,
        call: &Call,
        outcome: Outcome,
        progress: &mut Progress,
    ) -> Result<Response, Refusal> {
        progress.reached += u32::from(outcome.reached);
        let response = outcome.answer?;
        if response.status.is_success() {
            self.usual.note(&call.route.name, call.began.elapsed());
        }
        if call.route.idempotent && response.status.is_server_error() {
            progress.failure = Some(response);
            return Err(Refusal::may_have_run(Reason::Failed));
        }
        Ok(response)
    }

    /// The system's own answer to a request that no target answered.
    fn refuse(
        &self,
        refusal: &Refusal,
        request: &Request,
        request_id: &str,
        took: Duration,
    ) -> Response {
        let status = refusal.status();
        let verdict = refusal.verdict.to_string();
        let reason = refusal.reason.to_string();
        self.counters.count(&format!("refused.{verdict}"));
        self.counters
            .count(&format!("refused.{}", reason.replace([' ', '\''], "_")));
        log::info!(
            event = "refused",
            request_id = request_id,
            host = host(request),
            path = request.target.get(..MAX_LOGGED_PATH).unwrap_or(&request.target),
            status = status.as_u16(),
            version = self.in_force.load().as_ref().map_or(0, |known| known.version.0),
            nodes = self.directory.len(),
            reason = reason.as_str(),
            verdict = verdict.as_str(),
            took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            ""
        );
        let mut response = Response::text(status, &format!("{refusal}\n"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let after = refusal.retry_after.unwrap_or_default();
            let after = after.clamp(RETRY_AFTER.0, RETRY_AFTER.1).as_secs_f64();
            if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
                response.headers.insert("retry-after", value);
            }
        }
        response
    }
}

/// How long a target may let the call wait for a slot.
fn max_wait(call: &Call, patient: bool) -> Duration {
    if patient {
        return call.left().saturating_sub(call.usual);
    }
    call.route.objective.mul_f64(FIRST_WAIT_SHARE)
}

/// Whether to wait for a target to appear.
fn may_look_again(call: &Call) -> bool {
    call.began.elapsed() < call.route.objective.mul_f64(NO_TARGET_SHARE)
}

/// What has become of a call so far.
struct Progress {
    /// Nodes that are not asked again.
    excluded: Vec<String>,
    /// Refusals for load.
    refusals: usize,
    /// Targets that the request may have reached.
    reached: u32,
    /// Whether any attempt may have run.
    verdict: Verdict,
    /// A target's failure, passed on if nothing better comes.
    failure: Option<Response>,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            excluded: Vec::new(),
            refusals: 0,
            reached: 0,
            verdict: Verdict::NotRun,
            failure: None,
        }
    }
}

impl Progress {
    fn note(&mut self, refusal: Refusal) {
        if refusal.verdict == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
    }

    /// The end of a call: a target's failure where there is one, else the refusal. If any attempt
    /// may have run, the call may have.
    fn end(self, refusal: Refusal) -> Result<Response, Refusal> {
        if let Some(response) = self.failure {
            return Ok(response);
        }
        Err(Refusal {
            verdict: self.verdict,
            ..refusal
        })
    }
}

fn host(request: &Request) -> &str {
    let host = request.headers.get("host").and_then(|h| h.to_str().ok());
    host.unwrap_or_default()
}

fn worse(one: Refusal, two: Refusal) -> Refusal {
    if one.verdict == Verdict::MayHaveRun {
        one
    } else {
        two
    }
}
