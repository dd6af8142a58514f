//! What a node knows of the orders, and its own counts of requests and answers.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::canary::verdict::{Fault, Judge};
use crate::canary::{Limits, Notice, Share, Stage, Tally};

/// Which targets a call may be sent to, as long as the service has others than those it excludes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Rule {
    /// Version that the order names.
    target: Arc<str>,
    /// Whether the call goes to targets of that version, and not to others.
    to_target: bool,
    /// In the trial, the share of the requests that goes to the version.
    trial_share: Option<f64>,
}

impl Rule {
    /// Whether a target of `version` may receive the call.
    pub(crate) fn allows(&self, version: &str) -> bool {
        (version == &*self.target) == self.to_target
    }

    /// Whether the version was found to be bad, so that it may receive nothing.
    pub(crate) fn is_withdrawn(&self) -> bool {
        !self.to_target && self.trial_share.is_none()
    }

    /// Number of targets of the version that a trial uses, if the call is part of one. Each of them
    /// gets about as many requests as one of the `others` targets, so that a fault that shows only
    /// under load shows in the trial.
    pub(crate) fn trial_targets(&self, others: usize) -> Option<usize> {
        let share = self.trial_share.filter(|_| self.to_target)?;
        Some(ceil(share * to_f64(others)).max(1))
    }
}

/// The part that one call has in a trial, decided once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Turn {
    /// Whether the next attempt goes to the target version.
    trial: bool,
}

impl Turn {
    /// Ends the part in the trial: a call that failed at the target version goes to another one.
    pub(crate) fn end(&mut self) {
        self.trial = false;
    }
}

/// What the node knows and counts for one service.
struct Service {
    notice: Notice,
    target: Arc<str>,
    /// Requests that the trial is owed; below 1 between calls. It starts at random, so that the
    /// shares of many nodes with few requests each add up to the share of all.
    owed: f64,
    /// Requests of callers of this node since the order.
    requests: u64,
    /// Attempts at targets of the version since the order.
    sent: u64,
    /// Attempts in flight at targets of other versions.
    in_flight: Arc<AtomicU32>,
    /// Tallies of the other versions and of the target version, by route.
    routes: BTreeMap<String, (Tally, Tally)>,
    judge: Judge,
    decayed_at: Instant,
}

impl Service {
    fn new(notice: Notice, now: Instant) -> Self {
        Self {
            target: notice.target.as_str().into(),
            notice,
            owed: rand::random(),
            requests: 0,
            sent: 0,
            in_flight: Arc::default(),
            routes: BTreeMap::new(),
            judge: Judge::default(),
            decayed_at: now,
        }
    }

    /// Takes over a newer notice. The counts go on if it is another stage, or if two drivers have
    /// started the trial of the same order.
    fn update(&mut self, notice: Notice, now: Instant) {
        let same_order = notice.order == self.notice.order;
        let same_trial = notice.target == self.notice.target && self.notice.stage == Stage::Trial;
        if same_order || same_trial {
            self.notice = notice;
        } else {
            *self = Self::new(notice, now);
        }
    }

    /// Lets older counts lose weight. Those of the other versions are kept once they receive no more
    /// requests.
    fn decay(&mut self, half_life: Duration, now: Instant) {
        let passed = now.saturating_duration_since(self.decayed_at);
        self.decayed_at = now;
        let factor = 0.5_f64.powf(passed.as_secs_f64() / half_life.as_secs_f64().max(0.001));
        for (old, new) in self.routes.values_mut() {
            if self.notice.stage == Stage::Trial {
                old.decay(factor);
            }
            new.decay(factor);
        }
    }

    fn share(&self) -> Share {
        Share {
            notice: self.notice.clone(),
            requests: self.requests,
            sent: self.sent,
            unsettled: self.notice.stage < Stage::Shift
                || self.in_flight.load(Ordering::Relaxed) > 0,
            routes: self.routes.clone(),
        }
    }
}

/// What this node knows of the orders, and its own counts.
pub(crate) struct Canary {
    /// Whether any order is known. The request path looks no further otherwise.
    known: AtomicBool,
    /// Number of notices learnt, and of changes that were notified.
    changes: watch::Sender<u64>,
    services: Mutex<HashMap<String, Service>>,
}

impl Default for Canary {
    fn default() -> Self {
        Self {
            known: AtomicBool::new(false),
            changes: watch::Sender::new(0),
            services: Mutex::default(),
        }
    }
}

impl Canary {
    /// Whether an order is known.
    pub(crate) fn is_known(&self) -> bool {
        self.known.load(Ordering::Relaxed)
    }

    /// Whether an order is running or its end is not stored yet.
    pub(crate) fn is_active(&self) -> bool {
        let services = self.lock();
        services.values().any(|s| !s.notice.stage.is_final())
    }

    /// Changes with every notice that is learnt and every call of [`Canary::notify`].
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes the subscribers.
    pub(crate) fn notify(&self) {
        self.changes.send_modify(|number| *number += 1);
    }

    /// Takes over a notice if it is newer than the known one, and returns whether it is.
    pub(crate) fn learn(&self, notice: &Notice, now: Instant) -> bool {
        let mut services = self.lock();
        if let Some(known) = services.get_mut(&notice.service) {
            if !notice.is_newer_than(&known.notice) {
                return false;
            }
            known.update(notice.clone(), now);
        } else {
            let service = Service::new(notice.clone(), now);
            services.insert(notice.service.clone(), service);
        }
        drop(services);
        self.known.store(true, Ordering::Relaxed);
        self.notify();
        log::info!(
            event = "rollout_stage",
            service = notice.service.as_str(),
            target = notice.target.as_str(),
            order = notice.order,
            stage = notice.stage.to_string().as_str();
            "stage of a rollout changed"
        );
        true
    }

    /// Notices of all orders that this node knows.
    pub(crate) fn notices(&self) -> Vec<Notice> {
        let services = self.lock();
        services.values().map(|s| s.notice.clone()).collect()
    }

    /// Notice of the order for a service.
    pub(crate) fn notice(&self, service: &str) -> Option<Notice> {
        self.lock().get(service).map(|s| s.notice.clone())
    }

    /// Counts a request to a service, and decides on its part in a trial.
    pub(crate) fn begin_call(&self, service: &str) -> Turn {
        if !self.is_known() {
            return Turn::default();
        }
        let mut services = self.lock();
        let Some(known) = services.get_mut(service) else {
            return Turn::default();
        };
        known.requests += 1;
        if known.notice.stage != Stage::Trial {
            return Turn::default();
        }
        known.owed += known.notice.share;
        let trial = known.owed >= 1.0;
        if trial {
            known.owed -= 1.0;
        }
        Turn { trial }
    }

    /// The rule for the next attempt of a call; `None` if all versions are equal.
    pub(crate) fn rule(&self, service: &str, turn: Turn) -> Option<Rule> {
        if !self.is_known() {
            return None;
        }
        let services = self.lock();
        let known = services.get(service)?;
        Some(Rule {
            target: known.target.clone(),
            to_target: match known.notice.stage {
                Stage::Trial => turn.trial,
                Stage::Shift | Stage::Done => true,
                Stage::Withdrawn | Stage::RolledBack => false,
            },
            trial_share: (known.notice.stage == Stage::Trial).then_some(known.notice.share),
        })
    }

    /// The rule for requests that arrive at a target: none may run at a version that the order has
    /// retired or withdrawn. A call of a trial, or of a node that does not know of the shift yet, may
    /// run at either version.
    pub(crate) fn arrival_rule(&self, service: &str) -> Option<Rule> {
        let stage = self.notice(service)?.stage;
        let binds = matches!(stage, Stage::Withdrawn | Stage::RolledBack | Stage::Done);
        self.rule(service, Turn::default()).filter(|_| binds)
    }

    /// Counts an attempt at a target of `version` until the returned guard is dropped. `None` if no
    /// order for the service is running. `counts_if_cancelled` says whether the time until the attempt
    /// is cancelled counts as its latency: without these, hedges would hide that a version is slow.
    pub(crate) fn begin_attempt(
        self: &Arc<Self>,
        service: &str,
        route: &str,
        version: &str,
        counts_if_cancelled: bool,
    ) -> Option<Flight> {
        if !self.is_known() {
            return None;
        }
        let mut services = self.lock();
        let known = services.get_mut(service)?;
        if known.notice.stage.is_final() {
            return None;
        }
        let at_target = version == &*known.target;
        let others = (!at_target).then(|| known.in_flight.clone());
        if let Some(in_flight) = &others {
            in_flight.fetch_add(1, Ordering::Relaxed);
        }
        known.sent += u64::from(at_target);
        Some(Flight {
            canary: self.clone(),
            service: service.to_owned(),
            route: route.to_owned(),
            order: known.notice.order,
            at_target,
            others,
            began: counts_if_cancelled.then(Instant::now),
        })
    }

    /// Counts by service of the orders that are running or whose end is not stored yet.
    pub(crate) fn shares(&self, limits: &Limits, now: Instant) -> Vec<Share> {
        let mut services = self.lock();
        let running = services.values_mut().filter(|s| !s.notice.stage.is_final());
        running
            .map(|service| {
                service.decay(limits.half_life(), now);
                service.share()
            })
            .collect()
    }

    /// Judges the versions by this node's own counts; returns the withdrawals of bad ones.
    pub(crate) fn judge(&self, limits: &Limits, now: Instant) -> Vec<(Notice, Fault)> {
        let mut services = self.lock();
        let running = services
            .values_mut()
            .filter(|s| s.notice.stage.is_running());
        let judged = running.filter_map(|service| {
            let routes = service.routes.values();
            let fault = service.judge.judge(routes, limits.confirmation(), now)?;
            Some((service.notice.at(Stage::Withdrawn), fault))
        });
        judged.collect()
    }

    fn record(&self, flight: &Flight, bad: bool, latency: Option<Duration>) {
        let mut services = self.lock();
        let Some(known) = services.get_mut(&flight.service) else {
            return;
        };
        if known.notice.order != flight.order {
            return;
        }
        if !known.routes.contains_key(&flight.route) {
            known
                .routes
                .insert(flight.route.clone(), Default::default());
        }
        if let Some((old, new)) = known.routes.get_mut(&flight.route) {
            let tally = if flight.at_target { new } else { old };
            tally.record(bad, latency);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Service>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An attempt at a target while an order for its service is running.
pub(crate) struct Flight {
    canary: Arc<Canary>,
    service: String,
    route: String,
    order: u64,
    at_target: bool,
    /// Attempts in flight at other versions, unless this is one at the target version.
    others: Option<Arc<AtomicU32>>,
    /// When the attempt began, if its latency counts when it is cancelled.
    began: Option<Instant>,
}

impl Flight {
    /// Counts the answer, or the loss of the request. `latency` is `None` if it does not count.
    pub(crate) fn finish(mut self, bad: bool, latency: Option<Duration>) {
        self.began = None;
        self.canary.record(&self, bad, latency);
    }

    /// Ends the attempt without an answer that says anything of the version.
    pub(crate) fn ignore(mut self) {
        self.began = None;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(began) = self.began {
            self.canary.record(self, false, Some(began.elapsed()));
        }
        if let Some(in_flight) = &self.others {
            in_flight.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive number"
)]
fn ceil(value: f64) -> usize {
    value.ceil() as usize
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
