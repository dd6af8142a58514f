//! Requests of a caller through its node to a scripted target beside it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use tokio::sync::mpsc;

use crate::dialect::{Heartbeat, Phase};
use crate::directory::{Directory, Place};
use crate::forward::{Forwarder, Limits};
use crate::h1::Response;
use crate::ingress::Handler;
use crate::link::Entry;
use crate::platform;
use crate::roster::Suspicions;
use crate::target::Side;
use crate::telemetry::{Counters, Histograms};
use crate::testing::{self, Action, FAILURE, GOOD, NullService, ScriptedTarget, request};
use crate::version::Versions;

const CONFIG: &str = r#"{"Version":1,"Resources":[
    {"KindOf":"Services","Metadata":{"Name":"booking"},"Spec":{}},
    {"KindOf":"Routes","Metadata":{"Name":"safe"},"Spec":{"Host":"shop.example",
     "Prefix":"/safe/","Type":"safe","TimeoutS":0.6,"GoalS":0.3,"Priority":1,"Attempts":3,
     "Service":"booking"}},
    {"KindOf":"Routes","Metadata":{"Name":"once"},"Spec":{"Host":"shop.example",
     "Prefix":"/once/","Type":"unsafe","TimeoutS":0.6,"GoalS":0.3,"Priority":1,"Attempts":3,
     "Service":"booking"}},
    {"KindOf":"Routes","Metadata":{"Name":"longer"},"Spec":{"Host":"shop.example",
     "Prefix":"/once/longer/","Type":"safe","TimeoutS":0.6,"GoalS":0.3,"Priority":1,"Attempts":1,
     "Service":"booking"}}]}"#;

fn own_entry() -> Entry {
    let mut entry = testing::entry("own", "bkk", "bkk-a", 1);
    let target = entry.target.as_mut().unwrap();
    target.slots = 1;
    entry
}

struct Bench {
    target: ScriptedTarget,
    forwarder: Arc<Forwarder>,
    versions: Versions,
}

async fn bench(script: &[Action]) -> Bench {
    let target = ScriptedTarget::start(script).await;
    let dialect = Arc::new(platform::Dialect);
    let suspicions = Arc::new(Suspicions::default());
    let (report, _) = mpsc::unbounded_channel();
    let side = Side::new(target.address, dialect.clone(), suspicions.clone(), report);
    side.heartbeat(Heartbeat {
        id: "t1".into(),
        started_ms: 1,
        sequence: 1,
        service: "booking".into(),
        slots: 1,
        phase: Phase::Ready,
        cold: Duration::ZERO,
    });
    let directory = Arc::new(Directory::new(Place {
        node: "own".into(),
        region: "bkk".into(),
        data_center: "bkk-a".into(),
    }));
    directory.connect(Arc::new(NullService));
    directory.learn(vec![own_entry()]);
    let versions = Versions::new(dialect.clone());
    versions.take(CONFIG.as_bytes(), "test");
    let forwarder = Forwarder::new(
        dialect,
        directory,
        side,
        versions.in_force().clone(),
        suspicions,
        Arc::new(Counters::new()),
        Arc::new(Histograms::default()),
        Limits {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
    );
    forwarder.set_caller_service("servicing");
    Bench {
        target,
        forwarder: Arc::new(forwarder),
        versions,
    }
}

async fn send(bench: &Bench, path: &str) -> Response {
    let id = format!("{:x}", rand::random::<u64>());
    bench
        .forwarder
        .handle(request(Method::GET, path, &id))
        .await
}

/// Status of the answer and requests that reached the target.
async fn outcome(script: &[Action], path: &str) -> (u16, u32) {
    let bench = bench(script).await;
    let response = send(&bench, path).await;
    (response.status.as_u16(), bench.target.requests())
}

macro_rules! ends {
    ($($name:ident: $script:expr, $path:expr => $expected:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            assert_eq!(outcome(&$script, $path).await, $expected);
        })*
    };
}

ends! {
    a_request_is_answered_by_its_target: [Action::Answer(GOOD)], "/once/a" => (200, 1),
    a_request_without_route_is_not_found: [Action::Answer(GOOD)], "/other/a" => (404, 0),
    a_failure_is_passed_on_where_it_must_not_be_repeated:
        [Action::Answer(FAILURE), Action::Answer(GOOD)], "/once/a" => (500, 1),
    a_lost_answer_that_must_not_be_repeated_may_have_run:
        [Action::Close, Action::Answer(GOOD)], "/once/a" => (502, 1),
    an_answer_that_takes_too_long_is_a_time_out: [Action::NeverAnswer], "/once/a" => (504, 1),
    the_longest_prefix_decides: [Action::Close, Action::Answer(GOOD)], "/once/longer/a" => (502, 1),
}

#[tokio::test]
async fn a_node_without_version_refuses_for_now() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    bench.versions.in_force().store(None);
    let response = send(&bench, "/once/a").await;
    assert_eq!(response.status.as_u16(), 503);
    let after = response.headers["retry-after"].to_str().unwrap();
    assert!(
        after.parse::<f64>().is_ok_and(|after| after > 0.0),
        "{after}"
    );
}

#[tokio::test]
async fn a_refusal_for_load_is_given_at_once_and_nothing_ran() {
    let bench = bench(&[Action::NeverAnswer]).await;
    let forwarder = bench.forwarder.clone();
    let running =
        tokio::spawn(async move { forwarder.handle(request(Method::GET, "/once/a", "1")).await });
    crate::testing::until("arrived", || bench.target.requests() == 1).await;
    let mut second = request(Method::GET, "/once/b", "2");
    second
        .headers
        .insert("bluebellgap-deadline-ms", "60".parse().unwrap());
    let began = Instant::now();
    let response = bench.forwarder.handle(second).await;
    assert_eq!(response.status.as_u16(), 503);
    assert!(began.elapsed() < Duration::from_millis(100));
    assert_eq!(running.await.unwrap().status.as_u16(), 504);
    assert_eq!(bench.target.requests(), 1);
}

#[tokio::test]
async fn a_node_that_ends_takes_only_what_is_answered_before() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    bench
        .forwarder
        .stop_by(Instant::now() + Duration::from_millis(300));
    let outlasting = send(&bench, "/once/a").await;
    assert_eq!(outlasting.status.as_u16(), 503);
    assert!(outlasting.headers.contains_key("retry-after"));
    assert_eq!(bench.target.requests(), 0);
    let mut short = request(Method::GET, "/once/b", "2");
    short
        .headers
        .insert("bluebellgap-deadline-ms", "200".parse().unwrap());
    assert_eq!(bench.forwarder.handle(short).await.status.as_u16(), 200);
}

#[tokio::test]
async fn a_request_at_work_when_the_node_ends_gets_an_answer() {
    let bench = bench(&[Action::NeverAnswer]).await;
    let forwarder = bench.forwarder.clone();
    let running =
        tokio::spawn(async move { forwarder.handle(request(Method::GET, "/once/a", "1")).await });
    crate::testing::until("arrived", || bench.target.requests() == 1).await;
    bench.forwarder.stop_by(Instant::now());
    assert_eq!(running.await.unwrap().status.as_u16(), 502);
    bench.forwarder.idle().await;
}
