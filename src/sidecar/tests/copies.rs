//! Tests of acknowledgements that bind later processes of a node while the store is away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{self, Runtime};

use super::{
    ANY_PORT, Action, GOOD, ScriptedTarget, Sidecar, StoreServer, heartbeat, send_heartbeat,
    send_late_heartbeat, send_request, settings, start_serving, store, stored_target,
};
use crate::dialect::{Heartbeat, Phase};
use crate::http::Server;
use crate::platform::{self, sample};
use crate::sidecar::heartbeat as listener;
use crate::standin::StoreFault;
use crate::testing::{read_to_end, until};

/// Sends the target's departure to the node's listener for notices; returns the answer.
async fn send_departure(node: &Sidecar) -> String {
    let handler = listener::Handler {
        dialect: Arc::new(platform::Dialect),
        hub: node.hub.clone(),
    };
    let server = Server::start(ANY_PORT, Arc::new(handler)).unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let path = sample::instance_path("t-own");
    let text = format!(
        "DELETE {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

/// How the target leaves.
#[derive(Clone, Copy)]
enum Leaving {
    Departs,
    Drains,
}

/// Tells the node that its target leaves, and waits until that is acknowledged.
async fn leave(node: &Sidecar, leaving: Leaving) {
    match leaving {
        Leaving::Departs => {
            let answer = send_departure(node).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        Leaving::Drains => {
            node.runner.apply_heartbeat(Heartbeat {
                sequence: 20,
                phase: Phase::Draining,
                ..heartbeat(node)
            });
            assert!(crate::sidecar::copies::secure(&node.hub).await);
        }
    }
}

/// A node whose restarted processes are found at the same address, and another one of its mesh.
struct Pair {
    store: StoreServer,
    target: ScriptedTarget,
    other: Sidecar,
    /// The node runs in a runtime of its own, so that all of it ends with its process.
    own: Option<(Sidecar, Runtime)>,
    own_address: SocketAddr,
}

impl Pair {
    async fn start() -> Self {
        // Tests run side by side, each with addresses of its own.
        static NEXT: AtomicU8 = AtomicU8::new(10);
        let last = NEXT.fetch_add(2, Ordering::Relaxed);
        let store = store().await;
        let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
        let mut other = settings("other", &store, target.address);
        other.service = "desk".into();
        other.listen.mesh = SocketAddr::from(([127, 0, 9, last], 0));
        let other = Sidecar::start(other).unwrap();
        let port = other.hub.own_entry().address.port();
        let mut pair = Self {
            store,
            target,
            other,
            own: None,
            own_address: SocketAddr::from(([127, 0, 9, last + 1], port)),
        };
        pair.restart();
        send_heartbeat(pair.own());
        until("the target is in use", || {
            let found = pair.other.hub.directory.find("own");
            pair.other.version() == 1 && found.is_some_and(|own| own.is_serving())
        })
        .await;
        until("the target is stored", || {
            stored_target(&pair.store).is_some()
        })
        .await;
        pair
    }

    fn own(&self) -> &Sidecar {
        &self.own.as_ref().unwrap().0
    }

    fn restart(&mut self) {
        let mut own = settings("own", &self.store, self.target.address);
        own.listen.mesh = self.own_address;
        own.seeds = vec![self.other.hub.own_entry().address];
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let started = {
            let _context = runtime.enter();
            Sidecar::start(own).unwrap()
        };
        self.own = Some((started, runtime));
    }

    async fn stop(&mut self) {
        let (own, runtime) = self.own.take().unwrap();
        runtime.spawn(own.leave()).await.unwrap();
        let ended =
            tokio::task::spawn_blocking(move || runtime.shutdown_timeout(Duration::from_secs(1)));
        ended.await.unwrap();
    }
}

impl Drop for Pair {
    fn drop(&mut self) {
        if let Some((_, runtime)) = self.own.take() {
            runtime.shutdown_background();
        }
    }
}

/// Lets the target leave in a store outage in which its node is stopped and started again, and checks
/// that a late heartbeat does not bring it back.
async fn check_leaving_in_outage(leaving: Leaving) {
    let mut pair = Pair::start().await;
    pair.store.set_fault(Some(StoreFault::Busy));
    leave(pair.own(), leaving).await;
    pair.stop().await;
    pair.restart();
    send_late_heartbeat(pair.own());
    tokio::time::sleep(Duration::from_secs(1)).await;
    pair.store.set_fault(None);
    for _ in 0..20 {
        send_late_heartbeat(pair.own());
        let answer = send_request(pair.other.caller_address(), 500).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(pair.target.requests(), 0);
    until("the store shows it", || {
        let sequence = stored_target(&pair.store).map(|target| target.sequence);
        sequence.is_some_and(|sequence| sequence >= 20)
    })
    .await;
}

macro_rules! leaving_in_outage_tests {
    ($($(#[doc = $doc:literal])* $name:ident: $leaving:expr,)*) => {
        $($(#[doc = $doc])*
        #[tokio::test]
        async fn $name() {
            check_leaving_in_outage($leaving).await;
        })*
    };
}

leaving_in_outage_tests! {
    /// Guards against requests to a target that left: the process that acknowledged it was the only one
    /// that knew, and ended.
    a_departure_in_a_store_outage_binds_the_next_process: Leaving::Departs,
    /// Guards against the same for a target that drains.
    a_drain_in_a_store_outage_binds_the_next_process: Leaving::Drains,
}

/// Guards against a target that drains again after the restart of its node and is not heard.
#[tokio::test]
async fn a_target_that_drains_on_stays_draining_after_a_restart() {
    let mut pair = Pair::start().await;
    pair.store.set_fault(Some(StoreFault::Busy));
    leave(pair.own(), Leaving::Drains).await;
    pair.stop().await;
    pair.restart();
    pair.own().runner.apply_heartbeat(Heartbeat {
        sequence: 21,
        phase: Phase::Draining,
        ..heartbeat(pair.own())
    });
    assert!(crate::sidecar::copies::secure(&pair.own().hub).await);
    let known = pair.other.hub.directory.find("own").unwrap();
    assert!(!known.is_serving());
}

/// Guards against acknowledgements that are lost with the process: without the store and other nodes,
/// nothing is acknowledged, and a repeated notice is once the store is back.
#[tokio::test]
async fn a_departure_that_nobody_else_keeps_is_not_acknowledged() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = start_serving(&store, &target).await;
    store.set_fault(Some(StoreFault::Busy));
    let answer = send_departure(&node).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    store.set_fault(None);
    until("the departure is stored", || {
        stored_target(&store).is_some_and(|target| target.has_departed())
    })
    .await;
    let answer = send_departure(&node).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a node whose target stays unused after a restart in a store outage.
#[tokio::test]
async fn a_target_that_stays_is_announced_after_a_restart_in_a_store_outage() {
    let mut pair = Pair::start().await;
    pair.store.set_fault(Some(StoreFault::Busy));
    pair.stop().await;
    pair.restart();
    send_late_heartbeat(pair.own());
    until("the target is in use again", || {
        let found = pair.other.hub.directory.find("own");
        found.is_some_and(|own| own.is_serving())
    })
    .await;
}
