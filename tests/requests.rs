//! What must always hold of requests, under failures: whole meshes in one process.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bluebellgap::standin::{Caller, Fault, Mesh, TargetOptions};
use bluebellgap::verdict::Verdict;

use common::{LIMIT, cases, layout, start, until};

cases! {
    a_leaving_target_gets_no_new_work => leaving_target();
    shutdown_cuts_off_nothing_in_flight => graceful_shutdown();
    a_killed_target_node_is_avoided => killed_node();
    a_repeated_booking_runs_once => repeated_booking();
    a_key_belongs_to_one_request => key_reused();
    a_claim_survives_its_owner => claim_owner_dies();
    bookings_are_refused_truthfully_while_the_platform_is_down => booking_without_platform();
    a_booking_without_a_key_is_refused => booking_without_key();
    a_crashing_request_is_refused_everywhere_and_others_are_not => crashing_request();
    a_cancelled_call_frees_its_slot => cancelled_call();
}

/// A target that still finishes a request, and so cannot be found dead, is known to be leaving.
async fn leaving_target() {
    let mut layout = layout(2, 1, 3);
    layout.target = Some(TargetOptions {
        service_time: Duration::from_millis(20),
        long_multiple: 200,
        ..TargetOptions::default()
    });
    let mut mesh = start(&layout).await;
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let caller = mesh.caller(number % 3);
            tokio::spawn(async move { caller.get(&format!("/batch/{number}?long")).await })
        })
        .collect();
    until("a long request runs", || {
        mesh.targets[0].as_ref().unwrap().running() > 0
    })
    .await;
    let left = tokio::spawn(mesh.nodes[0].take().unwrap().leave());
    let serving = |mesh: &Mesh, index: usize| mesh.node(index).serving_targets("depot");
    until("every node knows", || {
        (1..6).all(|index| serving(&mesh, index) == 5)
    })
    .await;
    assert!(!left.is_finished(), "nobody knew before the node was gone");
    let before = mesh.targets[0].as_ref().unwrap().served();
    for index in 1..6 {
        for _ in 0..20 {
            assert!(mesh.caller(index).get("/read").await.is_success());
        }
    }
    assert_eq!(mesh.targets[0].as_ref().unwrap().served(), before);
    left.await.unwrap();
    for call in calls {
        let _ = call.await;
    }
}

async fn graceful_shutdown() {
    let mut layout = layout(1, 1, 3);
    layout.target = Some(TargetOptions {
        service_time: Duration::from_millis(400),
        ..TargetOptions::default()
    });
    let mut mesh = start(&layout).await;
    let callers: Vec<Caller> = (0..3).map(|index| mesh.caller(index)).collect();
    let calls: Vec<_> = (0..30)
        .map(|number| {
            let caller = callers[number % 3].clone();
            tokio::spawn(async move { caller.post("/book", &format!("k{number}"), "unit").await })
        })
        .collect();
    until("requests run", || {
        mesh.targets[0].as_ref().unwrap().running() > 0
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
    until("the dead member is dropped", || {
        mesh.node(0).known_members() == 3
    })
    .await;
}

async fn repeated_booking() {
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
    let other = mesh.caller(0).post("/book", "k", "unit 8").await;
    assert_eq!((other.status, other.verdict), (422, Some(Verdict::NotRun)));
    assert_eq!(runs(&mesh, "k"), 1);
}

/// Kills nodes one after another, each time repeating a booking whose answer is recorded.
async fn claim_owner_dies() {
    let mut mesh = start(&layout(1, 1, 5)).await;
    let first = mesh.caller(0).post("/book", "k", "unit 7").await;
    assert!(first.is_success(), "{first:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    for index in (1..5).rev() {
        mesh.kill(index);
        let caller = mesh.caller(0);
        let began = std::time::Instant::now();
        let again = loop {
            let answer = caller.post("/book", "k", "unit 7").await;
            if answer.is_success() || began.elapsed() > LIMIT {
                break answer;
            }
            assert!(answer.status != 200, "{answer:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        assert!(again.is_success() && again.replayed, "{again:?}");
        assert_eq!(again.body, first.body);
        assert_eq!(runs(&mesh, "k"), 1);
    }
}

async fn booking_without_platform() {
    let mesh = start(&layout(1, 1, 3)).await;
    // Enough keys that every shard has an owner that is loaded.
    for number in 0..100 {
        let answer = mesh
            .caller(0)
            .post("/book", &format!("before-{number}"), "unit")
            .await;
        assert!(answer.is_success(), "{answer:?}");
    }
    mesh.platform.inject(Fault::Down);
    let during = |number: usize| format!("during-{number}");
    for number in 0..8 {
        let answer = mesh
            .caller(number % 3)
            .post("/book", &during(number), "unit")
            .await;
        assert_eq!(
            (answer.is_success(), answer.verdict),
            (false, Some(Verdict::NotRun)),
            "{answer:?}"
        );
        assert_eq!(runs(&mesh, &during(number)), 0);
    }
    mesh.platform.inject(Fault::None);
    for number in 0..8 {
        let answer = mesh
            .caller(number % 3)
            .post("/book", &during(number), "unit")
            .await;
        assert!(answer.is_success(), "{answer:?}");
        assert_eq!(runs(&mesh, &during(number)), 1);
    }
}

async fn booking_without_key() {
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
    let innocent = tokio::spawn(bystanders(mesh.caller(1), mesh.caller(4)));
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
    innocent.await.unwrap();
}

/// Requests beside a crashing one; each may be lost with a target but is never refused for it.
async fn bystanders(one: Caller, other: Caller) {
    for number in 0..200 {
        let caller = if number % 2 == 0 { &one } else { &other };
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
    until("the call runs", || target.running() == 1).await;
    call.abort();
    until("the slot is free", || target.running() == 0).await;
}
