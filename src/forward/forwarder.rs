//! Forwards the requests of callers on this VM to targets.

use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::bundle::RequestLimits;
use crate::canary::Turn;
use crate::dialect::Dialect;
use crate::directory::{Directory, Endpoint};
use crate::forward::attempt::{self, Outcome};
use crate::forward::budget::{Budget, Limits};
use crate::forward::call::Call;
use crate::forward::latency::{Averages, UsualTimes};
use crate::forward::overloads::Overloads;
use crate::h1::{Request, Response};
use crate::ingress::Handler;
use crate::overload::cost::{Estimate, Estimator};
use crate::overload::placement::{self, Candidate, Choice};
use crate::overload::returning;
use crate::overload::shape::{Features, Shape};
use crate::quota::{Credit, Quotas};
use crate::roster::Suspicions;
use crate::route::CompiledRoute;
use crate::target::Runner;
use crate::telemetry::{Counters, Histograms};
use crate::tenant::{Tenant, Tenants};
use crate::verdict::{Reason, Refusal, Verdict};
use crate::version::Config;

/// Share of the latency objective after which an idempotent request is hedged: sent to a second
/// target as well.
const HEDGE_DELAY_OBJECTIVE_SHARE: f64 = 0.6;
/// Shortest hedge delay, in expected latencies; it applies if it is longer than the share of the
/// objective above.
const MIN_HEDGE_DELAY_LATENCIES: f64 = 2.0;
/// A request is hedged only while more retries than this are left in the budget, so that hedges
/// leave some for requests that were lost.
const HEDGE_RESERVE_RETRIES: f64 = 1.5;
/// Time that must be left before the deadline for another attempt, in expected latencies. Below 1,
/// because an attempt may well be faster than the average.
const MIN_TIME_LEFT_LATENCIES: f64 = 0.4;
/// Interval at which targets are looked up again while none is serving or all serving ones have
/// been tried.
const TARGET_LOOKUP_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the latency objective, from the receipt of the request, for which the request waits for
/// a target if none is serving or all serving ones have been tried. It does not wait if one of them
/// has refused it for overload.
const TARGET_WAIT_SHARE: f64 = 0.25;

/// Share of the latency objective that a request of a route without any sample is expected to run.
const INITIAL_RUN_OBJECTIVES: f64 = 0.25;

/// Highest rank of a tenant or a route that is told from higher ones, where tenants have ranks.
const MAX_RANK: u32 = 0x7FFF;

/// Length to which path and query are cut in a log line. They are logged whole if the cut would
/// fall inside a character.
const MAX_LOGGED_PATH_BYTES: usize = 128;

/// Handles the requests of callers on this VM.
pub(crate) struct Forwarder {
    pub dialect: Arc<dyn Dialect>,
    pub directory: Arc<Directory>,
    pub runner: Arc<Runner>,
    /// Configuration in force; `None` before the first version.
    pub config: Arc<ArcSwapOption<Config>>,
    pub suspicions: Arc<Suspicions>,
    pub counters: Arc<Counters>,
    pub histograms: Arc<Histograms>,
    /// Service that the callers on this VM belong to.
    caller_service: ArcSwapOption<String>,
    /// When the drain of this node ends; `None` until it begins.
    drain_end: watch::Sender<Option<Instant>>,
    /// Tracks requests that are not answered yet.
    unanswered_requests: TaskTracker,
    budget: Budget,
    latencies: Averages,
    usual_times: UsualTimes,
    overloads: Overloads,
    /// Expected run times of single requests; `None` if they are not estimated.
    pub(super) costs: Option<Mutex<Estimator>>,
    /// Quotas of tenants; none are applied until they are set.
    quotas: OnceLock<Arc<Quotas>>,
}

#[async_trait]
impl Handler for Forwarder {
    fn request_limits(&self) -> RequestLimits {
        let config = self.config.load();
        config
            .as_ref()
            .map_or_else(RequestLimits::default, |config| config.request_limits)
    }

    async fn handle(&self, mut request: Request) -> Response {
        let received_at = Instant::now();
        let request_id = self
            .dialect
            .request_id(&request.headers)
            .unwrap_or_default();
        let request_id = request_id.to_owned();
        self.counters.count("requests");
        let _unanswered_token = self.unanswered_requests.token();
        let answer = tokio::select! {
            // First, so that a request which is refused at once is not answered as one that may run.
            biased;
            answer = self.serve(&mut request, &request_id) => answer,
            () = self.wait_for_drain_end() => Err(Refusal::may_have_run(Reason::Stopping)),
        };
        match answer {
            Ok(response) => response,
            Err(refusal) => self.refuse(&refusal, &request, &request_id, received_at.elapsed()),
        }
    }
}

impl Forwarder {
    #[allow(clippy::too_many_arguments, reason = "assembled in one place")]
    pub(crate) fn new(
        dialect: Arc<dyn Dialect>,
        directory: Arc<Directory>,
        runner: Arc<Runner>,
        config: Arc<ArcSwapOption<Config>>,
        suspicions: Arc<Suspicions>,
        counters: Arc<Counters>,
        histograms: Arc<Histograms>,
        limits: Limits,
    ) -> Self {
        Self {
            dialect,
            directory,
            runner,
            config,
            suspicions,
            counters,
            histograms,
            caller_service: ArcSwapOption::empty(),
            drain_end: watch::Sender::new(None),
            unanswered_requests: TaskTracker::new(),
            budget: Budget::new(limits),
            latencies: Averages::default(),
            usual_times: UsualTimes::default(),
            overloads: Overloads::default(),
            costs: None,
            quotas: OnceLock::new(),
        }
    }

    /// Estimates the run times of single requests, and places requests by them.
    pub(crate) fn with_costs(self) -> Self {
        Self {
            costs: Some(Mutex::default()),
            ..self
        }
    }

    /// Sets the quotas of tenants, once.
    pub(crate) fn set_quotas(&self, quotas: Arc<Quotas>) {
        let _ = self.quotas.set(quotas);
    }

    /// Sets the service that callers on this VM belong to.
    pub(crate) fn set_caller_service(&self, service: &str) {
        self.caller_service
            .store(Some(Arc::new(service.to_owned())));
    }

    /// Starts to drain: refuses new requests whose deadline is after `end`, and answers requests
    /// that are still in progress at `end` with a refusal.
    pub(crate) fn drain_until(&self, end: Instant) {
        self.drain_end.send_replace(Some(end));
    }

    /// Waits until every request is answered.
    pub(crate) async fn wait_until_idle(&self) {
        self.unanswered_requests.close();
        self.unanswered_requests.wait().await;
    }

    /// Refuses a call whose deadline is after the end of the drain.
    fn check_drain(&self, call: &Call) -> Result<(), Refusal> {
        match *self.drain_end.borrow() {
            Some(end) if call.deadline > end => Err(Refusal {
                retry_after: Some(end.saturating_duration_since(Instant::now())),
                ..Refusal::not_run(Reason::Stopping)
            }),
            _ => Ok(()),
        }
    }

    /// Waits until the drain ends, forever if none begins.
    async fn wait_for_drain_end(&self) {
        let mut drain_end = self.drain_end.subscribe();
        let end = drain_end.wait_for(Option::is_some).await;
        let end = end.ok().and_then(|end| *end);
        match end {
            Some(end) => tokio::time::sleep_until(end.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Finds the route of a request, refuses the request if it must not be sent to a target, and
    /// dispatches it otherwise.
    async fn serve(&self, request: &mut Request, request_id: &str) -> Result<Response, Refusal> {
        let (call, repeat_probability) = self.prepare(request, request_id, true)?;
        let credit = self.take_credit(&call)?;
        self.budget
            .record_request(&call.service, repeat_probability);
        let answer = self.dispatch(&call).await;
        if let (Some(credit), Err(refusal)) = (credit, &answer)
            && refusal.verdict == Verdict::NotRun
        {
            credit.refund();
        }
        if let Ok(response) = &answer
            && response.status.is_success()
        {
            let latency = call.received_at.elapsed();
            self.histograms
                .record(&format!("route.{}", call.route.name), latency);
        }
        answer
    }

    /// Finds the route of a request, and refuses the request if it must not be sent to a target.
    /// Returns the call, and the probability that it belongs to a repeat. `observed` says whether
    /// the request is a caller's, of which usual times and counters take note.
    pub(super) fn prepare(
        &self,
        request: &mut Request,
        request_id: &str,
        observed: bool,
    ) -> Result<(Call, f64), Refusal> {
        let config = self.config.load_full();
        let config = config.ok_or_else(|| Refusal::not_run(Reason::NoBundle))?;
        let path = request.target.split('?').next().unwrap_or_default();
        let method = request.method.as_str();
        let route = config.table.find(host(request), method, path);
        let route = route
            .ok_or_else(|| Refusal::not_run(Reason::NoRoute))?
            .clone();
        // Callers choose the ids of their requests, but calls of running requests carry no key.
        let has_key =
            !config.tenants.is_empty() && self.dialect.credential(&request.headers).is_some();
        let parent = if has_key {
            None
        } else {
            self.runner.find_parent(request_id)
        };
        let tenant = self.identify_tenant(&config.tenants, &route, request, request_id)?;
        let rank = rank(&config.tenants, &route, tenant.as_deref());
        let average_latency = self.latencies.get(&route.name, route.objective);
        let tenant_name = tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
        let estimated = self.estimate(&route, request, tenant_name);
        let expected_latency = estimated
            .as_ref()
            .map_or(average_latency, |(_, estimate)| estimate.run());
        let caller_timeout = self.dialect.timeout(&request.headers);
        let caller_service = self.caller_service.load_full();
        let age = match caller_timeout {
            Some(timeout) if parent.is_none() && observed => {
                self.usual_times
                    .estimate_age(&route.name, timeout, route.timeout)
            }
            _ => Duration::ZERO,
        };
        // Calls of running requests, and requests on public routes, count towards no quota.
        let metered = tenant.filter(|_| parent.is_none() && !route.public);
        let mut call = Call::new(
            route,
            config.version.0,
            request,
            request_id,
            caller_timeout,
            caller_service.as_deref().map_or("", String::as_str),
            expected_latency,
            parent.is_some(),
            age,
            rank,
            metered,
        );
        call.estimated = estimated;
        self.check_drain(&call)?;
        if !call.nested
            && let Some((_, estimate)) = &call.estimated
            && estimate.shortest_run() > call.time_left()
        {
            if observed {
                self.counters.count("refused.too_long");
            }
            return Err(Refusal::not_run(Reason::Overloaded));
        }
        if self.suspicions.must_refuse(call.fingerprint) {
            return Err(Refusal::not_run(Reason::Suspected));
        }
        let repeat_probability = parent.map_or_else(
            || self.runner.repeated_share(),
            |parent| f64::from(u8::from(parent.repeated)),
        );
        Ok((call, repeat_probability))
    }

    /// Estimates the run time of a request, if run times are estimated.
    fn estimate(
        &self,
        route: &CompiledRoute,
        request: &Request,
        tenant: &str,
    ) -> Option<(Shape, Estimate)> {
        let estimator = self.costs.as_ref()?;
        let shape = Shape::from(Features {
            route: &route.name,
            method: request.method.as_str(),
            target: &request.target,
            body_bytes: request.body.len(),
            tenant,
        });
        let fallback = route.objective.mul_f64(INITIAL_RUN_OBJECTIVES);
        let estimator = estimator.lock().unwrap_or_else(PoisonError::into_inner);
        let estimate = estimator.estimate(&shape, fallback, Instant::now());
        Some((shape, estimate))
    }

    /// Finds the tenant of a request by its key, and replaces the key by the tenant's name. `None` if
    /// the version has no tenants, or the request needs no key and carries none that is known.
    fn identify_tenant(
        &self,
        tenants: &Tenants,
        route: &CompiledRoute,
        request: &mut Request,
        request_id: &str,
    ) -> Result<Option<Arc<Tenant>>, Refusal> {
        if tenants.is_empty() {
            return Ok(None);
        }
        let key = self.dialect.credential(&request.headers);
        let tenant = key.and_then(|key| tenants.find(key)).cloned();
        if tenant.is_none() && !route.public {
            if key.is_some() || self.dialect.parent_request_id(request_id).is_none() {
                return Err(Refusal::not_run(Reason::Unauthorized));
            }
            if self.runner.find_parent(request_id).is_none() {
                // The call of a request that this process does not know, as after a restart. Its key
                // cannot be checked, and another process may have admitted it.
                return Err(Refusal::not_run(Reason::NoTarget));
            }
        }
        let name = tenant.as_ref().map(|tenant| tenant.name.as_str());
        self.dialect.set_tenant(&mut request.headers, name);
        Ok(tenant)
    }

    /// Takes a credit for one request of the call's tenant, if that has a quota.
    fn take_credit(&self, call: &Call) -> Result<Option<Credit<'_>>, Refusal> {
        let (Some(quotas), Some(tenant)) = (self.quotas.get(), &call.metered) else {
            return Ok(None);
        };
        let credit = quotas.admit(tenant, Instant::now());
        credit.map(Some).map_err(|retry_after| Refusal {
            retry_after: Some(retry_after),
            ..Refusal::not_run(Reason::OverQuota)
        })
    }

    /// Tries targets until one answers, the attempts or the retry budget are used up, or the kind
    /// of failure, the time left or a lack of targets rules out another attempt.
    async fn dispatch(&self, call: &Call) -> Result<Response, Refusal> {
        let mut progress = Progress {
            turn: self.directory.canary.begin_call(&call.service),
            ..Progress::default()
        };
        loop {
            let (ranked, choice) = self.place(call, &progress);
            let Some(choice) = choice else {
                if progress.overload_refusals == 0 && may_wait_for_target(call) {
                    tokio::time::sleep(TARGET_LOOKUP_INTERVAL).await;
                    // No other target is left, so those already tried are tried again.
                    progress.excluded_nodes.clear();
                    continue;
                }
                return progress.finish(Refusal::not_run(Reason::NoTarget));
            };
            let endpoint = &ranked[choice.index];
            let max_wait = call.longest_wait(&choice);
            progress.turn.end();
            let result = self
                .attempt_with_hedge(call, endpoint, max_wait, &mut progress)
                .await;
            let refusal = match result {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            let overloaded = refusal.reason == Reason::Overloaded;
            if overloaded {
                self.overloads
                    .record(&call.service, &endpoint.entry.data_center);
            }
            progress.overload_refusals += usize::from(overloaded);
            progress.excluded_nodes.push(endpoint.entry.node.clone());
            progress.record(refusal);
            if overloaded && choice.last || !self.may_retry(call, &mut progress) {
                return progress.finish(refusal);
            }
        }
    }

    /// Ranks the targets for the next attempt of a call, and chooses one of them.
    pub(super) fn place(
        &self,
        call: &Call,
        progress: &Progress,
    ) -> (Vec<Arc<Endpoint>>, Option<Choice>) {
        let ranked =
            self.directory
                .rank_versions(&call.demand(), &progress.excluded_nodes, progress.turn);
        let candidates = ranked.iter().map(|e| self.candidate(call, e));
        let choice = placement::choose(candidates, &call.placement(progress.overload_refusals));
        (ranked, choice)
    }

    /// What the choice of a target for a call depends on at one endpoint.
    fn candidate(&self, call: &Call, endpoint: &Endpoint) -> Candidate {
        let data_center = &endpoint.entry.data_center;
        let overloaded_for = || self.overloads.elapsed(&call.service, data_center);
        Candidate {
            full: endpoint.is_full(Instant::now()),
            round_trip: endpoint.round_trip(),
            remote: endpoint.remote,
            overloaded_for: endpoint.remote.then(overloaded_for).flatten(),
        }
    }

    /// Whether another attempt is worthwhile in the time left, safe, and allowed by the route and
    /// the retry budget. Withdraws from the budget if an earlier attempt may have reached a target.
    fn may_retry(&self, call: &Call, progress: &mut Progress) -> bool {
        if call.time_left() < call.expected_latency.mul_f64(MIN_TIME_LEFT_LATENCIES) {
            return false;
        }
        if progress.attempts_at_targets == 0 {
            return true;
        }
        let is_safe = call.route.idempotent || progress.verdict == Verdict::NotRun;
        is_safe && progress.attempts_at_targets < call.route.attempts && self.withdraw(call)
    }

    /// Withdraws one retry or hedge from the budget and from the quota of the tenant, and counts
    /// whether it was granted.
    fn withdraw(&self, call: &Call) -> bool {
        let credit = self.take_credit(call);
        let granted = credit.is_ok() && self.budget.withdraw(&call.service, self.directory.len());
        if let (Ok(Some(credit)), false) = (credit, granted) {
            credit.refund();
        }
        self.counters
            .count(if granted { "repeats" } else { "repeats_denied" });
        granted
    }

    /// Runs one attempt, and a hedge at a second target if the call is idempotent and the first
    /// attempt has not ended after the hedge delay.
    async fn attempt_with_hedge(
        &self,
        call: &Call,
        endpoint: &Arc<Endpoint>,
        max_wait: Duration,
        progress: &mut Progress,
    ) -> Result<Response, Refusal> {
        let first_attempt = attempt::run(
            &self.runner,
            &self.directory.canary,
            call,
            endpoint,
            max_wait,
            progress.attempts_at_targets > 0,
        );
        tokio::pin!(first_attempt);
        if !call.route.idempotent {
            return self.record_outcome(call, first_attempt.await, progress);
        }
        let hedge_delay = call
            .route
            .objective
            .mul_f64(HEDGE_DELAY_OBJECTIVE_SHARE)
            .max(call.expected_latency.mul_f64(MIN_HEDGE_DELAY_LATENCIES))
            .saturating_sub(call.received_at.elapsed());
        tokio::select! {
            outcome = &mut first_attempt => return self.record_outcome(call, outcome, progress),
            () = tokio::time::sleep(hedge_delay) => {}
        }
        let Some(second_endpoint) = self.hedge_target(call, endpoint, progress) else {
            return self.record_outcome(call, first_attempt.await, progress);
        };
        progress
            .excluded_nodes
            .push(second_endpoint.entry.node.clone());
        log::info!(
            event = "hedge",
            request_id = call.request_id.as_str(),
            first = endpoint.entry.node.as_str(),
            second = second_endpoint.entry.node.as_str();
            "no answer within the hedge delay; sending the request to a second target"
        );
        let second_attempt = attempt::run(
            &self.runner,
            &self.directory.canary,
            call,
            &second_endpoint,
            Duration::ZERO,
            true,
        );
        tokio::pin!(second_attempt);
        let (outcome, first_ended) = tokio::select! {
            outcome = &mut first_attempt => (outcome, true),
            outcome = &mut second_attempt => (outcome, false),
        };
        let answer = self.record_outcome(call, outcome, progress);
        if answer
            .as_ref()
            .is_ok_and(|response| !response.status.is_server_error())
        {
            // The other attempt is cancelled here, but its request may have reached its target.
            progress.attempts_at_targets += 1;
            return answer;
        }
        let other_outcome = if first_ended {
            second_attempt.await
        } else {
            first_attempt.await
        };
        let other_answer = self.record_outcome(call, other_outcome, progress);
        match (answer, other_answer) {
            (_, Ok(response)) | (Ok(response), Err(_)) => Ok(response),
            (Err(one), Err(other)) => Err(more_severe(one, other)),
        }
    }

    /// Chooses the second target of a hedge and withdraws the hedge from the retry budget. Returns
    /// `None` if there is no other target, the best one has no spare slots, or the route or the
    /// budget don't allow the hedge.
    fn hedge_target(
        &self,
        call: &Call,
        first_endpoint: &Endpoint,
        progress: &Progress,
    ) -> Option<Arc<Endpoint>> {
        let mut excluded = progress.excluded_nodes.clone();
        excluded.push(first_endpoint.entry.node.clone());
        let ranked = self
            .directory
            .rank_versions(&call.demand(), &excluded, progress.turn);
        let candidate = ranked.into_iter().next()?;
        let nodes = self.directory.len();
        let allowed = progress.attempts_at_targets + 1 < call.route.attempts
            && candidate.has_spare_slots(Instant::now())
            && self.budget.remaining(&call.service, nodes) > HEDGE_RESERVE_RETRIES
            && self.withdraw(call);
        allowed.then_some(candidate)
    }

    /// Records how an attempt ended. A server error in answer to an idempotent call becomes a
    /// refusal, so that the call may be retried; the response is kept in case no other attempt
    /// succeeds.
    fn record_outcome(
        &self,
        call: &Call,
        outcome: Outcome,
        progress: &mut Progress,
    ) -> Result<Response, Refusal> {
        progress.attempts_at_targets += u32::from(outcome.may_have_reached_target);
        let response = outcome.answer?;
        if response.status.is_success()
            && let (Some(costs), Some((shape, _))) = (&self.costs, &call.estimated)
            && let Some(run_time) = outcome.run_time
        {
            let mut costs = costs.lock().unwrap_or_else(PoisonError::into_inner);
            costs.learn(shape, run_time, Instant::now());
        }
        if response.status.is_success() {
            self.latencies
                .record(&call.route.name, call.received_at.elapsed());
        }
        if call.route.idempotent && response.status.is_server_error() {
            progress.failed_response = Some(response);
            return Err(Refusal::may_have_run(Reason::Failed));
        }
        Ok(response)
    }

    /// Builds the mesh's own answer to a request that no target answered, and logs and counts it.
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
        // Requests over the quota have a log line of their own, at most one per second.
        if refusal.reason != Reason::OverQuota {
            log::info!(
                event = "refused",
                request_id = request_id,
                host = host(request),
                path = request.target.get(..MAX_LOGGED_PATH_BYTES).unwrap_or(&request.target),
                status = status.as_u16(),
                version = self.config.load().as_ref().map_or(0, |config| config.version.0),
                nodes = self.directory.len(),
                reason = reason.as_str(),
                verdict = verdict.as_str(),
                took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
                "no target answered a caller's request; responding with an error"
            );
        }
        let mut response = Response::text(status, &format!("{refusal}\n"));
        if matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        ) {
            let expected_wait = refusal.retry_after.unwrap_or_default();
            let after = match refusal.reason {
                // Already spread by the quota.
                Reason::OverQuota => expected_wait,
                _ => returning::retry_after(expected_wait, rand::random()),
            };
            let seconds = after.as_secs_f64();
            // RFC 9110 defines only whole seconds and dates; callers here accept decimals.
            if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.2}")) {
                response.headers.insert("retry-after", value);
            }
        }
        response
    }
}

/// Whether a call for which no target is left to try may wait for one.
fn may_wait_for_target(call: &Call) -> bool {
    call.received_at.elapsed() < call.route.objective.mul_f64(TARGET_WAIT_SHARE)
}

/// State of a call across its attempts.
pub(super) struct Progress {
    /// Part of the call in the trial of a canary release; it ends with the first attempt.
    turn: Turn,
    /// Nodes that are not tried again as long as others are left.
    excluded_nodes: Vec<String>,
    overload_refusals: usize,
    /// Number of attempts whose requests may have reached a target.
    attempts_at_targets: u32,
    /// Whether any attempt may have run.
    verdict: Verdict,
    /// Latest server error of a target, returned if no attempt succeeds.
    failed_response: Option<Response>,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            turn: Turn::default(),
            excluded_nodes: Vec::new(),
            overload_refusals: 0,
            attempts_at_targets: 0,
            verdict: Verdict::NotRun,
            failed_response: None,
        }
    }
}

impl Progress {
    /// Records whether the refused attempt may have run.
    fn record(&mut self, refusal: Refusal) {
        if refusal.verdict == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
    }

    /// Returns the result of the call: the server error of a target if there was one, else the
    /// refusal, with the verdict "may have run" if any attempt may have run.
    fn finish(self, refusal: Refusal) -> Result<Response, Refusal> {
        if let Some(response) = self.failed_response {
            return Ok(response);
        }
        Err(Refusal {
            verdict: self.verdict,
            ..refusal
        })
    }
}

/// Rank of a request: by the tenant's, and among equals by the route's. A request without a tenant
/// goes by its route's rank in place of the tenant's. Without tenants, the route's rank decides alone.
fn rank(tenants: &Tenants, route: &CompiledRoute, tenant: Option<&Tenant>) -> u32 {
    if tenants.is_empty() {
        return route.rank;
    }
    let of_tenant = tenant.and_then(|tenant| tenant.rank).unwrap_or(route.rank);
    of_tenant.min(MAX_RANK) * (MAX_RANK + 1) + route.rank.min(MAX_RANK)
}

fn host(request: &Request) -> &str {
    let host = request.headers.get("host").and_then(|h| h.to_str().ok());
    host.unwrap_or_default()
}

/// Prefers a refusal that says that the request may have run.
fn more_severe(one: Refusal, other: Refusal) -> Refusal {
    if one.verdict == Verdict::MayHaveRun {
        one
    } else {
        other
    }
}
