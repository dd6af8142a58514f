//! Exchange of quota messages: reports of this node to the aggregator of its data centre, and the
//! aggregator's sums and totals while this node is it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::quota::{Aggregator, Limits, Message, Output, Quotas, TICK_PERIOD};
use crate::sidecar::hub::Hub;
use crate::sidecar::watcher;

/// Interval at which the nodes of the directory are counted and ranked.
const RANKING_PERIOD: Duration = Duration::from_secs(2);
/// Least time between two log lines about the aggregator.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// What this node has to exchange about quotas.
pub(crate) struct Exchange {
    pub quotas: Arc<Quotas>,
    state: Mutex<State>,
}

struct State {
    aggregator: Aggregator,
    /// Node to which this one reports, and whose totals count.
    reports_to: String,
    /// Nodes of each other data centre by rank.
    others: Vec<(String, Vec<String>)>,
    ranked_at: Option<Instant>,
    logged_at: Option<Instant>,
}

impl Exchange {
    pub(crate) fn new(limits: &Limits, quotas: Arc<Quotas>) -> Self {
        Self {
            quotas,
            state: Mutex::new(State {
                aggregator: Aggregator::new(limits.window),
                reports_to: String::new(),
                others: Vec::new(),
                ranked_at: None,
                logged_at: None,
            }),
        }
    }

    /// Handles a message of another node.
    pub(crate) fn receive(&self, node: &str, message: Message, now: Instant) {
        let mut state = self.lock();
        match message {
            Message::Report(incarnation, report) => {
                state
                    .aggregator
                    .record_report(node, incarnation, report, now);
            }
            Message::Sums(data_center, sums) => {
                state.aggregator.record_sums(node, data_center, sums, now);
            }
            Message::Totals(totals) if state.reports_to == node => {
                self.quotas.apply_totals(&totals, now);
            }
            Message::Totals(_) => {}
        }
    }

    /// Sends what is due.
    fn tick(&self, hub: &Hub, now: Instant) {
        let own = hub.own_entry();
        let mut state = self.lock();
        if state
            .ranked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= RANKING_PERIOD)
        {
            state.ranked_at = Some(now);
            state.rank(hub, &own.data_center);
        }
        let nodes = hub.directory.len();
        // A node that knows no other yet has not read the directory, and would take the whole limit.
        if nodes > 1 || self.quotas.is_settled(now) {
            self.quotas.set_nodes(nodes);
        }
        if let Some(report) = self.quotas.report(now) {
            if report.full {
                state.choose_aggregator(hub, now);
            }
            if state.reports_to == own.node {
                let incarnation = own.incarnation;
                state
                    .aggregator
                    .record_report(&own.node, incarnation, report, now);
            } else {
                let message = Message::Report(own.incarnation, report);
                send(hub, &state.reports_to, message);
            }
        }
        let Output { sums, totals } = state.aggregator.tick(now);
        if let Some(sums) = sums {
            for (data_center, ranked) in &state.others {
                for peer in state.peers(hub, data_center, ranked, now) {
                    let message = Message::Sums(own.data_center.clone(), sums.clone());
                    send(hub, &peer, message);
                }
            }
        }
        if let Some(totals) = totals {
            for link in hub.directory.data_center_links() {
                link.send_quota(Message::Totals(totals.clone()));
            }
            if state.reports_to == own.node {
                self.quotas.apply_totals(&totals, now);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Ranks the nodes of the other data centres.
    fn rank(&mut self, hub: &Hub, own_data_center: &str) {
        let mut by_data_center = hub.directory.nodes_by_data_center();
        by_data_center.remove(own_data_center);
        let ranked = by_data_center
            .into_iter()
            .map(|(data_center, nodes)| (data_center, watcher::rank(nodes)));
        self.others = ranked.collect();
    }

    /// Reports to the first node in rank that answers.
    fn choose_aggregator(&mut self, hub: &Hub, now: Instant) {
        let chosen = hub.first_alive();
        if chosen == self.reports_to {
            return;
        }
        self.reports_to = chosen;
        let due = self
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOG_PERIOD);
        if due {
            self.logged_at = Some(now);
            log::info!(
                event = "quota_aggregator",
                node = self.reports_to.as_str();
                "use of quotas is reported to this node"
            );
        }
    }

    /// Aggregators of another data centre: those that sent sums, or else the first node in rank that
    /// is not known to be unreachable.
    fn peers(&self, hub: &Hub, data_center: &str, ranked: &[String], now: Instant) -> Vec<String> {
        let heard = self.aggregator.peers(data_center, now);
        if !heard.is_empty() {
            return heard;
        }
        let reachable = |node: &&String| {
            let endpoint = hub.directory.find(node);
            endpoint.is_some_and(|e| e.link.as_ref().is_some_and(|link| !link.is_unreachable()))
        };
        ranked.iter().find(reachable).cloned().into_iter().collect()
    }
}

fn send(hub: &Hub, node: &str, message: Message) {
    let endpoint = hub.directory.find(node);
    if let Some(link) = endpoint.as_ref().and_then(|e| e.link.as_ref()) {
        link.send_quota(message);
    }
}

/// Exchanges messages while the version in force has a tenant with a quota, until `stopped` closes.
pub(super) async fn exchange(
    exchange: Arc<Exchange>,
    hub: Arc<Hub>,
    mut stopped: watch::Receiver<()>,
) {
    let mut version = hub.versions.subscribe();
    loop {
        let config = hub.versions.in_force().load_full();
        if config.is_some_and(|config| config.tenants.has_quotas()) {
            exchange.tick(&hub, Instant::now());
            tokio::select! {
                () = tokio::time::sleep(TICK_PERIOD) => {}
                _ = stopped.changed() => return,
            }
        } else {
            tokio::select! {
                _ = version.changed() => {}
                _ = stopped.changed() => return,
            }
        }
    }
}
