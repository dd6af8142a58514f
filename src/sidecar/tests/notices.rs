//! Tests of nodes that missed a notice of another node.

use std::time::Duration;

use tokio::task::JoinHandle;

use super::{Action, GOOD, ScriptedTarget, Sidecar, StoreServer, send_heartbeat, settings, store};
use crate::link::Handler as _;
use crate::sidecar::watcher;
use crate::standin::StoreFault;
use crate::testing::{self, until};

/// Three nodes of one data centre, in the order in which they become the watcher.
struct Mesh {
    store: StoreServer,
    nodes: Vec<Sidecar>,
    _target: ScriptedTarget,
}

impl Mesh {
    async fn start() -> Self {
        let store = store().await;
        let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
        let names = watcher::rank(["n1", "n2", "n3"].map(String::from).to_vec());
        let nodes: Vec<Sidecar> = names
            .iter()
            .map(|name| Sidecar::start(settings(name, &store, target.address)).unwrap())
            .collect();
        nodes.iter().for_each(send_heartbeat);
        until("all nodes know the same", || {
            let digest = nodes[0].hub.directory.digest();
            nodes.iter().all(|node| {
                node.hub.directory.len() == 3
                    && node.hub.directory.digest() == digest
                    && node.hub.watcher().as_deref() == Some(&names[0])
            })
        })
        .await;
        Self {
            store,
            nodes,
            _target: target,
        }
    }

    /// Lets statuses of the second node arrive at the last one without a pause, as with replies to
    /// many requests.
    fn send_statuses(&self) -> JoinHandle<()> {
        let (name, sender) = (
            self.nodes[1].settings.node.clone(),
            self.nodes[1].hub.clone(),
        );
        let receiver = self.nodes[2].hub.clone();
        tokio::spawn(async move {
            loop {
                receiver.record_status(&name, sender.status());
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        })
    }

    fn last_knows(&self, node: &str) -> bool {
        self.nodes[2].hub.directory.find(node).is_some()
    }
}

/// Guards against a node that never learns of an added target whose notice it missed, because each
/// status of another node than the watcher restarted the time after which it asks.
#[tokio::test]
async fn a_missed_entry_is_fetched_while_other_nodes_report() {
    let mesh = Mesh::start().await;
    let statuses = mesh.send_statuses();
    let added = testing::entry("added", "hkt", "hkt-a", 1);
    mesh.nodes[0].hub.directory.merge(vec![added]);
    until("missed entry fetched", || mesh.last_knows("added")).await;
    statuses.abort();
}

/// Guards against a node that goes on to use a node whose removal it missed.
#[tokio::test]
async fn a_missed_removal_is_fetched_while_other_nodes_report() {
    let mesh = Mesh::start().await;
    for node in &mesh.nodes {
        let added = testing::entry("removed", "hkt", "hkt-a", 1);
        node.hub.directory.merge(vec![added]);
    }
    let statuses = mesh.send_statuses();
    mesh.nodes[0].hub.directory.forget("removed", 1);
    until("missed removal fetched", || !mesh.last_knows("removed")).await;
    statuses.abort();
}

/// Guards against notices that nobody repeats while the store is away, so that no node reads it for the
/// others.
#[tokio::test]
async fn a_missed_entry_is_fetched_from_any_node_during_a_store_outage() {
    let mesh = Mesh::start().await;
    mesh.store.set_fault(Some(StoreFault::Busy));
    until("store outage noticed", || {
        mesh.nodes.iter().all(|node| !node.hub.source_reachable())
    })
    .await;
    let added = testing::entry("added", "hkt", "hkt-a", 1);
    mesh.nodes[1].hub.directory.merge(vec![added]);
    until("missed entry fetched", || mesh.last_knows("added")).await;
}

/// Guards against a target that nodes of other data centres never hear of, or go on to use, because the
/// store turns away its node and serves all others.
#[tokio::test]
async fn a_change_that_the_store_does_not_accept_reaches_other_data_centres() {
    let (store, other_store) = (store().await, store().await);
    other_store.set_fault(Some(StoreFault::Busy));
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let names = watcher::rank(["n1", "n2"].map(String::from).to_vec());
    let start = |name: &str, data_center: &str, store: &StoreServer| {
        let mut settings = settings(name, store, target.address);
        settings.data_center = data_center.into();
        let node = Sidecar::start(settings).unwrap();
        send_heartbeat(&node);
        node
    };
    let watcher = start(&names[0], "bkk-a", &store);
    let far = start("far", "hkt-a", &store);
    until("both know each other", || {
        [&watcher, &far]
            .iter()
            .all(|node| node.hub.directory.len() == 2)
    })
    .await;
    let turned_away = start(&names[1], "bkk-a", &other_store);
    let entries = watcher.hub.directory.entries();
    turned_away.hub.apply_entries(entries);
    let is_known = || far.hub.directory.find(&names[1]).is_some();
    until("far node knows the target", is_known).await;
    turned_away
        .runner
        .apply_departure(&format!("t-{}", names[1]), Some(1));
    until("far node knows the departure", || {
        let known = far.hub.directory.find(&names[1]);
        known.is_some_and(|known| !known.is_serving())
    })
    .await;
}
