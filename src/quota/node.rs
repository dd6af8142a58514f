//! The quotas at one node: admits requests, reports its use, and takes totals.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::quota::REPORT_PERIOD;
use crate::quota::decision::{self, Limits, SPAN, View};
use crate::quota::window::Window;
use crate::quota::wire::{Activity, Digest, TenantId, tenant_id};
use crate::telemetry::Counters;
use crate::tenant::Tenant;

/// Requests beyond twice the usual number from which a tenant is reported early.
const EARLY_REQUESTS: f64 = 1.5;
/// Bounds of the time after which a refused request may be sent again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Least time between two log lines about refused requests.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// One tenant at this node.
struct Account {
    used: Window,
    demand: Window,
    /// Sum of the shares of requests not yet admitted. Starts at the position of the node, so that
    /// nodes with few requests together admit the share.
    admission: f64,
    /// Requests admitted since the last totals.
    since_totals: u32,
    /// Demand when it was last reported.
    reported_demand: u32,
    totals: Activity,
}

struct State {
    accounts: HashMap<TenantId, Account>,
    /// Number of nodes in the directory, and of those in the last totals.
    nodes: u32,
    heard: u32,
    /// Arrival of the last totals.
    totals_at: Option<Instant>,
    /// Time of the last full report.
    reported_at: Option<Instant>,
    logged_at: Option<Instant>,
    refused_since_logged: u64,
}

/// Quotas of tenants at this node.
pub(crate) struct Quotas {
    limits: Limits,
    started: Instant,
    /// Distinguishes this node where shares are below one request.
    seed: u64,
    counters: Arc<Counters>,
    state: Mutex<State>,
}

/// An admitted request. Dropping it spends it.
pub(crate) struct Credit<'a> {
    quotas: &'a Quotas,
    tenant: TenantId,
    at: Instant,
}

impl Credit<'_> {
    /// Takes the request back: it has not run and never will.
    pub(crate) fn refund(self) {
        let mut state = self.quotas.lock();
        if let Some(account) = state.accounts.get_mut(&self.tenant) {
            account.used.remove(self.at);
            account.since_totals = account.since_totals.saturating_sub(1);
        }
    }
}

impl Quotas {
    /// Quotas of the node with this name, whose process starts now.
    pub(crate) fn new(limits: Limits, node: &str, counters: Arc<Counters>, now: Instant) -> Self {
        Self {
            limits,
            started: now,
            seed: xxh3_64(node.as_bytes()),
            counters,
            state: Mutex::new(State {
                accounts: HashMap::new(),
                // Until the directory is known, the share of this node is nothing.
                nodes: u32::MAX,
                heard: 0,
                totals_at: None,
                reported_at: None,
                logged_at: None,
                refused_since_logged: 0,
            }),
        }
    }

    /// Whether the process has run for a whole window.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= self.limits.window
    }

    /// Admits a request of a tenant, or returns the time after which a retry makes sense. A tenant
    /// without a quota always gets a credit.
    pub(crate) fn admit(&self, tenant: &Tenant, now: Instant) -> Result<Credit<'_>, Duration> {
        let id = tenant_id(&tenant.name);
        let credit = Credit {
            quotas: self,
            tenant: id,
            at: now,
        };
        let Some(quota) = tenant.quota else {
            return Ok(credit);
        };
        let mut state = self.lock();
        let (nodes, heard, totals_at) = (state.nodes, state.heard, state.totals_at);
        let account = state
            .accounts
            .entry(id)
            .or_insert_with(|| Account::new(self.limits.window, self.position(id)));
        account.demand.add(now);
        let view = View {
            totals: totals_at.map(|_| account.totals),
            age: totals_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at)),
            nodes: f64::from(nodes),
            heard: f64::from(heard),
            uptime: now.saturating_duration_since(self.started),
            own_used: f64::from(account.used.count(now)),
            since_totals: f64::from(account.since_totals),
            own_demand: f64::from(account.demand.count(now)),
            position: self.position(id),
        };
        let share = decision::admitted_share(&self.limits, quota, &view);
        account.admission = (account.admission + share).min(2.0);
        if share > 0.0 && account.admission >= 1.0 {
            account.admission -= 1.0;
            account.used.add(now);
            account.since_totals += 1;
            return Ok(credit);
        }
        self.counters.count("quota_refused");
        log_refusal(&mut state, &tenant.name, now);
        // Above the quota, a request finds a free place the later the smaller the admitted share
        // is. The jitter keeps callers from returning together.
        let wait = MAX_RETRY_AFTER.mul_f64((1.0 - share) * (0.3 + 0.7 * rand::random::<f64>()));
        Err(wait.max(MIN_RETRY_AFTER))
    }

    /// Number of nodes whose use the last totals hold.
    pub(crate) fn heard(&self) -> u32 {
        self.lock().heard
    }

    /// Sets the number of nodes in the directory.
    pub(crate) fn set_nodes(&self, nodes: usize) {
        self.lock().nodes = u32::try_from(nodes).unwrap_or(u32::MAX).max(1);
    }

    /// The report that is due, if any: all tenants with activity once in a report period, and between
    /// those the tenants whose demand rises.
    pub(crate) fn report(&self, now: Instant) -> Option<Digest> {
        let mut state = self.lock();
        let full = state
            .reported_at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_PERIOD);
        let mut tenants = Vec::new();
        for (id, account) in &mut state.accounts {
            let activity = account.activity(now);
            let usual =
                f64::from(activity.used) * SPAN.as_secs_f64() / self.limits.window.as_secs_f64();
            let usual = usual.max(f64::from(account.reported_demand));
            let surge = f64::from(activity.demand) >= 2.0 * usual + EARLY_REQUESTS;
            if activity != Activity::default() && (full || surge) {
                account.reported_demand = activity.demand;
                tenants.push((*id, activity));
            }
        }
        if full {
            state.reported_at = Some(now);
            let idle = |account: &mut Account| account.activity(now) == Activity::default();
            let unused = |account: &mut Account| account.totals == Activity::default();
            state
                .accounts
                .retain(|_, account| !(idle(account) && unused(account)));
        } else if tenants.is_empty() {
            return None;
        }
        let settled = now.saturating_duration_since(self.started) >= self.limits.window;
        Some(Digest {
            full,
            nodes: u32::from(settled),
            tenants,
        })
    }

    /// Takes totals of all nodes.
    pub(crate) fn apply_totals(&self, totals: &Digest, now: Instant) {
        let mut state = self.lock();
        state.totals_at = Some(now);
        state.heard = totals.nodes;
        if totals.full {
            for account in state.accounts.values_mut() {
                account.totals = Activity::default();
                account.since_totals = 0;
            }
        }
        for (id, activity) in &totals.tenants {
            let account = state
                .accounts
                .entry(*id)
                .or_insert_with(|| Account::new(self.limits.window, self.position(*id)));
            account.totals = *activity;
            account.since_totals = 0;
        }
    }

    fn position(&self, tenant: TenantId) -> f64 {
        let hash = xxh3_64(&(self.seed ^ u64::from(tenant)).to_le_bytes());
        f64::from(u32::try_from(hash >> 32).unwrap_or_default()) / f64::from(u32::MAX)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Account {
    fn new(window: Duration, position: f64) -> Self {
        Self {
            used: Window::new(window),
            demand: Window::new(SPAN),
            admission: position,
            since_totals: 0,
            reported_demand: 0,
            totals: Activity::default(),
        }
    }

    fn activity(&mut self, now: Instant) -> Activity {
        Activity {
            used: self.used.count(now),
            lost: 0,
            expiring: self.used.expiring(now, SPAN),
            demand: self.demand.count(now),
        }
    }
}

/// Logs the requests refused since the last line, at most once per [`LOG_PERIOD`].
fn log_refusal(state: &mut State, tenant: &str, now: Instant) {
    state.refused_since_logged += 1;
    let due = state
        .logged_at
        .is_none_or(|at| now.saturating_duration_since(at) >= LOG_PERIOD);
    if due {
        state.logged_at = Some(now);
        let refused = std::mem::take(&mut state.refused_since_logged);
        log::info!(
            event = "over_quota",
            tenant = tenant,
            refused = refused;
            "requests over their tenants' quotas refused since the last such line"
        );
    }
}
