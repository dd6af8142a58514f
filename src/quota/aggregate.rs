//! The aggregator of a data centre: adds up the reports of its nodes and the sums of other data
//! centres. Every node has one; it holds only what is reported to it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::quota::wire::{Activity, Digest, TenantId};
use crate::quota::{REPORT_PERIOD, SILENT_AFTER};

/// Change of the use or demand of a tenant since the last message, as a share of the last value,
/// from which the tenant is sent early.
const EARLY_CHANGE: f64 = 0.1;
/// Change in requests below which a tenant is not sent early.
const MIN_EARLY_CHANGE: u32 = 3;

type Activities = BTreeMap<TenantId, Activity>;

/// What one node or data centre last reported.
struct Source {
    received: Instant,
    nodes: u32,
    tenants: Activities,
}

impl Source {
    fn new(now: Instant) -> Self {
        Self {
            received: now,
            nodes: 0,
            tenants: Activities::new(),
        }
    }

    fn is_heard(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) < SILENT_AFTER
    }

    /// Replaces or completes what is known.
    fn apply(&mut self, digest: Digest, now: Instant) {
        self.received = now;
        self.nodes = digest.nodes;
        if digest.full {
            self.tenants.clear();
        }
        self.tenants.extend(digest.tenants);
    }
}

/// Messages due at an aggregator.
#[derive(Debug, Default)]
pub(crate) struct Output {
    /// To the aggregators of the other data centres.
    pub sums: Option<Digest>,
    /// To the nodes of the own data centre.
    pub totals: Option<Digest>,
}

/// What was last sent, to find out what changed.
#[derive(Default)]
struct Sent {
    at: Option<Instant>,
    tenants: Activities,
}

impl Sent {
    /// A full digest if one is due, else one of the tenants that changed much, if there are any.
    fn next(&mut self, nodes: u32, current: &Activities, now: Instant) -> Option<Digest> {
        let full = self
            .at
            .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_PERIOD);
        let is_due = |(id, activity): &(&TenantId, &Activity)| {
            full || has_changed(self.tenants.get(id), activity)
        };
        let due = current.iter().filter(is_due);
        let tenants: Vec<_> = due.map(|(id, activity)| (*id, *activity)).collect();
        if full {
            self.at = Some(now);
            self.tenants.clear();
        } else if tenants.is_empty() {
            return None;
        }
        self.tenants.extend(tenants.iter().copied());
        Some(Digest {
            full,
            nodes,
            tenants,
        })
    }
}

fn has_changed(sent: Option<&Activity>, current: &Activity) -> bool {
    let sent = sent.copied().unwrap_or_default();
    let differs = |one: u32, other: u32| {
        let change = one.abs_diff(other);
        change >= MIN_EARLY_CHANGE && f64::from(change) > EARLY_CHANGE * f64::from(one)
    };
    differs(sent.used, current.used) || differs(sent.demand, current.demand)
}

/// Sums of a data centre and totals of all.
pub(crate) struct Aggregator {
    window: Duration,
    /// Reports by node and incarnation. An earlier incarnation's use still counts.
    reports: HashMap<(String, u64), Source>,
    /// Data centre and sums by aggregator. A data centre has two for a while when the first in rank
    /// comes back; each node reports to one of them.
    sums: HashMap<String, (String, Source)>,
    sent_sums: Sent,
    sent_totals: Sent,
}

impl Aggregator {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            reports: HashMap::new(),
            sums: HashMap::new(),
            sent_sums: Sent::default(),
            sent_totals: Sent::default(),
        }
    }

    /// Records the report of a node of the own data centre.
    pub(crate) fn record_report(
        &mut self,
        node: &str,
        incarnation: u64,
        report: Digest,
        now: Instant,
    ) {
        let entry = self.reports.entry((node.to_owned(), incarnation));
        let source = entry.or_insert_with(|| Source::new(now));
        source.apply(report, now);
    }

    /// Records the sums that the aggregator at `node` sent for another data centre.
    pub(crate) fn record_sums(
        &mut self,
        node: &str,
        data_center: String,
        sums: Digest,
        now: Instant,
    ) {
        let entry = self.sums.entry(node.to_owned());
        let (_, source) = entry.or_insert_with(|| (data_center, Source::new(now)));
        source.apply(sums, now);
    }

    /// Aggregators of another data centre that are heard from.
    pub(crate) fn peers(&self, data_center: &str, now: Instant) -> Vec<String> {
        let heard = self
            .sums
            .iter()
            .filter(|(_, (of, source))| of == data_center && source.is_heard(now));
        heard.map(|(node, _)| node.clone()).collect()
    }

    /// Messages that are due. Nothing is due at a node to which no node reports.
    pub(crate) fn tick(&mut self, now: Instant) -> Output {
        let window = self.window;
        let counts = |source: &Source| now.saturating_duration_since(source.received) < window;
        self.reports.retain(|_, source| counts(source));
        self.sums.retain(|_, (_, source)| counts(source));
        if !self.reports.values().any(|source| source.is_heard(now)) {
            return Output::default();
        }
        let (nodes, own) = add_up(self.reports.values(), now);
        let sums = self.sent_sums.next(nodes, &own, now);
        let (mut nodes, mut totals) = (nodes, own);
        let mut by_data_center: BTreeMap<&str, Vec<&Source>> = BTreeMap::new();
        for (data_center, source) in self.sums.values() {
            by_data_center.entry(data_center).or_default().push(source);
        }
        for sources in by_data_center.values() {
            let (other_nodes, others) = add_up_data_center(sources, now);
            nodes += other_nodes;
            for (id, activity) in &others {
                totals.entry(*id).or_default().add(activity);
            }
        }
        let totals = self.sent_totals.next(nodes, &totals, now);
        Output { sums, totals }
    }
}

/// Number of nodes and activity by tenant of a data centre, by the sums of its aggregators. What one
/// reported that is no longer heard from is lost only where the others do not report it: its nodes
/// report to them now.
fn add_up_data_center(sources: &[&Source], now: Instant) -> (u32, Activities) {
    let (heard, silent): (Vec<&Source>, Vec<&Source>) =
        sources.iter().partition(|source| source.is_heard(now));
    let (nodes, mut sum) = add_up(heard.into_iter(), now);
    for (id, activity) in add_up(silent.into_iter(), now).1 {
        let known = sum.entry(id).or_default();
        known.lost += activity.lost.saturating_sub(known.used);
    }
    (nodes, sum)
}

/// Number of nodes and activity by tenant of several sources. The use of those that are not heard
/// from, or not for a whole window, is counted as lost.
fn add_up<'a>(sources: impl Iterator<Item = &'a Source>, now: Instant) -> (u32, Activities) {
    let mut nodes = 0;
    let mut sum = Activities::new();
    for source in sources {
        let heard = source.is_heard(now);
        nodes += if heard { source.nodes } else { 0 };
        for (id, activity) in &source.tenants {
            let mut activity = *activity;
            if !heard || source.nodes == 0 {
                activity.lost += activity.used;
                activity.used = 0;
                activity.expiring = 0;
            }
            if !heard {
                activity.demand = 0;
            }
            sum.entry(*id).or_default().add(&activity);
        }
    }
    (nodes, sum)
}
