//! Reports of nodes, their sums by data centre, and the sum over all data centres.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::canary::verdict::{Fault, Judge};
use crate::canary::{Limits, Notice, Stage, Tally};

/// Time after which a report says nothing of the current state: a few missed ones.
const REPORT_TTL: Duration = Duration::from_millis(1_200);

/// Time for which the totals of a sender that is gone count: longer than orders usually take.
const RETENTION: Duration = Duration::from_mins(10);

/// Message of nodes to each other about orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Stages that the receiver may not know.
    Notices(Vec<Notice>),
    /// A node's counts, to the aggregator of its data centre.
    Report(Report),
    /// A data centre's counts, to the driver.
    Sum(Sum),
}

/// Counts for one service since its order began, so that lost messages do no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Share {
    /// What the sender knows of the order.
    pub notice: Notice,
    /// Requests of callers.
    pub requests: u64,
    /// Attempts at targets of the version.
    pub sent: u64,
    /// Whether a node does not know of the shift yet, or anything is in flight at other versions.
    pub unsettled: bool,
    /// Tallies of the other versions and of the target version, by route.
    pub routes: BTreeMap<String, (Tally, Tally)>,
}

impl Share {
    /// Adds the counts of another node or data centre for the same order.
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.sent += other.sent;
        self.unsettled |= other.unsettled;
        for (route, (old, new)) in &other.routes {
            let sums = self.routes.entry(route.clone()).or_default();
            sums.0.add(old);
            sums.1.add(new);
        }
    }

    /// The counts of a node or data centre that is not heard from: its totals count, its recent
    /// answers do not.
    fn without_recent(&self) -> Self {
        let mut share = self.clone();
        for (old, new) in share.routes.values_mut() {
            old.decay(0.0);
            new.decay(0.0);
        }
        share
    }
}

/// A node's counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node. Its counts start anew with each.
    pub incarnation: u64,
    /// Counts by service.
    pub shares: Vec<Share>,
}

/// A data centre's counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Sum {
    /// Name of the data centre.
    pub data_center: String,
    /// Counts by service.
    pub shares: Vec<Share>,
}

/// Shares by their senders, with the time of their arrival.
struct Latest<K>(HashMap<K, (Instant, Vec<Share>)>);

impl<K> Default for Latest<K> {
    fn default() -> Self {
        Self(HashMap::new())
    }
}

impl<K: std::hash::Hash + Eq> Latest<K> {
    /// Removes the shares of senders that are gone.
    fn remove_old(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.saturating_duration_since(at) < RETENTION;
        self.0.retain(|_, (at, _)| is_kept(*at));
    }

    /// Whether the last shares of a sender are recent.
    fn is_fresh(&self, sender: &K, now: Instant) -> bool {
        let arrival = self.0.get(sender).map(|(at, _)| *at);
        arrival.is_some_and(|at| now.saturating_duration_since(at) < REPORT_TTL)
    }

    /// Sum of the shares for the order of `own`, the receiver's own share or an empty one.
    fn sum(&self, own: &Share, now: Instant) -> Share {
        let mut sum = own.clone();
        for (at, shares) in self.0.values() {
            let same_order = |share: &&Share| {
                share.notice.service == own.notice.service && share.notice.order == own.notice.order
            };
            let fresh = now.saturating_duration_since(*at) < REPORT_TTL;
            match shares.iter().find(same_order) {
                Some(share) if fresh => sum.add(share),
                Some(share) => sum.add(&Share {
                    unsettled: false,
                    ..share.without_recent()
                }),
                // The sender may still be at an earlier order.
                None => sum.unsettled |= fresh,
            }
        }
        sum
    }
}

/// Reports that an aggregator received from the nodes of its data centre.
#[derive(Default)]
pub(crate) struct Reports {
    latest: Latest<(String, u64)>,
    judges: HashMap<String, Judge>,
}

impl Reports {
    /// Takes a node's report in place of its last one.
    pub(crate) fn insert(&mut self, report: Report, now: Instant) {
        let sender = (report.node, report.incarnation);
        self.latest.0.insert(sender, (now, report.shares));
    }

    /// Names of the `nodes`, given with their incarnations, that have not reported lately.
    pub(crate) fn missing<'a>(&self, nodes: &'a [(String, u64)], now: Instant) -> Vec<&'a str> {
        let missing = nodes.iter().filter(|node| !self.latest.is_fresh(node, now));
        missing.map(|(node, _)| node.as_str()).collect()
    }

    /// Adds the reports to the aggregator's `own` shares. Nodes that are `awaited` and have not
    /// reported may not know of the shift.
    pub(crate) fn sum(&mut self, own: &[Share], awaited: bool, now: Instant) -> Vec<Share> {
        self.latest.remove_old(now);
        let sums = own.iter().map(|own| {
            let mut sum = self.latest.sum(own, now);
            sum.unsettled |= awaited;
            sum
        });
        sums.collect()
    }

    /// Judges the versions by the sums; returns the withdrawals of bad ones.
    pub(crate) fn judge(
        &mut self,
        sums: &[Share],
        limits: &Limits,
        now: Instant,
    ) -> Vec<(Notice, Fault)> {
        let mut withdrawals = Vec::new();
        for sum in sums.iter().filter(|sum| sum.notice.stage.is_running()) {
            let judge = self.judges.entry(sum.notice.service.clone()).or_default();
            let fault = judge.judge(sum.routes.values(), limits.confirmation(), now);
            withdrawals.extend(fault.map(|fault| (sum.notice.at(Stage::Withdrawn), fault)));
        }
        withdrawals
    }
}

/// Sums that a driver received from the aggregators of the data centres.
#[derive(Default)]
pub(crate) struct Sums {
    latest: Latest<String>,
    judges: HashMap<String, Judge>,
}

impl Sums {
    /// Takes a data centre's sum in place of its last one.
    pub(crate) fn insert(&mut self, sum: Sum, now: Instant) {
        self.latest.0.insert(sum.data_center, (now, sum.shares));
    }

    /// Names of the `data_centers` that have not reported lately.
    pub(crate) fn missing<'a>(&self, data_centers: &[&'a str], now: Instant) -> Vec<&'a str> {
        let missing = data_centers
            .iter()
            .filter(|name| !self.latest.is_fresh(&(**name).to_owned(), now));
        missing.copied().collect()
    }

    /// Adds the sums for the order of `notice`.
    pub(crate) fn total(&mut self, notice: &Notice, now: Instant) -> Share {
        let empty = Share {
            notice: notice.clone(),
            requests: 0,
            sent: 0,
            unsettled: false,
            routes: BTreeMap::new(),
        };
        self.latest.remove_old(now);
        self.latest.sum(&empty, now)
    }

    /// Whether the version of a service's order may be bad, by the last judgement.
    pub(crate) fn is_suspected(&self, service: &str) -> bool {
        let judge = self.judges.get(service);
        judge.is_some_and(Judge::is_suspicious)
    }

    /// Judges a version by the total.
    pub(crate) fn judge(&mut self, total: &Share, limits: &Limits, now: Instant) -> Option<Fault> {
        let judge = self.judges.entry(total.notice.service.clone()).or_default();
        judge.judge(total.routes.values(), limits.confirmation(), now)
    }
}
