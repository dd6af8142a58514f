//! Whole nodes against a stand-in of the store and scripted targets.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::dialect::{Heartbeat, Phase};
use crate::forward::Limits;
use crate::platform::sample;
use crate::sidecar::{Listen, Settings, Shutdown, Sidecar};
use crate::standin::{StoreFault, StoreServer};
use crate::testing::{Action, GOOD, ScriptedTarget, read_to_end, until};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const HOST: &str = "shop.example";

async fn store() -> StoreServer {
    let store = StoreServer::start().await.unwrap();
    let route = sample::Route {
        prefix: "/once/",
        service: "booking",
        idempotent: false,
    };
    let (table, key) = sample::CONFIG_ROW;
    let config = sample::config(1, HOST, &["booking"], &[route]);
    store.put(table, key, &config);
    store
}

fn settings(name: &str, store: &StoreServer, target: SocketAddr) -> Settings {
    Settings {
        node: name.into(),
        region: "bkk".into(),
        data_center: "bkk-a".into(),
        service: "booking".into(),
        listen: Listen {
            caller: ANY,
            mesh: ANY,
            advertise: None,
            heartbeat: None,
            admin: ANY,
            metrics: None,
        },
        platform: store.address(),
        target,
        seeds: Vec::new(),
        shutdown: Shutdown {
            notice: Duration::from_millis(200),
            grace: Duration::from_secs(2),
        },
        retries: Limits {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
    }
}

/// Takes a heartbeat of the target beside the node.
fn announce(node: &Sidecar) {
    node.side.heartbeat(Heartbeat {
        id: format!("t-{}", node.settings.node),
        started_ms: 1,
        sequence: 1,
        service: "booking".into(),
        slots: 4,
        phase: Phase::Ready,
        cold: Duration::ZERO,
    });
}

/// Sends a request that may take `patience_ms`, and reads until the connection ends.
async fn send(address: SocketAddr, patience_ms: u64) -> String {
    let id = format!("{:x}", rand::random::<u64>());
    let marks = sample::caller_headers(&id, patience_ms);
    let text = format!("GET /once/a HTTP/1.1\r\nhost: {HOST}\r\n{marks}connection: close\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

#[tokio::test]
async fn a_node_that_starts_without_the_store_learns_from_a_seed() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let mut first = settings("first", &store, target.address);
    first.listen.mesh = "127.0.0.2:0".parse().unwrap();
    let first = Sidecar::start(first).unwrap();
    announce(&first);
    until("started", || first.version() == 1).await;
    store.set_fault(Some(StoreFault::Busy));
    let mut second = settings("second", &store, target.address);
    second.listen.mesh = SocketAddr::from(([127, 0, 0, 3], first.hub.own().address.port()));
    // Where the seed takes heartbeats.
    second.seeds = vec!["127.0.0.2:9".parse().unwrap()];
    let second = Sidecar::start(second).unwrap();
    until("version known", || second.version() == 1).await;
    until("target known", || {
        let found = second.hub.directory.find("first");
        found.is_some_and(|first| first.is_serving())
    })
    .await;
    let answer = send(second.caller_address(), 1_000).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn a_store_that_is_away_is_asked_by_one_follower() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = Sidecar::start(settings("node", &store, target.address)).unwrap();
    until("started", || node.version() == 1).await;
    store.set_fault(Some(StoreFault::Busy));
    until("noticed", || {
        !node.hub.store_answers.load(Ordering::Relaxed)
    })
    .await;
    // Long polls that were under way have ended.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // At least 0.6 s between two calls of a follower.
    assert!(store.calls() - before <= 5, "{}", store.calls() - before);
    store.set_fault(None);
    until("regained", || {
        node.hub.store_answers.load(Ordering::Relaxed)
    })
    .await;
}

#[tokio::test]
async fn a_stopping_node_cuts_off_nothing_that_it_has_taken() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::NeverAnswer]).await;
    let other = Sidecar::start(settings("other", &store, target.address)).unwrap();
    announce(&other);
    let node = Sidecar::start(settings("node", &store, target.address)).unwrap();
    let known = |node: &Sidecar| {
        let found = node.hub.directory.find("other");
        node.version() == 1 && found.is_some_and(|other| other.is_serving())
    };
    until("acquainted", || known(&node) && known(&other)).await;
    let address = node.caller_address();
    let held = tokio::spawn(send(address, 1_400));
    until("held", || target.requests() == 1).await;
    let leaving = tokio::spawn(node.leave());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let late = send(address, 1_400).await;
    assert!(late.starts_with("HTTP/1.1 503"), "{late}");
    assert!(late.contains("retry-after"), "{late}");
    assert!(held.await.unwrap().starts_with("HTTP/1.1 50"));
    leaving.await.unwrap();
    assert_eq!(target.requests(), 1);
}
