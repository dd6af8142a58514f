//! Tests of complete nodes against a fake store and scripted targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Method;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::canary::{self, Stage};
use crate::dialect::{Heartbeat, Phase};
use crate::explain::{self, Question};
use crate::forward::Limits;
use crate::h1;
use crate::http::Server;
use crate::link::{Entry, Handler as _, Target, Update};
use crate::platform::{self, sample};
use crate::quota;
use crate::roster::Crash;
use crate::sidecar::rollouts::Rollouts;
use crate::sidecar::tasks::NODE_TABLE;
use crate::sidecar::watcher;
use crate::sidecar::{
    Listen, Placement, Resources, Settings, Shutdown, Sidecar, admin,
    heartbeat as heartbeat_listener,
};
use crate::standin::{StoreFault, StoreServer};
use crate::store::{Change, Row};
use crate::telemetry::Counters;
use crate::testing::{self, Action, FAILURE, GOOD, ScriptedTarget, read_to_end, until};

mod copies;
mod era;
mod notices;

/// Loopback address with a port that the system assigns.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const HOST: &str = "shop.example";

/// Starts a store that holds version 1, which has one non-idempotent route.
async fn store() -> StoreServer {
    let store = StoreServer::start().await.unwrap();
    let route = sample::Route {
        prefix: "/once/",
        service: "booking",
        idempotent: false,
    };
    let (table, key) = sample::CONFIG_ROW;
    let config = sample::config(1, HOST, &["booking"], &[route], &[]);
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
            caller: ANY_PORT,
            mesh: ANY_PORT,
            advertise: None,
            heartbeat: None,
            admin: ANY_PORT,
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
        placement: Placement::default(),
        quotas: quota::Limits {
            window: Duration::from_secs(5),
            over: 0.1,
            slack: 20.0,
        },
        rollouts: None,
        limits: Resources {
            memory_mb: 256,
            max_fds: 1_024,
        },
    }
}

/// Settings with these lines in the section `placement`, or the fault that was found there.
fn placement(lines: &str) -> Result<Placement, String> {
    let text = format!(
        "[node]\nid = n\nregion = r\ndata_center = d\nservice = s\n[listen]\ncaller = 127.0.0.1:1\n\
         mesh = 127.0.0.1:2\nadmin = 127.0.0.1:3\n[platform]\naddress = 127.0.0.1:4\n\
         [target]\naddress = 127.0.0.1:5\n[placement]\n{lines}"
    );
    let settings = Settings::read(&text).map_err(|error| error.to_string())?;
    Ok(settings.placement)
}

macro_rules! placement_settings_tests {
    ($($(#[doc = $doc:literal])* $name:ident: $lines:expr => $cost:expr,)*) => {
        $($(#[doc = $doc])*
        #[test]
        fn $name() {
            assert_eq!(placement($lines).map(|placement| placement.cost), $cost);
        })*
    };
}

placement_settings_tests! {
    /// Guards deployments that do not set it against a change of behaviour.
    costs_are_not_estimated_by_default: "" => Ok(false),
    costs_are_estimated_if_switched_on: "cost = on\n" => Ok(true),
    costs_are_not_estimated_if_switched_off: "cost = off\n" => Ok(false),
}

/// Memory of a listener like the admin listener.
const ADMIN_BYTES: usize = 1_000_000;

/// A listener like the admin listener of a node, with so many bytes for what it reads.
fn admin_listener(node: &Sidecar, memory_bytes: usize) -> Server {
    let admin = admin::Admin {
        hub: node.hub.clone(),
        forwarder: node.forwarder.clone(),
        leaving: node.leaving.clone(),
        counters: Arc::new(Counters::new()),
        histograms: Arc::default(),
        memory: testing::pool(memory_bytes),
    };
    Server::start(ANY_PORT, Arc::new(admin)).unwrap()
}

#[tokio::test]
async fn a_running_node_explains_where_a_request_would_go() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = Sidecar::start(settings("first", &store, target.address)).unwrap();
    send_heartbeat(&node);
    until("version 1 in force", || node.version() == 1).await;
    until("the target serves", || {
        let found = node.hub.directory.find("first");
        found.is_some_and(|first| first.is_serving())
    })
    .await;
    let server = admin_listener(&node, ADMIN_BYTES);
    let question = Question {
        method: "GET".into(),
        host: HOST.into(),
        path: "/once/a".into(),
        headers: Vec::new(),
    };
    let explanation = explain::ask(server.address(), &question).await.unwrap();
    assert!(
        explanation.decision.starts_with("offered to first"),
        "{explanation}"
    );
    assert_eq!(target.requests(), 0);
    let invalid = Question {
        method: "no method".into(),
        ..question.clone()
    };
    let fault = explain::ask(server.address(), &invalid).await.unwrap_err();
    assert!(fault.to_string().contains("not a valid request"), "{fault}");
    let without_memory = admin_listener(&node, 0);
    let fault = explain::ask(without_memory.address(), &question).await;
    let fault = fault.unwrap_err().to_string();
    assert!(fault.contains("too little memory"), "{fault}");
    let unknown = SocketAddr::from(([127, 0, 0, 1], 1));
    let fault = explain::ask(unknown, &question).await.unwrap_err();
    assert!(
        fault.to_string().contains("cannot query the node"),
        "{fault}"
    );
}

/// Guards against a misspelt value that leaves the feature off without a word.
#[test]
fn an_invalid_placement_setting_is_reported_with_its_place() {
    let fault = placement("cost = yes\n").unwrap_err();
    assert!(fault.contains("[placement] cost"), "{fault}");
    assert!(fault.contains("line 15"), "{fault}");
}

/// Delivers a heartbeat of the target beside the node.
fn send_heartbeat(node: &Sidecar) {
    node.runner.apply_heartbeat(heartbeat(node));
}

fn heartbeat(node: &Sidecar) -> Heartbeat {
    Heartbeat {
        id: format!("t-{}", node.settings.node),
        started_ms: 1,
        sequence: 1,
        service: "booking".into(),
        slots: 4,
        phase: Phase::Ready,
        cold_left: Duration::ZERO,
        version: "v1".into(),
    }
}

/// Sends a request with a deadline in `deadline_ms`, and reads until the connection closes.
async fn send_request(address: SocketAddr, deadline_ms: u64) -> String {
    let id = format!("{:x}", rand::random::<u64>());
    let caller_headers = sample::caller_headers(&id, deadline_ms, None);
    let text = format!(
        "GET /once/a HTTP/1.1\r\nhost: {HOST}\r\n{caller_headers}connection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    read_to_end(&mut stream).await
}

#[tokio::test]
async fn a_node_that_starts_during_a_store_outage_fetches_its_state_from_a_seed() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let mut first = settings("first", &store, target.address);
    first.listen.mesh = "127.0.0.2:0".parse().unwrap();
    let first = Sidecar::start(first).unwrap();
    send_heartbeat(&first);
    until("version 1 in force", || first.version() == 1).await;
    store.set_fault(Some(StoreFault::Busy));
    let mut second = settings("second", &store, target.address);
    second.listen.mesh = SocketAddr::from(([127, 0, 0, 3], first.hub.own_entry().address.port()));
    // Heartbeat address of the first node. Its port is ignored: the link to a seed uses the port of
    // this node's own mesh listener, which is why both nodes have the same one.
    second.seeds = vec!["127.0.0.2:9".parse().unwrap()];
    let second = Sidecar::start(second).unwrap();
    until("version fetched from the seed", || second.version() == 1).await;
    until("entry of the first node fetched", || {
        let found = second.hub.directory.find("first");
        found.is_some_and(|first| first.is_serving())
    })
    .await;
    let answer = send_request(second.caller_address(), 1_000).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// If the tasks that read versions and entries both polled during an outage, the node would call
/// the store twice as often.
#[tokio::test]
async fn an_unreachable_store_is_polled_by_one_task_only() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = Sidecar::start(settings("node", &store, target.address)).unwrap();
    until("version 1 in force", || node.version() == 1).await;
    store.set_fault(Some(StoreFault::Busy));
    until("store outage noticed", || {
        !node.hub.store_reachable.load(Ordering::Relaxed)
    })
    .await;
    // Wait until a long poll of the version from before the outage has ended, and until the pauses
    // between calls have grown to `MAX_RETRY_PAUSE`.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = store.calls();
    tokio::time::sleep(Duration::from_secs(3)).await;
    // The only task that still polls waits at least 0.6 s between two calls: `MAX_RETRY_PAUSE` less
    // the random variation of 25 %.
    assert!(store.calls() - before <= 5, "{}", store.calls() - before);
    store.set_fault(None);
    until("store reachable again", || {
        node.hub.store_reachable.load(Ordering::Relaxed)
    })
    .await;
}

#[tokio::test]
async fn a_stopping_node_answers_every_request_that_it_accepted() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::NeverAnswer]).await;
    let other = Sidecar::start(settings("other", &store, target.address)).unwrap();
    send_heartbeat(&other);
    let node = Sidecar::start(settings("node", &store, target.address)).unwrap();
    let known = |node: &Sidecar| {
        let found = node.hub.directory.find("other");
        node.version() == 1 && found.is_some_and(|other| other.is_serving())
    };
    until("both nodes know the target", || {
        known(&node) && known(&other)
    })
    .await;
    let address = node.caller_address();
    let in_flight = tokio::spawn(send_request(address, 1_400));
    until("request at the target", || target.requests() == 1).await;
    let leaving = tokio::spawn(node.leave());
    // After the notice time of 200 ms, the node drains until 1.3 s after the start of the shutdown
    // and refuses requests with a later deadline, such as the next one.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let during_shutdown = send_request(address, 1_400).await;
    assert!(
        during_shutdown.starts_with("HTTP/1.1 503"),
        "{during_shutdown}"
    );
    assert!(during_shutdown.contains("retry-after"), "{during_shutdown}");
    // 502 at the end of the drain, or 504 if the request's deadline comes first.
    assert!(in_flight.await.unwrap().starts_with("HTTP/1.1 50"));
    leaving.await.unwrap();
    assert_eq!(target.requests(), 1);
}

/// Guards against nodes that do not know of each other's use, within a data centre or across.
#[tokio::test]
async fn nodes_of_two_data_centres_learn_of_each_other_through_their_aggregators() {
    let store = store().await;
    let (table, key) = sample::CONFIG_ROW;
    let tenant = r#"{"Version":2,"Resources":[{"KindOf":"Tenants","Metadata":{"Name":"north"},
        "Spec":{"ApiKeys":["n1"],"RatePerS":2,"Burst":0}}]}"#;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let start = |name: &str, data_center: &str| {
        let mut settings = settings(name, &store, target.address);
        settings.data_center = data_center.into();
        settings.quotas.window = Duration::from_secs(1);
        let node = Sidecar::start(settings).unwrap();
        // The entry of a node is written once its target is known.
        send_heartbeat(&node);
        node
    };
    let nodes = [
        start("a", "bkk-a"),
        start("b", "bkk-a"),
        start("c", "bkk-b"),
    ];
    let heard = |node: &Sidecar| node.hub.quotas.get().unwrap().quotas.heard();
    until("every node knows all", || {
        nodes.iter().all(|node| node.hub.directory.len() == 3)
    })
    .await;
    assert!(nodes.iter().all(|node| heard(node) == 0));
    store.put(table, key, tenant);
    until("every node hears all", || {
        nodes.iter().all(|node| heard(node) == 3)
    })
    .await;
}

#[test]
fn quota_settings_are_checked() {
    let text = "[node]\nid = n\nregion = r\ndata_center = d\nservice = s\n\
        [listen]\ncaller = 127.0.0.1:1\nmesh = 127.0.0.1:2\nadmin = 127.0.0.1:3\n\
        [platform]\naddress = 127.0.0.1:4\n[target]\naddress = 127.0.0.1:5\n\
        [quotas]\nwindow_s = 0.5\nover = -1\nslack = many\n";
    let faults = Settings::read(text).unwrap_err().to_string();
    for key in ["window_s", "over", "slack"] {
        assert!(faults.contains(&format!("[quotas] {key}")), "{faults}");
    }
}

/// Sends requests on one connection, each when the last one is answered, until the node closes it.
/// Returns the statuses of the answers.
async fn send_until_closed(address: SocketAddr) -> Vec<u16> {
    let mut statuses = Vec::new();
    let Ok(stream) = TcpStream::connect(address).await else {
        return statuses;
    };
    let (reader, mut writer) = stream.into_split();
    let mut reader = h1::Stream::new(reader);
    loop {
        let id = format!("{:x}", rand::random::<u64>());
        let headers = sample::caller_headers(&id, 900, None);
        let text = format!("GET /once/a HTTP/1.1\r\nhost: {HOST}\r\n{headers}\r\n");
        if writer.write_all(text.as_bytes()).await.is_err() {
            return statuses;
        }
        match reader.read_response(&Method::GET, 1024).await {
            Ok(response) => statuses.push(response.status.as_u16()),
            Err(_) => return statuses,
        }
    }
}

/// Guards against requests that a stopping node passes on late in its grace time and cuts off at the
/// end: callers keep using open connections, and open new ones, until the process is gone.
#[tokio::test]
async fn every_request_that_a_stopping_node_passes_on_gets_its_answer() {
    let store = store().await;
    let delayed = Action::AnswerAfter(Duration::from_millis(300), GOOD);
    let target = ScriptedTarget::start(&[delayed]).await;
    let other = Sidecar::start(settings("other", &store, target.address)).unwrap();
    send_heartbeat(&other);
    let node = Sidecar::start(settings("own", &store, target.address)).unwrap();
    until("the node knows the target", || {
        let found = node.hub.directory.find("other");
        node.version() == 1 && found.is_some_and(|other| other.is_serving())
    })
    .await;
    let address = node.caller_address();
    let callers = (0..6).map(|_| {
        tokio::spawn(async move {
            let mut statuses = Vec::new();
            loop {
                let answered = send_until_closed(address).await;
                if answered.is_empty() && TcpStream::connect(address).await.is_err() {
                    return statuses;
                }
                statuses.extend(answered);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    until("requests at the target", || target.requests() >= 4).await;
    node.leave().await;
    let mut answered = 0;
    for caller in callers {
        for status in caller.await.unwrap() {
            assert!(matches!(status, 200 | 503), "{status}");
            answered += u32::from(status == 200);
        }
    }
    assert_eq!(target.requests(), answered);
}

/// Starts the node `own` with a target, and waits until its row in the store shows the target.
async fn start_serving(store: &StoreServer, target: &ScriptedTarget) -> Sidecar {
    let node = Sidecar::start(settings("own", store, target.address)).unwrap();
    send_heartbeat(&node);
    until("row shows the target", || stored_target(store).is_some()).await;
    node
}

/// The stored entry of the node `own`.
fn stored_entry(store: &StoreServer) -> Option<Entry> {
    let value = store.value(NODE_TABLE, "own")?;
    serde_json::from_str(&value).ok()
}

/// The target in the stored entry of the node `own`.
fn stored_target(store: &StoreServer) -> Option<Target> {
    stored_entry(store)?.target
}

/// Delivers a heartbeat that the target of [`send_heartbeat`] sent later.
fn send_late_heartbeat(node: &Sidecar) {
    node.runner.apply_heartbeat(Heartbeat {
        sequence: 9,
        ..heartbeat(node)
    });
}

/// Guards against a target that left while its node was stopped and started again, and was in use
/// again after a late heartbeat: the stopping node deleted the row that shows the departure.
#[tokio::test]
async fn a_target_that_left_during_a_restart_of_its_node_is_not_used_again() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = start_serving(&store, &target).await;
    let runner = node.runner.clone();
    let leaving = tokio::spawn(node.leave());
    runner.apply_departure("t-own", Some(1));
    leaving.await.unwrap();
    let restarted = Sidecar::start(settings("own", &store, target.address)).unwrap();
    send_late_heartbeat(&restarted);
    until("departure restored", || !restarted.runner.has_target()).await;
    send_late_heartbeat(&restarted);
    assert!(!restarted.runner.has_target());
    until("version 1 in force", || restarted.version() == 1).await;
    let answer = send_request(restarted.caller_address(), 1_000).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(target.requests(), 0);
    assert!(stored_target(&store).is_some_and(|target| target.has_departed()));
}

/// Guards against a process that all others ignore while it runs: they had taken the deletion of its
/// row, which an earlier process had written, for its own end.
#[tokio::test]
async fn a_removed_node_announces_itself_under_a_higher_incarnation() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = start_serving(&store, &target).await;
    let removed = node.hub.own_entry().incarnation;
    node.hub.apply_update(Update {
        removed: vec![("own".into(), removed)],
        ..Update::default()
    });
    assert!(node.hub.own_entry().incarnation > removed);
    let known = node.hub.directory.find("own").expect("own entry removed");
    assert!(known.entry.incarnation > removed);
    until("row shows the higher incarnation", || {
        stored_entry(&store).is_some_and(|entry| entry.incarnation > removed)
    })
    .await;
}

/// Guards against requests that crash targets and are let through again by each process that starts
/// after the crashes.
#[tokio::test]
async fn a_restarted_node_learns_which_requests_crash_targets() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let other = Sidecar::start(settings("other", &store, target.address)).unwrap();
    send_heartbeat(&other);
    for number in 1..=2 {
        other.hub.report_crash(Crash {
            node: "other".into(),
            number,
            incarnation: 1,
            fingerprints: vec![7],
        });
    }
    let row_of_other = || store.value(NODE_TABLE, "other").is_some();
    until("entry of the other node written", row_of_other).await;
    let restarted = Sidecar::start(settings("own", &store, target.address)).unwrap();
    send_heartbeat(&restarted);
    until("crashes known", || restarted.hub.suspicions.must_refuse(7)).await;
}

/// Guards against a departure that an earlier write of the node, performed late by the store,
/// replaces.
#[tokio::test]
async fn a_row_that_an_earlier_write_replaced_is_written_again() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = start_serving(&store, &target).await;
    let earlier = store.value(NODE_TABLE, "own").unwrap();
    node.runner.apply_departure("t-own", Some(1));
    let departed = || stored_target(&store).is_some_and(|target| target.has_departed());
    until("departure stored", departed).await;
    store.put(NODE_TABLE, "own", &earlier);
    until("departure stored again", departed).await;
}

/// Guards against a node that never announces itself, because another program left a row under its
/// name that cannot be read.
#[tokio::test]
async fn an_unreadable_row_of_this_node_is_replaced() {
    let store = store().await;
    store.put_unreadable(NODE_TABLE, "own");
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let _node = start_serving(&store, &target).await;
}

/// Guards against a target that left and is in use again after its node was killed: the departure was
/// acknowledged before it was stored.
#[tokio::test]
async fn a_departure_is_stored_before_it_is_acknowledged() {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = start_serving(&store, &target).await;
    let handler = heartbeat_listener::Handler {
        dialect: std::sync::Arc::new(platform::Dialect),
        hub: node.hub.clone(),
    };
    let server = Server::start(ANY_PORT, std::sync::Arc::new(handler)).unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let path = sample::instance_path("t-own");
    let text = format!(
        "DELETE {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(stored_target(&store).is_some_and(|target| target.has_departed()));
}

/// An entry of the node `name` as JSON, with one field replaced by this JSON text.
fn odd_entry(name: &str, field: &str, json: &str) -> String {
    let entry = crate::testing::entry(name, "bkk", "bkk-a", 1);
    let mut value = serde_json::to_value(entry).unwrap();
    value[field] = "REPLACED".into();
    value.to_string().replace("\"REPLACED\"", json)
}

/// Runs a node, leaves an odd row in the table of the nodes' entries, and checks that the node goes on
/// following the table and serving callers.
async fn check_odd_row(key: &str, value: &str) {
    let store = store().await;
    let target = ScriptedTarget::start(&[Action::Answer(GOOD)]).await;
    let node = Sidecar::start(settings("own", &store, target.address)).unwrap();
    send_heartbeat(&node);
    until("version 1 in force", || node.version() == 1).await;
    let announced = || store.keys(NODE_TABLE).iter().any(|key| key == "own");
    until("own entry written", announced).await;
    store.put(NODE_TABLE, key, value);
    let good = serde_json::to_string(&crate::testing::entry("good", "bkk", "bkk-b", 1)).unwrap();
    store.put(NODE_TABLE, "good", &good);
    until("entry written after the odd one applied", || {
        node.hub.directory.find("good").is_some()
    })
    .await;
    let odd = node.hub.directory.find("odd");
    assert!(odd.is_none(), "an entry that no node announces is in use");
    let own = node.hub.own_entry();
    assert!(own.incarnation < u64::MAX / 2, "{own:?}");
    let answer = send_request(node.caller_address(), 3_000).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

macro_rules! odd_row_tests {
    ($($name:ident: $key:expr, $value:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            check_odd_row($key, &$value).await;
        })*
    };
}

odd_row_tests! {
    a_row_that_is_not_json_is_skipped: "odd", "\u{0}\u{1f}not json";
    an_empty_row_is_skipped: "odd", "";
    a_deeply_nested_row_is_skipped: "odd", "[".repeat(30_000);
    a_row_with_a_deeply_nested_field_is_skipped: "odd",
        odd_entry("odd", "target", &format!("{}{}", "[".repeat(20_000), "]".repeat(20_000)));
    a_row_with_a_number_that_is_too_large_is_skipped: "odd",
        odd_entry("odd", "incarnation", "184467440737095516160");
    a_row_with_a_port_out_of_range_is_skipped: "odd",
        odd_entry("odd", "address", "\"127.0.0.9:70000\"");
    a_row_with_port_0_is_skipped: "odd", odd_entry("odd", "address", "\"127.0.0.9:0\"");
    a_row_of_another_node_than_its_key_is_skipped: "odd",
        odd_entry("another", "revision", "3");
    a_row_with_an_empty_key_is_skipped: "", odd_entry("", "revision", "3");
    a_row_of_this_node_with_the_largest_incarnation_is_skipped: "own",
        odd_entry("own", "incarnation", &u64::MAX.to_string());
    a_row_of_another_node_with_the_largest_incarnation_is_skipped: "odd",
        odd_entry("odd", "incarnation", &u64::MAX.to_string());
    a_row_of_this_node_with_the_largest_revision_is_skipped: "own",
        odd_entry("own", "revision", &u64::MAX.to_string());
}

/// A limit that cannot be meant must be reported, and without the section no order is driven.
#[test]
fn the_bounds_of_rollouts_are_checked() {
    let text = "[node]\nid = n1\nregion = bkk\ndata_center = bkk-a\nservice = booking\n\
        [listen]\ncaller = 127.0.0.1:1\nmesh = 127.0.0.1:2\nadmin = 127.0.0.1:3\n\
        [platform]\naddress = 127.0.0.1:4\n[target]\naddress = 127.0.0.1:5\n";
    assert_eq!(Settings::read(text).unwrap().rollouts, None);
    let given =
        format!("{text}[rollouts]\ncanary_share = 0.1\ncanary_slack = 50\nrollback_s = 5\n");
    assert_eq!(Settings::read(&given).unwrap().rollouts, Some(LIMITS));
    for (key, value) in [
        ("canary_share", "1.5"),
        ("canary_share", "0"),
        ("canary_slack", "-1"),
        ("rollback_s", "0"),
    ] {
        let error = Settings::read(&format!("{text}[rollouts]\n{key} = {value}\n")).unwrap_err();
        assert!(
            error.to_string().contains(&format!("[rollouts] {key}")),
            "{error}"
        );
    }
}

const LIMITS: canary::Limits = canary::Limits {
    share: 0.1,
    slack: 50.0,
    rollback: Duration::from_secs(5),
};

/// Starts a node that drives canary releases, with a target of `version` that answers as scripted.
async fn canary_node(
    name: &str,
    store: &StoreServer,
    version: &str,
    action: Action,
) -> (Sidecar, ScriptedTarget) {
    let (settings, target) = canary_settings(name, store, action).await;
    (start(settings, version), target)
}

async fn canary_settings(
    name: &str,
    store: &StoreServer,
    action: Action,
) -> (Settings, ScriptedTarget) {
    let target = ScriptedTarget::start(&[action]).await;
    let mut settings = settings(name, store, target.address);
    settings.rollouts = Some(LIMITS);
    (settings, target)
}

/// Starts a node whose target runs `version`.
fn start(settings: Settings, version: &str) -> Sidecar {
    let node = Sidecar::start(settings).unwrap();
    node.runner.apply_heartbeat(Heartbeat {
        version: version.into(),
        ..heartbeat(&node)
    });
    node
}

fn order(store: &StoreServer, duration_s: f64) {
    let order = format!(r#"{{"Service":"booking","Target":"v2","DurationS":{duration_s}}}"#);
    store.put("op", "rollout/booking", &order);
}

/// State and whether all requests go to the target version, by the store's row.
fn progress(store: &StoreServer) -> (String, bool) {
    let row = store.value("status", "rollout/booking").unwrap_or_default();
    let row: serde_json::Value = serde_json::from_str(&row).unwrap_or_default();
    let state = row["State"].as_str().unwrap_or_default().to_owned();
    (state, row["Shifted"].as_bool().unwrap_or_default())
}

fn stage(node: &Sidecar) -> Option<Stage> {
    let notice = node.hub.directory.canary.notice("booking");
    notice.map(|notice| notice.stage)
}

/// Sends requests to a node, with a pause between them, until the returned task is aborted.
fn send_requests(address: SocketAddr, pause: Duration) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            send_request(address, 1_000).await;
            tokio::time::sleep(pause).await;
        }
    })
}

async fn until_all_know(nodes: &[&Sidecar]) {
    until("all nodes know all targets", || {
        nodes.iter().all(|node| {
            let serving = |name: &&Sidecar| {
                let found = node.hub.directory.find(&name.settings.node);
                found.is_some_and(|found| found.is_serving())
            };
            node.version() == 1 && nodes.iter().all(serving)
        })
    })
    .await;
}

/// The progress is in the store, so an order must not end with the node that drives it, nor start
/// again from the beginning.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_node_finishes_the_order_of_a_driver_that_dies() {
    let store = store().await;
    // The first in rank drives. It runs in a runtime of its own, so that all of it can be killed.
    let names = watcher::rank(["n1", "n2", "n3"].map(String::from).to_vec());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let driver = {
        let (settings, _target) = canary_settings(&names[0], &store, Action::Answer(GOOD)).await;
        let _context = runtime.enter();
        start(settings, "v1")
    };
    let (other, _new) = canary_node(&names[1], &store, "v2", Action::Answer(GOOD)).await;
    let (caller, _old) = canary_node(&names[2], &store, "v1", Action::Answer(GOOD)).await;
    until_all_know(&[&driver, &other, &caller]).await;
    order(&store, 8.0);
    until("the order is running", || progress(&store).0 == "running").await;
    until("all nodes know the trial", || {
        [&other, &caller]
            .iter()
            .all(|node| stage(node) == Some(Stage::Trial))
    })
    .await;
    let order_before = caller.hub.directory.canary.notice("booking");
    runtime.shutdown_background();
    let requests = send_requests(caller.caller_address(), Duration::from_millis(100));
    until("the traffic shifts", || progress(&store).1).await;
    until("the order is done", || progress(&store).0 == "done").await;
    until("the nodes know it", || stage(&caller) == Some(Stage::Done)).await;
    requests.abort();
    let order_after = other.hub.directory.canary.notice("booking");
    assert_eq!(
        order_before.map(|notice| notice.order),
        order_after.map(|notice| notice.order),
        "the same order"
    );
}

/// Callers' requests that fail at the target version must end there within seconds, and the end must
/// be stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_failing_version_is_rolled_back() {
    let store = store().await;
    let (first, _old) = canary_node("n1", &store, "v1", Action::Answer(GOOD)).await;
    let (second, new) = canary_node("n2", &store, "v2", Action::Answer(FAILURE)).await;
    until_all_know(&[&first, &second]).await;
    order(&store, 60.0);
    until("all nodes know the order", || {
        [&first, &second].iter().all(|node| stage(node).is_some())
    })
    .await;
    let before = new.requests();
    let callers: Vec<_> = [&first, &second, &first, &second]
        .iter()
        .map(|node| send_requests(node.caller_address(), Duration::from_millis(5)))
        .collect();
    until("rolled back", || progress(&store).0 == "rolled_back").await;
    let at_rollback = new.requests();
    assert!(at_rollback - before < 50, "{before} and {at_rollback}");
    until("all nodes know it", || {
        [&first, &second]
            .iter()
            .all(|node| stage(node) == Some(Stage::RolledBack))
    })
    .await;
    let after = new.requests();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(new.requests(), after, "no request after the rollback");
    for caller in callers {
        caller.abort();
    }
}

/// Two drivers may exist at a time, for example when nodes do not see each other. The one that has not
/// read the other's progress must not act.
#[tokio::test]
async fn of_two_drivers_one_acts() {
    let store = store().await;
    let (first, _) = canary_node("n1", &store, "v1", Action::Answer(GOOD)).await;
    let mut far = settings("n2", &store, first.settings.target);
    far.rollouts = Some(LIMITS);
    far.data_center = "hkt-a".into();
    let second = Sidecar::start(far).unwrap();
    let drivers = [&first, &second].map(|node| {
        Rollouts::new(
            node.hub.clone(),
            node.store.clone(),
            Arc::new(platform::Dialect),
            Arc::new(Counters::new()),
            Some(LIMITS),
        )
    });
    let row = Row {
        key: "op/rollout/booking".into(),
        value: r#"{"Service":"booking","Target":"v2","DurationS":60}"#.into(),
        revision: 7,
    };
    for driver in &drivers {
        driver.apply_changes(&[Change::Written(row.clone())]);
    }
    // Both read that there is no progress.
    assert!(drivers[0].load_progress("booking", &LIMITS).await.unwrap());
    assert!(drivers[1].load_progress("booking", &LIMITS).await.unwrap());
    drivers[0].drive_order("booking", &LIMITS).await.unwrap();
    let written = store.value("status", "rollout/booking").unwrap();
    drivers[1].drive_order("booking", &LIMITS).await.unwrap();
    assert_eq!(store.value("status", "rollout/booking").unwrap(), written);
    // The second one reads the row of the first, and goes on from there.
    drivers[1].drive_order("booking", &LIMITS).await.unwrap();
    assert_eq!(store.value("status", "rollout/booking").unwrap(), written);
}

/// Nodes must not wait for the store before they keep requests from a bad version, and the end must be
/// stored once the store is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_is_withdrawn_during_a_store_outage() {
    let store = store().await;
    let (first, _old) = canary_node("n1", &store, "v1", Action::Answer(GOOD)).await;
    let (second, _new) = canary_node("n2", &store, "v2", Action::Answer(FAILURE)).await;
    until_all_know(&[&first, &second]).await;
    order(&store, 60.0);
    until("the order is running", || progress(&store).0 == "running").await;
    store.set_fault(Some(StoreFault::Busy));
    let callers: Vec<_> = [&first, &second]
        .iter()
        .map(|node| send_requests(node.caller_address(), Duration::from_millis(2)))
        .collect();
    until("all nodes withdraw the version", || {
        [&first, &second]
            .iter()
            .all(|node| stage(node) == Some(Stage::Withdrawn))
    })
    .await;
    assert_eq!(progress(&store).0, "running");
    store.set_fault(None);
    until("the end is stored", || progress(&store).0 == "rolled_back").await;
    for caller in callers {
        caller.abort();
    }
}

/// Guards against limits that are misread and then take no effect, or so low that nothing is served.
#[test]
fn invalid_limits_are_reported_with_section_key_and_line() {
    let text = "[node]\nid = n1\nregion = bkk\ndata_center = bkk-a\nservice = booking\n\
        [listen]\ncaller = 127.0.0.1:1\nmesh = 127.0.0.1:2\nadmin = 127.0.0.1:3\n\
        [platform]\naddress = 127.0.0.1:4\n[target]\naddress = 127.0.0.1:5\n";
    let valid = format!("{text}[limits]\nmemory_mb = 110\nmax_fds = 4100\n");
    let limits = Settings::read(&valid).unwrap().limits;
    assert_eq!((limits.memory_mb, limits.max_fds), (110, 4_100));
    let invalid = format!("{text}[limits]\nmemory_mb = 1\nmax_fds = many\n");
    let error = Settings::read(&invalid).unwrap_err().to_string();
    for expected in [
        "[limits] memory_mb: '1' found",
        "[limits] max_fds: 'many' found",
        "15",
        "16",
    ] {
        assert!(error.contains(expected), "{expected}: {error}");
    }
}
