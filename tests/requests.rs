//! Invariants of requests under failures: whole meshes in one process.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bluebellgap::standin::{Caller, Fault, Mesh, TargetOptions};
use bluebellgap::verdict::Verdict;

use common::{LIMIT, cases, layout, start, wait_until};

/// Time after which a round of calls that left out a target is followed by another.
const ROUND_TIME: Duration = Duration::from_millis(500);

cases! {
    a_leaving_target_gets_no_new_requests => leaving_target();
    shutdown_completes_requests_in_flight => graceful_shutdown();
    a_killed_target_node_is_avoided => killed_node();
    concurrent_requests_with_one_key_run_once => repeated_request();
    a_key_reused_for_a_different_request_is_refused => key_reused();
    a_recorded_answer_is_replayed_after_claim_owners_are_killed => claim_owners_killed();
    keyed_requests_are_refused_and_not_run_while_the_platform_is_down => request_without_platform();
    a_non_idempotent_request_without_a_key_is_refused => request_without_key();
    only_the_request_that_crashes_targets_is_refused_by_every_node => crashing_request();
    a_cancelled_call_frees_its_slot => cancelled_call();
}

/// The leaving node stays up to finish a long request, so the others can detect its departure only
/// by its announcement, not by failed connections.
async fn leaving_target() {
    let mut layout = layout(2, 1, 3);
    layout.target = Some(TargetOptions {
        service_time: Duration::from_millis(20),
        long_multiple: 200,
        ..TargetOptions::default()
    });
    let mut mesh = start(&layout).await;
    let mut calls = Vec::new();
    send_until_first_target_runs(&mesh, || {
        for number in 0..12 {
            let caller = mesh.caller(number % 3);
            calls.push(tokio::spawn(async move {
                caller.get(&format!("/batch/{number}?long")).await
            }));
        }
    })
    .await;
    let departure = tokio::spawn(mesh.nodes[0].take().unwrap().leave());
    let serving_targets = |mesh: &Mesh, index: usize| mesh.node(index).serving_targets("depot");
    wait_until("no other node counts the leaving target as serving", || {
        (1..6).all(|index| serving_targets(&mesh, index) == 5)
    })
    .await;
    assert!(
        !departure.is_finished(),
        "the node stopped before the others stopped using its target"
    );
    let served_before = mesh.targets[0].as_ref().unwrap().served();
    for index in 1..6 {
        for _ in 0..20 {
            assert!(mesh.caller(index).get("/read").await.is_success());
        }
    }
    assert_eq!(mesh.targets[0].as_ref().unwrap().served(), served_before);
    departure.await.unwrap();
    for call in calls {
        let _ = call.await;
    }
}

/// Sends rounds of calls until one runs at the first target. A round may leave it out: targets are
/// chosen at random, and nodes that saw its start after those of the others give it a slow start.
async fn send_until_first_target_runs(mesh: &Mesh, mut send: impl FnMut()) {
    let mut sent_at = None;
    wait_until("requests run at the first target", || {
        let running = mesh.targets[0].as_ref().unwrap().running() > 0;
        let round_ended = sent_at.is_none_or(|at: Instant| at.elapsed() > ROUND_TIME);
        if !running && round_ended {
            sent_at = Some(Instant::now());
            send();
        }
        running
    })
    .await;
}

async fn graceful_shutdown() {
    let mut layout = layout(1, 1, 3);
    layout.target = Some(TargetOptions {
        service_time: Duration::from_millis(400),
        ..TargetOptions::default()
    });
    let mut mesh = start(&layout).await;
    let mut calls = Vec::new();
    send_until_first_target_runs(&mesh, || {
        for number in calls.len()..calls.len() + 30 {
            let caller = mesh.caller(number % 3);
            calls.push(tokio::spawn(async move {
                caller.post("/book", &format!("k{number}"), "unit").await
            }));
        }
    })
    .await;
    mesh.nodes[0].take().unwrap().leave().await;
    for call in calls {
        let answer = call.await.unwrap();
        assert!(answer.is_success(), "{answer:?}");
    }
}

async fn killed_node() {
    let mut mesh = start(&layout(1, 1, 4)).await;
    mesh.kill(3);
    for number in 0..40 {
        let answer = mesh.caller(number % 3).get("/read").await;
        assert!(answer.is_success(), "{answer:?}");
    }
    wait_until("the killed node is dropped from the members", || {
        mesh.node(0).known_members() == 3
    })
    .await;
}

async fn repeated_request() {
    let mesh = Arc::new(start(&layout(2, 1, 3)).await);
    let calls: Vec<_> = (0..24)
        .map(|number| {
            let caller = mesh.caller(number % 6);
            tokio::spawn(async move { caller.post("/book", "one-key", "unit 7").await })
        })
        .collect();
    let mut bodies = Vec::new();
    for call in calls {
        let answer = call.await.unwrap();
        assert!(answer.is_success(), "{answer:?}");
        bodies.push(answer.body);
    }
    bodies.dedup();
    assert_eq!(bodies.len(), 1, "repeats got different answers");
    assert_eq!(runs(&mesh, "one-key"), 1);
}

/// How often targets ran the request with this idempotency key.
fn runs(mesh: &Mesh, key: &str) -> u32 {
    let targets = mesh.targets.iter().flatten();
    targets
        .map(|target| target.runs_by_key().get(key).copied().unwrap_or(0))
        .sum()
}

async fn key_reused() {
    let mesh = start(&layout(1, 1, 2)).await;
    assert!(
        mesh.caller(0)
            .post("/book", "k", "unit 7")
            .await
            .is_success()
    );
    let reused = mesh.caller(0).post("/book", "k", "unit 8").await;
    assert_eq!(
        (reused.status, reused.verdict),
        (422, Some(Verdict::NotRun))
    );
    assert_eq!(runs(&mesh, "k"), 1);
}

/// Kills nodes one by one, and repeats a request with a recorded answer after each kill.
async fn claim_owners_killed() {
    let mut mesh = start(&layout(1, 1, 5)).await;
    let first = mesh.caller(0).post("/book", "k", "unit 7").await;
    assert!(first.is_success(), "{first:?}");
    // The answer may be recorded only after the caller has it; a kill before that could lose it.
    tokio::time::sleep(Duration::from_millis(300)).await;
    for index in (1..5).rev() {
        mesh.kill(index);
        let caller = mesh.caller(0);
        let began = std::time::Instant::now();
        let repeated = loop {
            let answer = caller.post("/book", "k", "unit 7").await;
            if answer.is_success() || began.elapsed() > LIMIT {
                break answer;
            }
            assert!(answer.status != 200, "{answer:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        assert!(repeated.is_success() && repeated.replayed, "{repeated:?}");
        assert_eq!(repeated.body, first.body);
        assert_eq!(runs(&mesh, "k"), 1);
    }
}

async fn request_without_platform() {
    let mesh = start(&layout(1, 1, 3)).await;
    // Enough keys that every claim shard has an owner that has loaded its claims.
    for number in 0..100 {
        let answer = mesh
            .caller(0)
            .post("/book", &format!("before-{number}"), "unit")
            .await;
        assert!(answer.is_success(), "{answer:?}");
    }
    mesh.platform.inject(Fault::Down);
    let outage_key = |number: usize| format!("during-{number}");
    for number in 0..8 {
        let answer = mesh
            .caller(number % 3)
            .post("/book", &outage_key(number), "unit")
            .await;
        assert_eq!(
            (answer.is_success(), answer.verdict),
            (false, Some(Verdict::NotRun)),
            "{answer:?}"
        );
        assert_eq!(runs(&mesh, &outage_key(number)), 0);
    }
    mesh.platform.inject(Fault::None);
    for number in 0..8 {
        let answer = mesh
            .caller(number % 3)
            .post("/book", &outage_key(number), "unit")
            .await;
        assert!(answer.is_success(), "{answer:?}");
        assert_eq!(runs(&mesh, &outage_key(number)), 1);
    }
}

async fn request_without_key() {
    let mesh = start(&layout(1, 1, 2)).await;
    let answer = mesh.caller(0).get("/book").await;
    assert_eq!(
        (answer.status, answer.verdict),
        (400, Some(Verdict::NotRun))
    );
}

async fn crashing_request() {
    let mut layout = layout(2, 1, 3);
    layout.target = Some(TargetOptions {
        service_time: Duration::from_millis(20),
        ..TargetOptions::default()
    });
    let mesh = start(&layout).await;
    let harmless_requests = tokio::spawn(send_harmless_requests(mesh.caller(1), mesh.caller(4)));
    for _ in 0..20 {
        mesh.caller(0).get("/read?crash").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let crashes: u32 = mesh
        .targets
        .iter()
        .flatten()
        .map(bluebellgap::standin::Target::crashes)
        .sum();
    assert!(crashes <= 2, "{crashes} targets crashed");
    for index in 0..6 {
        let answer = mesh.caller(index).get("/read?crash").await;
        assert_eq!(
            answer.reason.as_deref(),
            Some("suspected"),
            "node {index}: {answer:?}"
        );
        assert_eq!(answer.verdict, Some(Verdict::NotRun));
    }
    harmless_requests.await.unwrap();
}

/// Sends requests that crash no target, alongside one that does: each may be lost in the crash of a
/// target, but none is refused as suspected.
async fn send_harmless_requests(first: Caller, second: Caller) {
    for number in 0..200 {
        let caller = if number % 2 == 0 { &first } else { &second };
        let answer = caller.get(&format!("/read/unit-{}", number % 10)).await;
        assert_ne!(answer.reason.as_deref(), Some("suspected"), "{answer:?}");
    }
}

async fn cancelled_call() {
    let mut layout = layout(1, 1, 1);
    layout.target = Some(TargetOptions {
        slots: 1,
        service_time: Duration::from_secs(20),
        ..TargetOptions::default()
    });
    let mesh = start(&layout).await;
    let caller = mesh.caller(0);
    let call = tokio::spawn(async move { caller.get("/batch").await });
    let target = mesh.targets[0].as_ref().unwrap();
    wait_until("the call runs", || target.running() == 1).await;
    call.abort();
    wait_until("the slot is free", || target.running() == 0).await;
}
