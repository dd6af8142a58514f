//! What must always hold, under failures: whole meshes in one process, a platform with faults.

use std::sync::Arc;
use std::time::Duration;

use bluebellgap::Error;
use bluebellgap::bundle::{Signer, Version};
use bluebellgap::rollout::{Operator, Phase};
use bluebellgap::settings::Timing;
use bluebellgap::standin::{Caller, Fault, Layout, Mesh, TargetOptions, sample_bundle};
use bluebellgap::verdict::Verdict;

const LIMIT: Duration = Duration::from_secs(15);
const CASE_LIMIT: Duration = Duration::from_mins(1);

/// Names each case and runs it on its own multi-threaded runtime.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            tokio::time::timeout(CASE_LIMIT, $body).await.expect("the case is stuck");
        })*
    };
}

/// Shorter periods than in production, so that the cases are quick.
fn layout(regions: usize, centers: usize, nodes: usize) -> Layout {
    let mut layout = Layout::new(regions, centers, nodes);
    layout.timing = Timing {
        lease_term: Duration::from_millis(900),
        beat: Duration::from_millis(300),
        refresh: Duration::from_secs(2),
        probe: Duration::from_millis(200),
        pull: Duration::from_millis(300),
        departure: Duration::from_millis(300),
        ..Timing::default()
    };
    layout
}

async fn start(layout: &Layout) -> Mesh {
    let _ = env_logger::builder().is_test(true).try_init();
    let mesh = Mesh::start(layout).unwrap();
    mesh.acquainted(LIMIT).await.unwrap();
    let version = mesh.roll(&sample_bundle(1)).await.unwrap();
    mesh.converged(version, LIMIT).await.unwrap();
    mesh
}

async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn registrars(mesh: &Mesh) -> Vec<usize> {
    let running = |index: &usize| {
        mesh.nodes[*index]
            .as_ref()
            .is_some_and(bluebellgap::Node::is_registrar)
    };
    (0..mesh.nodes.len()).filter(running).collect()
}

cases! {
    a_roll_ends_although_registrars_die => registrars_die();
    a_herd_of_nodes_returns_at_the_version_in_force => herd_returns();
    nodes_keep_serving_while_the_platform_is_down => platform_down();
    a_node_starts_from_peers_while_the_platform_is_down => start_from_peers();
    an_action_whose_answer_was_lost_takes_effect_once => lost_answers();
    of_two_operators_one_wins_and_the_other_hears_who => operators_race();
    a_stopped_version_is_never_in_force => stop_leaves_no_trace();
    a_version_that_nodes_refuse_is_held => refused_version_is_held();
    an_approved_version_on_an_old_base_is_refused => old_base();
    supersede_rolls_older_content_forward => supersede_forward();
    no_node_ever_moves_back => never_back();
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

async fn registrars_die() {
    let mut mesh = start(&layout(2, 2, 4)).await;
    let version = mesh.roll(&sample_bundle(2)).await.unwrap();
    for index in registrars(&mesh) {
        mesh.kill(index);
    }
    mesh.converged(version, LIMIT).await.unwrap();
}

async fn herd_returns() {
    let mut mesh = start(&layout(2, 1, 5)).await;
    let version = mesh.roll(&sample_bundle(2)).await.unwrap();
    mesh.converged(version, LIMIT).await.unwrap();
    for index in 0..5 {
        mesh.kill(index);
    }
    for index in 0..5 {
        mesh.restart(index).unwrap();
    }
    for index in 0..5 {
        let first = *mesh
            .node(index)
            .watch()
            .wait_for(|v| v.0 > 0)
            .await
            .unwrap();
        assert_eq!(first, version, "a restarted node served an older version");
    }
}

async fn platform_down() {
    let mesh = start(&layout(1, 2, 3)).await;
    mesh.memory.inject(Fault::Down);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..mesh.nodes.len() {
        assert_eq!(mesh.node(index).version(), Version(1));
        let answer = mesh.caller(index).get("/read").await;
        assert!(answer.ok(), "{answer:?}");
    }
    mesh.memory.inject(Fault::None);
    let version = mesh.roll(&sample_bundle(2)).await.unwrap();
    mesh.converged(version, LIMIT).await.unwrap();
}

async fn start_from_peers() {
    let mut mesh = start(&layout(1, 1, 3)).await;
    mesh.kill(2);
    mesh.memory.inject(Fault::Down);
    mesh.settings[2].seeds = vec![
        mesh.node(0).addresses().control,
        mesh.node(1).addresses().control,
    ];
    mesh.restart(2).unwrap();
    until("the node has the version of its peers", || {
        mesh.node(2).version() == Version(1)
    })
    .await;
}

async fn lost_answers() {
    let mesh = start(&layout(1, 1, 3)).await;
    let operator = mesh.operator();
    mesh.memory.inject(Fault::LoseAnswers);
    let version = operator.push(&sample_bundle(2), None).await.unwrap();
    assert_eq!(version, Version(2), "the push took effect more than once");
    operator.approve(version, &mesh.signer).await.unwrap();
    mesh.memory.inject(Fault::None);
    mesh.converged(version, LIMIT).await.unwrap();
    let status = operator.status().await.unwrap();
    assert_eq!(status.rollout.highest, Version(2));
}

async fn operators_race() {
    let mesh = start(&layout(1, 1, 2)).await;
    let operator = mesh.operator();
    for round in 0..10 {
        let one = operator
            .push(&sample_bundle(10 + round), None)
            .await
            .unwrap();
        let other = operator
            .push(&sample_bundle(50 + round), None)
            .await
            .unwrap();
        let (first, second) = tokio::join!(
            operator.approve(one, &mesh.signer),
            operator.approve(other, &mesh.signer),
        );
        let (won, lost) = match (first, second) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            outcome => panic!("not exactly one won: {outcome:?}"),
        };
        let told = matches!(&lost, Error::Conflict(who) if who.contains("alice"));
        assert!(told, "the loser does not hear who won: {lost}");
        mesh.converged(won, LIMIT).await.unwrap();
    }
}

async fn stop_leaves_no_trace() {
    let mut layout = layout(1, 1, 3);
    layout.timing.poll = Duration::from_millis(250);
    let mesh = start(&layout).await;
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(2), None).await.unwrap();
    operator.approve(version, &mesh.signer).await.unwrap();
    operator.stop(version).await.unwrap();
    let next = mesh.roll(&sample_bundle(3)).await.unwrap();
    mesh.converged(next, LIMIT).await.unwrap();
    assert_eq!(
        operator.read_draft(version).await.unwrap().phase,
        Phase::Stopped
    );
    let accepted = operator.stop(next).await.unwrap_err();
    assert!(matches!(accepted, Error::State(_)), "{accepted}");
    assert_eq!(mesh.node(0).version(), next);
}

async fn refused_version_is_held() {
    let mesh = start(&layout(1, 1, 3)).await;
    let stranger = Signer::generate("mallory");
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(2), None).await.unwrap();
    operator.approve(version, &stranger).await.unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let status = operator.status().await.unwrap();
    let refusals: Vec<_> = status
        .reports
        .iter()
        .flat_map(|r| &r.tally.refused_by)
        .collect();
    assert!(
        refusals
            .iter()
            .any(|r| r.reason.contains("mallory is unknown")),
        "{status:?}"
    );
    assert_eq!(status.rollout.active_version(), Version(1));
    assert!((0..3).all(|index| mesh.node(index).version() == Version(1)));
    operator.stop(version).await.unwrap();
    let next = mesh.roll(&sample_bundle(3)).await.unwrap();
    mesh.converged(next, LIMIT).await.unwrap();
}

async fn old_base() {
    let mesh = start(&layout(1, 1, 2)).await;
    let operator = mesh.operator();
    let old = operator.push(&sample_bundle(2), None).await.unwrap();
    let new = mesh.roll(&sample_bundle(3)).await.unwrap();
    mesh.converged(new, LIMIT).await.unwrap();
    let error = operator.approve(old, &mesh.signer).await.unwrap_err();
    assert!(matches!(error, Error::Conflict(_)), "{error}");
}

async fn supersede_forward() {
    let mesh = start(&layout(1, 1, 2)).await;
    let version = mesh.roll(&sample_bundle(2)).await.unwrap();
    mesh.converged(version, LIMIT).await.unwrap();
    let operator = mesh.operator();
    let content = operator.content(Version(1)).await.unwrap();
    assert_eq!(content, sample_bundle(1));
    let version = operator.supersede(&content, &mesh.signer).await.unwrap();
    assert_eq!(version, Version(3));
    mesh.converged(version, LIMIT).await.unwrap();
}

/// Watches every node's version through rolls, deaths of registrars and outages of the platform.
async fn never_back() {
    let mut mesh = start(&layout(1, 2, 4)).await;
    let watchers: Vec<_> = (0..mesh.nodes.len())
        .map(|i| tokio::spawn(watch(mesh.node(i).watch())))
        .collect();
    for round in 0..4 {
        let version = mesh.roll(&sample_bundle(2 + round)).await.unwrap();
        if round % 2 == 0 {
            let index = registrars(&mesh)[0];
            mesh.kill(index);
            mesh.converged(version, LIMIT).await.unwrap();
            mesh.restart(index).unwrap();
        } else {
            mesh.memory.inject(Fault::Slow(Duration::from_millis(300)));
            mesh.converged(version, LIMIT).await.unwrap();
            mesh.memory.inject(Fault::None);
        }
    }
    drop(mesh);
    for watcher in watchers {
        watcher.await.unwrap();
    }
}

async fn watch(mut versions: tokio::sync::watch::Receiver<Version>) {
    let mut highest = Version(0);
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        assert!(version > highest, "moved from {highest} to {version}");
        highest = version;
    }
}

async fn leaving_target() {
    let mut mesh = start(&layout(2, 1, 3)).await;
    let leaving = mesh.nodes[0].take().unwrap();
    let left = tokio::spawn(leaving.leave());
    let serving = |mesh: &Mesh, index: usize| mesh.node(index).serving_targets("depot");
    let began = std::time::Instant::now();
    until("every node knows", || {
        (1..6).all(|index| serving(&mesh, index) == 5)
    })
    .await;
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
    let before = mesh.targets[0].as_ref().unwrap().served();
    for index in 1..6 {
        for _ in 0..20 {
            assert!(mesh.caller(index).get("/read").await.ok());
        }
    }
    assert_eq!(mesh.targets[0].as_ref().unwrap().served(), before);
    left.await.unwrap();
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
        assert!(answer.ok(), "{answer:?}");
    }
}

async fn killed_node() {
    let mut mesh = start(&layout(1, 1, 4)).await;
    mesh.kill(3);
    for number in 0..40 {
        let answer = mesh.caller(number % 3).get("/read").await;
        assert!(answer.ok(), "{answer:?}");
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
        assert!(answer.ok(), "{answer:?}");
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
    assert!(mesh.caller(0).post("/book", "k", "unit 7").await.ok());
    let other = mesh.caller(0).post("/book", "k", "unit 8").await;
    assert_eq!((other.status, other.verdict), (422, Some(Verdict::NotRun)));
    assert_eq!(runs(&mesh, "k"), 1);
}

/// Kills nodes one after another, each time repeating a booking whose answer is recorded.
async fn claim_owner_dies() {
    let mut mesh = start(&layout(1, 1, 5)).await;
    let first = mesh.caller(0).post("/book", "k", "unit 7").await;
    assert!(first.ok(), "{first:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    for index in (1..5).rev() {
        mesh.kill(index);
        let caller = mesh.caller(0);
        let began = std::time::Instant::now();
        let again = loop {
            let answer = caller.post("/book", "k", "unit 7").await;
            if answer.ok() || began.elapsed() > LIMIT {
                break answer;
            }
            assert!(answer.status != 200, "{answer:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        };
        assert!(again.ok() && again.replayed, "{again:?}");
        assert_eq!(again.body, first.body);
        assert_eq!(runs(&mesh, "k"), 1);
    }
}

async fn booking_without_platform() {
    let mesh = start(&layout(1, 1, 3)).await;
    assert!(mesh.caller(0).post("/book", "before", "unit").await.ok());
    mesh.memory.inject(Fault::Down);
    let answer = mesh.caller(1).post("/book", "during", "unit").await;
    assert_eq!(
        (answer.ok(), answer.verdict),
        (false, Some(Verdict::NotRun)),
        "{answer:?}"
    );
    assert_eq!(runs(&mesh, "during"), 0);
    mesh.memory.inject(Fault::None);
    let answer = mesh.caller(1).post("/book", "during", "unit").await;
    assert!(answer.ok(), "{answer:?}");
    assert_eq!(runs(&mesh, "during"), 1);
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

#[test]
fn operators_are_values_that_move_between_tasks() {
    fn is_send<T: Send + Sync>() {}
    is_send::<Operator>();
}
