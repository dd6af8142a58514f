//! Canary releases at a node: exchanges counts and stages with other nodes, and drives the orders
//! while this node ranks first. The decisions are in [`crate::canary`].

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;

use crate::canary::election::{self, Candidate};
use crate::canary::plan::{self, Facts, Pace};
use crate::canary::{
    Limits, Message, Notice, Order, Record, Report, Reports, Share, Stage, Sum, Sums,
};
use crate::dialect::Dialect;
use crate::directory::Endpoint;
use crate::error::{Error, Result};
use crate::sidecar::hub::Hub;
use crate::store::{Change, Table, Transaction};
use crate::telemetry::Counters;

/// Interval of reports and decisions while an order is running. A shift, a withdrawal and a report
/// each wait for at most one interval, which leaves most of the rollback time to the comparison.
const PERIOD: Duration = Duration::from_millis(200);
/// Interval of the driver's steps while an order is running, shorter because the last two are taken
/// within the last second before the deadline.
const DRIVE_PERIOD: Duration = Duration::from_millis(100);
/// Time for which a node has to be unreachable until its reports are not awaited: longer than a
/// lost connection takes to be replaced.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);
/// Time after the deadline for which a node that does not drive an order waits for its end.
const END_GRACE: Duration = Duration::from_secs(30);

/// What other nodes have reported.
#[derive(Default)]
pub(super) struct Inbox {
    reports: Mutex<Reports>,
    sums: Mutex<Sums>,
    /// Nodes that the store does not answer, by their own account.
    store_lost: Mutex<HashSet<String>>,
}

impl Inbox {
    /// Records whether the store answers a node.
    pub(super) fn record_store(&self, node: &str, reachable: bool) {
        let mut lost = lock(&self.store_lost);
        if reachable {
            lost.remove(node);
        } else if !lost.contains(node) {
            lost.insert(node.to_owned());
        }
    }
}

/// Applies a message of another node; returns the notices that its sender does not know.
pub(super) fn apply(hub: &Hub, message: Message) -> Option<Message> {
    let now = Instant::now();
    let canary = &hub.directory.canary;
    let known_to_sender: Vec<Notice> = match &message {
        Message::Notices(notices) => notices.clone(),
        Message::Report(Report { shares, .. }) | Message::Sum(Sum { shares, .. }) => {
            shares.iter().map(|share| share.notice.clone()).collect()
        }
    };
    let learnt: Vec<Notice> = known_to_sender
        .iter()
        .filter(|notice| canary.learn(notice, now))
        .cloned()
        .collect();
    if !learnt.is_empty() && is_aggregator(hub) {
        send_to_data_center(hub, &learnt);
    }
    match message {
        Message::Notices(_) => return None,
        Message::Report(report) => lock(&hub.releases.reports).insert(report, now),
        Message::Sum(sum) => lock(&hub.releases.sums).insert(sum, now),
    }
    let newer = known_to_sender.iter().filter_map(|notice| {
        let own = canary.notice(&notice.service)?;
        own.is_newer_than(notice).then_some(own)
    });
    let newer: Vec<Notice> = newer.collect();
    (!newer.is_empty()).then_some(Message::Notices(newer))
}

fn send_to_data_center(hub: &Hub, notices: &[Notice]) {
    for link in hub.directory.data_center_links() {
        link.send_canary(Message::Notices(notices.to_vec()));
    }
}

fn candidate<'a>(endpoint: &'a Endpoint, lost: &HashSet<String>) -> Candidate<'a> {
    let link = endpoint.link.as_ref();
    Candidate {
        node: &endpoint.entry.node,
        data_center: &endpoint.entry.data_center,
        reachable: link.is_none_or(|link| !link.is_unreachable()),
        has_store: !lost.contains(&endpoint.entry.node),
    }
}

/// Name of the node that adds up the reports of this data centre.
fn aggregator(hub: &Hub) -> Option<String> {
    let members = hub.directory.members(true);
    let none = HashSet::new();
    let candidates = members.iter().map(|member| candidate(member, &none));
    let first = election::aggregators(candidates).into_values().next();
    first.map(str::to_owned)
}

fn is_aggregator(hub: &Hub) -> bool {
    aggregator(hub).is_some_and(|node| node == hub.own_entry().node)
}

/// Whether a node has been unreachable for so long that its process has probably ended.
fn is_gone(endpoint: &Endpoint) -> bool {
    let unreachable_for = endpoint.link.as_ref().and_then(|l| l.unreachable_for());
    unreachable_for.is_some_and(|duration| duration > UNREACHABLE_AFTER)
}

/// Progress of an order, and what is known of its row.
#[derive(Clone)]
struct Progress {
    record: Record,
    /// Revision of the row; 0 if there is none.
    revision: u64,
    /// Whether the row holds the record.
    is_stored: bool,
}

/// An order that this node has read from the store.
struct Known {
    order: Order,
    /// Revision of the order's row.
    row: u64,
    /// Time of day at which it was read.
    seen_ms: u64,
    deleted: bool,
    /// The progress; `None` until its row is read, and after the outcome of a write is unknown.
    progress: Option<Progress>,
    pace: Pace,
    /// When this node, as the driver, first saw the order at the stage of the shift.
    shifted_at: Option<Instant>,
    /// Whether targets of the version served before this node knew the order.
    served_before: bool,
    /// Whether the end of the order is stored.
    finished: bool,
}

/// Canary releases at this node.
pub(super) struct Rollouts {
    hub: Arc<Hub>,
    table: Arc<dyn Table>,
    dialect: Arc<dyn Dialect>,
    counters: Arc<Counters>,
    /// Bounds; this node drives no orders without them.
    driven: Option<Limits>,
    /// Orders by service.
    orders: Mutex<BTreeMap<String, Known>>,
    /// Whether this node ranks first.
    is_driver: AtomicBool,
    /// Notices that this node has sent to all nodes since it ranks first, by service.
    announced: Mutex<HashMap<String, Notice>>,
}

impl Rollouts {
    pub(super) fn new(
        hub: Arc<Hub>,
        table: Arc<dyn Table>,
        dialect: Arc<dyn Dialect>,
        counters: Arc<Counters>,
        driven: Option<Limits>,
    ) -> Arc<Self> {
        Arc::new(Self {
            hub,
            table,
            dialect,
            counters,
            driven,
            orders: Mutex::default(),
            is_driver: AtomicBool::new(false),
            announced: Mutex::default(),
        })
    }

    /// Applies changes of the table that holds the orders.
    pub(super) fn apply_changes(&self, changes: &[Change]) {
        if self.driven.is_none() {
            return;
        }
        let prefix = self.dialect.order_prefix();
        for change in changes {
            match change {
                Change::Written(row) if row.key.starts_with(prefix) => {
                    match self.dialect.parse_order(&row.key, &row.value) {
                        Ok(order) => self.apply_order(order, row.revision),
                        Err(fault) => log::warn!(
                            event = "rollout_rejected",
                            key = row.key.as_str();
                            "order ignored: {fault}"
                        ),
                    }
                }
                Change::Deleted(key) => {
                    let service = key.strip_prefix(prefix);
                    let mut orders = lock(&self.orders);
                    if let Some(known) = service.and_then(|service| orders.get_mut(service)) {
                        known.deleted = true;
                        known.finished = false;
                        drop(orders);
                        self.hub.directory.canary.notify();
                    }
                }
                Change::Written(_) => {}
            }
        }
    }

    fn apply_order(&self, order: Order, row: u64) {
        let mut orders = lock(&self.orders);
        if let Some(known) = orders.get_mut(&order.service)
            && (known.row, known.deleted) == (row, false)
            && known.order == order
        {
            // Only snapshots repeat a row. The store may have lost the progress of the order.
            known.progress = None;
            known.finished = false;
            drop(orders);
            self.hub.directory.canary.notify();
            return;
        }
        log::info!(
            event = "rollout_order",
            service = order.service.as_str(),
            target = order.target.as_str(),
            duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
            row = row;
            "order of a rollout read"
        );
        self.counters.count("rollout.orders");
        let known = Known {
            row,
            seen_ms: now_ms(),
            deleted: false,
            progress: None,
            pace: Pace::default(),
            shifted_at: None,
            served_before: self
                .hub
                .directory
                .serves_version(&order.service, &order.target),
            finished: false,
            order,
        };
        orders.insert(known.order.service.clone(), known);
        drop(orders);
        self.hub.directory.canary.notify();
    }

    fn limits(&self) -> Limits {
        self.driven.unwrap_or_default()
    }

    /// Whether anything is left to do for an order.
    fn is_busy(&self) -> bool {
        self.hub.directory.canary.is_active() || self.has_open_orders()
    }

    fn has_open_orders(&self) -> bool {
        lock(&self.orders).values().any(|known| !known.finished)
    }

    /// Exchanges counts and stages with other nodes while an order is running, until `stopped` closes.
    pub(super) async fn exchange(self: Arc<Self>, mut stopped: watch::Receiver<()>) {
        let mut changes = self.hub.directory.canary.subscribe();
        loop {
            changes.mark_unchanged();
            if self.hub.directory.canary.is_known() || self.has_open_orders() {
                self.exchange_once();
            }
            if !self.wait(PERIOD, &mut changes, &mut stopped).await {
                return;
            }
        }
    }

    /// Drives the orders while this node ranks first, until `stopped` closes.
    pub(super) async fn drive(self: Arc<Self>, mut stopped: watch::Receiver<()>) {
        let Some(limits) = self.driven else {
            return;
        };
        let mut changes = self.hub.directory.canary.subscribe();
        loop {
            changes.mark_unchanged();
            let has_store = self.hub.store_reachable.load(Ordering::Relaxed);
            // Only the watcher reads orders, so the orders of another node may be outdated.
            let is_driver = self.is_driver.load(Ordering::Relaxed) && self.hub.is_watcher();
            if has_store && is_driver {
                self.drive_once(&limits).await;
            }
            if !self.wait(DRIVE_PERIOD, &mut changes, &mut stopped).await {
                return;
            }
        }
    }

    /// Waits for the next change, or for `period` if an order is running. Returns `false` once
    /// `stopped` closes.
    async fn wait(
        &self,
        period: Duration,
        changes: &mut watch::Receiver<u64>,
        stopped: &mut watch::Receiver<()>,
    ) -> bool {
        let busy = self.is_busy();
        tokio::select! {
            () = tokio::time::sleep(period), if busy => true,
            result = changes.changed() => result.is_ok(),
            _ = stopped.changed() => false,
        }
    }

    /// Judges by the counts of this node, and reports them. The aggregator of the data centre judges by
    /// the sum and reports that; the driver judges by the total.
    fn exchange_once(&self) {
        let now = Instant::now();
        let limits = self.limits();
        let (hub, canary) = (&self.hub, &self.hub.directory.canary);
        for (notice, fault) in canary.judge(&limits, now) {
            self.withdraw(&notice, &fault.to_string(), "node");
        }
        let mut shares = canary.shares(&limits, now);
        for share in &mut shares {
            share.unsettled |= self.is_retiring(&share.notice);
        }
        let own = hub.own_entry();
        let aggregates = aggregator(hub).is_none_or(|aggregator| {
            if aggregator == own.node {
                return true;
            }
            if let Some(link) = hub.directory.find(&aggregator).and_then(|e| e.link.clone())
                && !shares.is_empty()
            {
                link.send_canary(Message::Report(Report {
                    node: own.node.clone(),
                    incarnation: own.incarnation,
                    shares: shares.clone(),
                }));
                link.ping();
            }
            false
        });
        if aggregates {
            shares = self.sum_reports(&shares, now);
        }
        if aggregates || self.has_open_orders() {
            self.report_sum(aggregates.then_some(shares), now);
        } else {
            self.is_driver.store(false, Ordering::Relaxed);
        }
    }

    /// Whether the target beside this node is one that the order retires, and still busy.
    fn is_retiring(&self, notice: &Notice) -> bool {
        let target = self.hub.own_entry().target;
        let load = self.hub.runner.load();
        let is_old = |target: &crate::link::Target| {
            target.service == notice.service && target.version != notice.target
        };
        target.as_ref().is_some_and(is_old) && load.running + load.queued > 0
    }

    /// Adds the reports of the data centre to the node's own `shares`, and judges by the sum. Nodes
    /// without a recent report may not know the orders, and get their notices.
    fn sum_reports(&self, shares: &[Share], now: Instant) -> Vec<Share> {
        let (hub, canary) = (&self.hub, &self.hub.directory.canary);
        let own = hub.own_entry().node;
        let members = hub.directory.members(true);
        let awaited: Vec<(String, u64)> = members
            .iter()
            .filter(|member| member.entry.node != own && !is_gone(member))
            .map(|member| (member.entry.node.clone(), member.entry.incarnation))
            .collect();
        let mut reports = lock(&hub.releases.reports);
        let missing = reports.missing(&awaited, now);
        let sums = reports.sum(shares, !missing.is_empty(), now);
        let withdrawals = reports.judge(&sums, &self.limits(), now);
        drop(reports);
        if !shares.is_empty() {
            for node in missing {
                if let Some(link) = hub.directory.find(node).and_then(|e| e.link.clone()) {
                    link.send_canary(Message::Notices(canary.notices()));
                    link.ping();
                }
            }
        }
        for (notice, fault) in withdrawals {
            self.withdraw(&notice, &fault.to_string(), "data centre");
        }
        sums
    }

    /// Sends the sum of the data centre to the driver, if this node is the aggregator. As the driver,
    /// judges by the total and sends changes to all nodes.
    fn report_sum(&self, shares: Option<Vec<Share>>, now: Instant) {
        let hub = &self.hub;
        let own = hub.own_entry();
        let members = hub.directory.members(false);
        let driver = {
            let mut lost = lock(&hub.releases.store_lost).clone();
            if !hub.store_reachable.load(Ordering::Relaxed) {
                lost.insert(own.node.clone());
            }
            let candidates = members.iter().map(|member| candidate(member, &lost));
            election::driver(candidates).map(str::to_owned)
        };
        let is_driver = driver.as_deref() == Some(own.node.as_str());
        if self.is_driver.swap(is_driver, Ordering::Relaxed) != is_driver {
            // Another node may have written rows meanwhile.
            for known in lock(&self.orders).values_mut() {
                known.progress = None;
            }
            lock(&self.announced).clear();
            if is_driver {
                hub.directory.canary.notify();
            }
        }
        let sum = shares.map(|shares| Sum {
            data_center: own.data_center.clone(),
            shares,
        });
        if !is_driver {
            self.close_overdue_orders();
            let driver = members
                .iter()
                .find(|member| driver.as_deref() == Some(member.entry.node.as_str()));
            if let Some(link) = driver.and_then(|driver| driver.link.as_ref()) {
                if let Some(sum) = sum.filter(|sum| !sum.shares.is_empty()) {
                    link.send_canary(Message::Sum(sum));
                }
                link.ping();
            }
            return;
        }
        if let Some(sum) = sum {
            lock(&hub.releases.sums).insert(sum, now);
        }
        for notice in hub.directory.canary.notices() {
            if notice.stage.is_running() {
                let mut sums = lock(&hub.releases.sums);
                let total = sums.total(&notice, now);
                let fault = sums.judge(&total, &self.limits(), now);
                drop(sums);
                if let Some(fault) = fault {
                    self.withdraw(&notice, &fault.to_string(), "all nodes");
                }
            }
        }
        self.announce();
    }

    /// Sends the notices that have changed to all nodes.
    fn announce(&self) {
        let mut announced = lock(&self.announced);
        let notices = self.hub.directory.canary.notices();
        let is_new = |notice: &Notice| announced.get(&notice.service) != Some(notice);
        let changed: Vec<Notice> = notices.into_iter().filter(is_new).collect();
        if changed.is_empty() {
            return;
        }
        for link in self.hub.directory.links() {
            link.send_canary(Message::Notices(changed.clone()));
        }
        for notice in changed {
            announced.insert(notice.service.clone(), notice);
        }
    }

    /// Withdraws a version that was found to be bad by the counts of `scope`.
    fn withdraw(&self, notice: &Notice, fault: &str, scope: &str) {
        let withdrawal = notice.at(Stage::Withdrawn);
        if !self.hub.directory.canary.learn(&withdrawal, Instant::now()) {
            return;
        }
        self.counters.count("rollout.withdrawals");
        log::warn!(
            event = "rollout_verdict",
            service = notice.service.as_str(),
            target = notice.target.as_str(),
            fault = fault,
            scope = scope;
            "the version of a rollout is bad; sending it no more requests"
        );
        if is_aggregator(&self.hub) {
            send_to_data_center(&self.hub, &[withdrawal]);
        }
    }

    /// Gives up waiting for the end of orders that another node drives.
    fn close_overdue_orders(&self) {
        let canary = &self.hub.directory.canary;
        for known in lock(&self.orders).values_mut() {
            let end = known.order.duration + END_GRACE;
            let overdue = Duration::from_millis(now_ms().saturating_sub(known.seen_ms)) > end;
            let notice = canary.notice(&known.order.service);
            let ended = notice.is_some_and(|notice| {
                notice.order >= known.seen_ms.saturating_sub(millis(END_GRACE))
                    && notice.target == known.order.target
                    && notice.stage.is_final()
            });
            known.finished |= overdue || ended;
        }
    }

    async fn drive_once(&self, limits: &Limits) {
        let open: Vec<String> = lock(&self.orders)
            .iter()
            .filter(|(_, known)| !known.finished)
            .map(|(service, _)| service.clone())
            .collect();
        for service in open {
            if let Err(error) = self.drive_order(&service, limits).await {
                self.counters.count("rollout.store_errors");
                log::debug!(
                    event = "rollout_store_error",
                    service = service.as_str();
                    "progress of a rollout not read or written; trying again: {error}"
                );
            }
        }
    }

    /// Takes the next step of one order, if one is due.
    pub(super) async fn drive_order(&self, service: &str, limits: &Limits) -> Result<()> {
        if !self.load_progress(service, limits).await? {
            return Ok(());
        }
        let canary = &self.hub.directory.canary;
        let Some(notice) = canary.notice(service) else {
            return Ok(());
        };
        let Some((progress, next)) = self.decide(service, &notice) else {
            return Ok(());
        };
        if next == Stage::Withdrawn {
            self.withdraw(&notice, "order deleted", "driver");
            return Ok(());
        }
        if progress.is_stored && next == progress.record.stage {
            if next.is_final() {
                self.finish(service, &progress.record);
            }
            return Ok(());
        }
        let record = Record {
            stage: next,
            ..progress.record
        };
        if !self
            .write_progress(service, record, progress.revision)
            .await?
        {
            return Ok(());
        }
        // Only now do nodes learn of the stage: no other driver can have stored another one.
        if canary.learn(&notice.at(next), Instant::now()) && next.is_final() {
            self.counters.count(&format!("rollout.{next}"));
        }
        Ok(())
    }

    /// The progress of an order, and the stage that is due.
    fn decide(&self, service: &str, notice: &Notice) -> Option<(Progress, Stage)> {
        let now = Instant::now();
        let directory = &self.hub.directory;
        let members = directory.members(false);
        let present = members.iter().filter(|member| !is_gone(member));
        let mut data_centers: Vec<&str> = present
            .map(|member| member.entry.data_center.as_str())
            .collect();
        data_centers.sort_unstable();
        data_centers.dedup();
        let mut sums = lock(&self.hub.releases.sums);
        let total = sums.total(notice, now);
        let suspected = sums.is_suspected(service);
        let complete = sums.missing(&data_centers, now).is_empty();
        drop(sums);
        let mut orders = lock(&self.orders);
        let known = orders.get_mut(service)?;
        let progress = known.progress.clone()?;
        let record = &progress.record;
        if notice.target != record.target && notice.order > record.order {
            // Another driver has started a newer order, which has not reached this node yet.
            return None;
        }
        let elapsed = Duration::from_millis(now_ms().saturating_sub(record.order));
        let (requests, sent) = (to_f64(total.requests), to_f64(total.sent));
        let per_s = known.pace.update(elapsed, requests);
        let share_before = if known.served_before {
            directory.version_share(service, &record.target)
        } else {
            0.0
        };
        // A stage that the nodes have learnt is not taken back, whatever the row says.
        let same_order = notice.target == record.target && notice.order >= record.order;
        let stage = if same_order {
            record.stage.max(notice.stage)
        } else {
            record.stage
        };
        if stage == Stage::Shift {
            known.shifted_at.get_or_insert(now);
        }
        let facts = Facts {
            elapsed,
            duration: record.duration,
            requests,
            sent: sent + per_s * plan::ORDER_DELAY.as_secs_f64() * share_before,
            per_s,
            target_serves: directory.serves_version(service, &record.target),
            withdrawn: known.deleted,
            shifted_for: known
                .shifted_at
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
            suspected,
            settled: complete && !total.unsettled,
        };
        let next = plan::next(stage, &facts, &self.limits());
        Some((progress, next))
    }

    /// Makes sure that the progress of an order is known: reads its row, or starts the order. Returns
    /// `false` if there is nothing to do.
    pub(super) async fn load_progress(&self, service: &str, limits: &Limits) -> Result<bool> {
        let (order, row, deleted) = {
            let orders = lock(&self.orders);
            let Some(known) = orders.get(service) else {
                return Ok(false);
            };
            if known.progress.is_some() {
                return Ok(true);
            }
            (known.order.clone(), known.row, known.deleted)
        };
        let key = self.dialect.progress_key(service);
        let found = self.table.get(&key).await?;
        let revision = found.as_ref().map_or(0, |found| found.revision);
        let record = found.and_then(|found| self.dialect.parse_progress(&found.value).ok());
        let last_order = record.as_ref().map(|record| record.order);
        let record = record.filter(|record| record.belongs_to(&order, row, now_ms()));
        let progress = match record {
            // The row of the order may have been written again, with the same content.
            Some(record) => Progress {
                is_stored: record.row == row,
                record: Record { row, ..record },
                revision,
            },
            None if deleted => {
                if let Some(known) = lock(&self.orders).get_mut(service) {
                    known.finished = true;
                }
                return Ok(false);
            }
            // No record, or that of an earlier order, which is replaced.
            None => Progress {
                record: self.start(&order, row, last_order),
                revision,
                is_stored: false,
            },
        };
        let notice = Notice {
            service: order.service.clone(),
            target: progress.record.target.clone(),
            order: progress.record.order,
            stage: progress.record.stage,
            share: limits.trial_share(),
        };
        // Nodes apply the first stage before it is stored: it only limits what they send.
        self.hub.directory.canary.learn(&notice, Instant::now());
        if let Some(known) = lock(&self.orders).get_mut(service)
            && known.row == row
        {
            known.progress = Some(progress);
        }
        Ok(true)
    }

    /// The record of an order that has none: the nodes may know the order from a driver that could
    /// not store it, or that stored it in a store that has lost it.
    /// `last_order` is the one whose record is stored.
    fn start(&self, order: &Order, row: u64, last_order: Option<u64>) -> Record {
        let known = self.hub.directory.canary.notice(&order.service);
        let now = now_ms();
        let record = |id, stage| Record {
            order: id,
            row,
            target: order.target.clone(),
            duration: order.duration,
            stage,
        };
        let is_lost =
            |known: &&Notice| known.target == order.target && last_order != Some(known.order);
        let same = known.as_ref().filter(is_lost);
        let same = same.map(|known| record(known.order, known.stage));
        if let Some(same) = same.filter(|same| same.belongs_to(order, 0, now)) {
            return same;
        }
        let above = known.map_or(0, |known| known.order + 1);
        record(now.max(above), Stage::Trial)
    }

    /// Writes the progress of an order if its row is still the one that was read. Returns `false` if it
    /// is not, or the order was replaced meanwhile.
    async fn write_progress(&self, service: &str, record: Record, revision: u64) -> Result<bool> {
        let key = self.dialect.progress_key(service);
        let value = self.dialect.render_progress(&record);
        let transaction = Transaction::default()
            .require(&key, revision)
            .put(&key, &value);
        let written = self.table.transact(&transaction).await;
        let mut orders = lock(&self.orders);
        let known = orders.get_mut(service);
        let Some(known) = known.filter(|known| known.row == record.row) else {
            return Ok(false);
        };
        match written {
            Ok(revision) => {
                known.progress = Some(Progress {
                    record,
                    revision,
                    is_stored: true,
                });
                Ok(true)
            }
            Err(error) => {
                // Another driver has written it, or the outcome is unknown: it is read again.
                known.progress = None;
                match error {
                    Error::Conflict(_) => Ok(false),
                    error => Err(error),
                }
            }
        }
    }

    /// Ends the work on an order whose end is stored.
    fn finish(&self, service: &str, record: &Record) {
        if let Some(known) = lock(&self.orders).get_mut(service) {
            known.finished = true;
        }
        log::info!(
            event = "rollout_finished",
            service = service,
            target = record.target.as_str(),
            stage = record.stage.to_string().as_str();
            "rollout finished"
        );
    }
}

/// Time of day in milliseconds since 1970.
fn now_ms() -> u64 {
    millis(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
    )
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
