//! Requests at a scripted target.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::dialect::{Heartbeat, Phase};
use crate::h1::Response;
use crate::platform;
use crate::roster::{Crash, Presence, Suspicions};
use crate::target::{Finding, Side};
use crate::testing::{Action, FAILURE, GOOD, ScriptedTarget, offer, until};
use crate::verdict::{Reason, Refusal, Verdict};

const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-server-stamp: s\r\ncontent-length: 20\r\n\r\nok";
const UNSIGNED: &str =
    "HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\ncontent-length: 2\r\n\r\nok";
const ENCODED: &str = "HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-server-stamp: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nbluebellgap-request-id: other\r\n\
    bluebellgap-server-stamp: s\r\ncontent-length: 5\r\n\r\nother";
const FOREIGN_THEN_GOOD: &str = "HTTP/1.1 200 OK\r\nbluebellgap-request-id: other\r\n\
    bluebellgap-server-stamp: s\r\ncontent-length: 5\r\n\r\nother\
    HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-server-stamp: s\r\ncontent-length: 2\r\n\r\nok";
const GOOD_THEN_MORE: &str = "HTTP/1.1 200 OK\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-server-stamp: s\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n";
const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nbluebellgap-request-id: {id}\r\n\
    bluebellgap-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\nbluebellgap-request-id: {id}\r\n\
    content-length: 0\r\n\r\n";
const GARBAGE: &str = "\u{1}\u{2}not an answer\r\n\r\n";

fn heartbeat(sequence: u64, phase: Phase) -> Heartbeat {
    Heartbeat {
        id: "t1".into(),
        started_ms: 1,
        sequence,
        service: "booking".into(),
        slots: 2,
        phase,
        cold: Duration::ZERO,
    }
}

struct Bench {
    target: ScriptedTarget,
    side: Arc<Side>,
    suspicions: Arc<Suspicions>,
    findings: mpsc::UnboundedReceiver<Finding>,
}

type Parts = (Arc<Suspicions>, Arc<Side>, mpsc::UnboundedReceiver<Finding>);

fn bench_at(address: std::net::SocketAddr) -> Parts {
    let suspicions = Arc::new(Suspicions::default());
    let (report, findings) = mpsc::unbounded_channel();
    let dialect = Arc::new(platform::Dialect);
    let side = Side::new(address, dialect, suspicions.clone(), report);
    side.heartbeat(heartbeat(1, Phase::Ready));
    (suspicions, side, findings)
}

async fn bench(script: &[Action]) -> Bench {
    let target = ScriptedTarget::start(script).await;
    let (suspicions, side, findings) = bench_at(target.address);
    Bench {
        target,
        side,
        suspicions,
        findings,
    }
}

async fn run(side: &Arc<Side>, idempotent: bool) -> Result<Response, Refusal> {
    side.run(offer(idempotent, Duration::from_secs(2))).await
}

/// Status of the answer, or reason and verdict of the refusal.
type End = Result<u16, (Reason, Verdict)>;

async fn end(script: &[Action], idempotent: bool) -> End {
    let bench = bench(script).await;
    let outcome = run(&bench.side, idempotent).await;
    outcome
        .map(|response| response.status.as_u16())
        .map_err(|refusal| (refusal.reason, refusal.verdict))
}

macro_rules! ends {
    ($($name:ident: $script:expr => $expected:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            let expected: End = $expected;
            assert_eq!(end(&$script, false).await, expected);
        })*
    };
}

ends! {
    a_whole_answer_is_passed_on: [Action::Answer(GOOD)] => Ok(200),
    a_failure_of_the_target_is_passed_on: [Action::Answer(FAILURE)] => Ok(500),
    a_cut_answer_may_have_run:
        [Action::AnswerAndClose(TRUNCATED)] => Err((Reason::ConnectionLost, Verdict::MayHaveRun)),
    a_lost_answer_may_have_run:
        [Action::Close] => Err((Reason::ConnectionLost, Verdict::MayHaveRun)),
    bytes_that_are_no_answer_are_spoiled:
        [Action::Answer(GARBAGE)] => Err((Reason::Spoiled, Verdict::MayHaveRun)),
    a_success_without_signature_is_spoiled:
        [Action::Answer(UNSIGNED)] => Err((Reason::Spoiled, Verdict::MayHaveRun)),
    an_encoded_answer_is_spoiled:
        [Action::Answer(ENCODED)] => Err((Reason::Spoiled, Verdict::MayHaveRun)),
    the_answer_to_another_request_is_passed_over: [Action::Answer(FOREIGN_THEN_GOOD)] => Ok(200),
    a_target_that_sheds_has_not_run_it:
        [Action::Answer(SHED)] => Err((Reason::Rejected, Verdict::NotRun)),
    another_target_at_the_address_has_not_run_it:
        [Action::Answer(MISDIRECTED)] => Err((Reason::Rejected, Verdict::NotRun)),
}

#[tokio::test]
async fn the_target_is_told_who_is_meant_who_called_and_what_time_is_left() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    run(&bench.side, true).await.unwrap();
    assert_eq!(bench.target.header("bluebellgap-expect-instance"), "t1");
    assert_eq!(
        bench.target.header("bluebellgap-caller-service"),
        "servicing"
    );
    let left: u64 = bench
        .target
        .header("bluebellgap-deadline-ms")
        .parse()
        .unwrap();
    assert!((1_500..=2_000).contains(&left), "{left}");
}

#[tokio::test]
async fn a_connection_is_used_again_after_a_whole_answer() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    for _ in 0..3 {
        run(&bench.side, false).await.unwrap();
    }
    assert_eq!(bench.target.connections(), 1);
}

#[tokio::test]
async fn a_connection_with_bytes_after_the_answer_is_not_used_again() {
    let bench = bench(&[Action::Answer(GOOD_THEN_MORE), Action::Answer(GOOD)]).await;
    for _ in 0..2 {
        assert_eq!(&run(&bench.side, false).await.unwrap().body[..], b"ok");
    }
    assert_eq!(bench.target.connections(), 2);
}

#[tokio::test]
async fn an_answer_to_another_request_alone_never_becomes_this_ones() {
    let bench = bench(&[Action::Answer(FOREIGN)]).await;
    let offer = offer(true, Duration::from_millis(200));
    let refusal = bench.side.run(offer).await.unwrap_err();
    assert_eq!(refusal.reason, Reason::Deadline);
}

#[tokio::test]
async fn a_cancelled_idempotent_request_stops_at_the_target() {
    let bench = bench(&[Action::NeverAnswer]).await;
    let side = bench.side.clone();
    let running = tokio::spawn(async move { run(&side, true).await });
    until("arrived", || bench.target.requests() == 1).await;
    running.abort();
    until("stopped", || bench.target.abandoned_requests() == 1).await;
    assert_eq!(bench.side.load().running, 0);
}

#[tokio::test]
async fn a_cancelled_request_that_must_not_be_repeated_goes_on() {
    let late = Action::AnswerAfter(Duration::from_millis(200), GOOD);
    let bench = bench(&[late]).await;
    let side = bench.side.clone();
    let running = tokio::spawn(async move { run(&side, false).await });
    until("arrived", || bench.target.requests() == 1).await;
    running.abort();
    let _ = running.await;
    assert_eq!(bench.side.load().running, 1);
    bench.side.idle().await;
    assert_eq!(bench.target.abandoned_requests(), 0);
}

#[tokio::test]
async fn a_draining_target_gets_nothing_new_from_its_acknowledgement_on() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    bench.side.heartbeat(heartbeat(2, Phase::Draining));
    let refusal = run(&bench.side, true).await.unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Draining, Verdict::NotRun)
    );
    assert_eq!(bench.target.requests(), 0);
    assert_eq!(bench.side.watch().borrow().0, Presence::Leaving);
}

#[tokio::test]
async fn a_request_for_another_service_never_reaches_the_target() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    let mut offer = offer(true, Duration::from_secs(1));
    offer.service = "servicing".into();
    let refusal = bench.side.run(offer).await.unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::NoTarget, Verdict::NotRun)
    );
    assert_eq!(bench.target.requests(), 0);
}

#[tokio::test]
async fn a_request_that_crashed_targets_is_refused() {
    let bench = bench(&[Action::Answer(GOOD)]).await;
    for number in 0..2 {
        bench.suspicions.note(&Crash {
            node: "elsewhere".into(),
            number,
            incarnation: 1,
            fingerprints: vec![7],
        });
    }
    let refusal = run(&bench.side, true).await.unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Suspected, Verdict::NotRun)
    );
}

#[tokio::test]
async fn a_lost_connection_to_a_target_that_lives_is_no_crash() {
    let mut bench = bench(&[Action::Close]).await;
    run(&bench.side, true).await.unwrap_err();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(bench.findings.try_recv().is_err());
}

#[tokio::test]
async fn a_suspected_request_that_completes_is_cleared() {
    let mut bench = bench(&[Action::Answer(GOOD)]).await;
    bench.suspicions.note(&Crash {
        node: "elsewhere".into(),
        number: 0,
        incarnation: 1,
        fingerprints: vec![7],
    });
    run(&bench.side, true).await.unwrap();
    assert_eq!(bench.findings.try_recv().unwrap(), Finding::Cleared(7));
}

#[tokio::test]
async fn requests_in_flight_at_a_crash_are_reported() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut bench = bench_at(listener.local_addr().unwrap());
    let side = bench.1.clone();
    let running = tokio::spawn(async move { run(&side, true).await });
    let (stream, _) = listener.accept().await.unwrap();
    drop(listener);
    drop(stream);
    let refusal = running.await.unwrap().unwrap_err();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    let finding = tokio::time::timeout(Duration::from_secs(2), bench.2.recv()).await;
    assert_eq!(finding.unwrap().unwrap(), Finding::Crashed(vec![7]));
    assert_eq!(bench.1.watch().borrow().0, Presence::Down);
}

#[tokio::test]
async fn after_a_time_out_requests_go_over_new_connections() {
    let soon = Duration::from_millis(100);
    let script = [
        Action::AnswerAfter(soon, GOOD),
        Action::AnswerAfter(soon, GOOD),
        Action::NeverAnswer,
        Action::Answer(GOOD),
    ];
    let bench = bench(&script).await;
    let both = tokio::join!(run(&bench.side, false), run(&bench.side, false));
    assert!(both.0.is_ok() && both.1.is_ok());
    assert_eq!(bench.target.connections(), 2);
    let silent = bench
        .side
        .run(offer(false, Duration::from_millis(300)))
        .await;
    assert_eq!(silent.unwrap_err().reason, Reason::Deadline);
    assert!(run(&bench.side, false).await.is_ok());
    assert_eq!(bench.target.connections(), 3);
}
