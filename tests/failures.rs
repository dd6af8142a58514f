//! What must always hold of versions, under failures: whole meshes in one process, a platform with
//! faults.

mod common;

use std::time::Duration;

use bluebellgap::Error;
use bluebellgap::bundle::{Signer, Version};
use bluebellgap::rollout::{Operator, Phase};
use bluebellgap::standin::{Fault, Mesh, sample_bundle};

use common::{LIMIT, cases, layout, start, until};

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
}

async fn registrars_die() {
    let mut mesh = start(&layout(2, 2, 4)).await;
    let version = mesh.roll_out(&sample_bundle(2)).await.unwrap();
    for index in registrars(&mesh) {
        mesh.kill(index);
    }
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
}

async fn herd_returns() {
    let mut mesh = start(&layout(2, 1, 5)).await;
    let version = mesh.roll_out(&sample_bundle(2)).await.unwrap();
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
    for index in 0..5 {
        mesh.kill(index);
    }
    for index in 0..5 {
        mesh.restart(index).unwrap();
    }
    for index in 0..5 {
        let first = *mesh
            .node(index)
            .subscribe_version()
            .wait_for(|v| v.0 > 0)
            .await
            .unwrap();
        assert_eq!(first, version, "a restarted node served an older version");
    }
}

async fn platform_down() {
    let mesh = start(&layout(1, 2, 3)).await;
    mesh.platform.inject(Fault::Down);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..mesh.nodes.len() {
        assert_eq!(mesh.node(index).version(), Version(1));
        let answer = mesh.caller(index).get("/read").await;
        assert!(answer.is_success(), "{answer:?}");
    }
    mesh.platform.inject(Fault::None);
    let version = mesh.roll_out(&sample_bundle(2)).await.unwrap();
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
}

async fn start_from_peers() {
    let mut mesh = start(&layout(1, 1, 3)).await;
    mesh.kill(2);
    mesh.platform.inject(Fault::Down);
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
    mesh.platform.inject(Fault::LoseAnswers);
    let version = operator.push(&sample_bundle(2), None).await.unwrap();
    assert_eq!(version, Version(2), "the push took effect more than once");
    operator.approve(version, &mesh.signer).await.unwrap();
    mesh.platform.inject(Fault::None);
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
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
        // Slow answers, so that both read before either writes.
        mesh.platform.inject(Fault::Slow(Duration::from_millis(20)));
        let (first, second) = tokio::join!(
            operator.approve(one, &mesh.signer),
            operator.approve(other, &mesh.signer),
        );
        mesh.platform.inject(Fault::None);
        let (won, lost) = match (first, second) {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            outcome => panic!("not exactly one won: {outcome:?}"),
        };
        let told = matches!(&lost, Error::Conflict(who) if who.contains("alice"));
        assert!(told, "the loser does not hear who won: {lost}");
        mesh.wait_until_in_force(won, LIMIT).await.unwrap();
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
    let next = mesh.roll_out(&sample_bundle(3)).await.unwrap();
    mesh.wait_until_in_force(next, LIMIT).await.unwrap();
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
    let next = mesh.roll_out(&sample_bundle(3)).await.unwrap();
    mesh.wait_until_in_force(next, LIMIT).await.unwrap();
}

async fn old_base() {
    let mesh = start(&layout(1, 1, 2)).await;
    let operator = mesh.operator();
    let old = operator.push(&sample_bundle(2), None).await.unwrap();
    let new = mesh.roll_out(&sample_bundle(3)).await.unwrap();
    mesh.wait_until_in_force(new, LIMIT).await.unwrap();
    let error = operator.approve(old, &mesh.signer).await.unwrap_err();
    assert!(matches!(error, Error::Conflict(_)), "{error}");
}

async fn supersede_forward() {
    let mesh = start(&layout(1, 1, 2)).await;
    let version = mesh.roll_out(&sample_bundle(2)).await.unwrap();
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
    let operator = mesh.operator();
    let content = operator.content(Version(1)).await.unwrap();
    assert_eq!(content, sample_bundle(1));
    let version = operator.supersede(&content, &mesh.signer).await.unwrap();
    assert_eq!(version, Version(3));
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
}

/// Watches every node's version through rolls, deaths of registrars and outages of the platform.
async fn never_back() {
    let mut mesh = start(&layout(1, 2, 4)).await;
    let watchers: Vec<_> = (0..mesh.nodes.len())
        .map(|i| tokio::spawn(watch(mesh.node(i).subscribe_version())))
        .collect();
    for round in 0..4 {
        let version = mesh.roll_out(&sample_bundle(2 + round)).await.unwrap();
        if round % 2 == 0 {
            let index = registrars(&mesh)[0];
            mesh.kill(index);
            mesh.wait_until_in_force(version, LIMIT).await.unwrap();
            mesh.restart(index).unwrap();
        } else {
            mesh.platform
                .inject(Fault::Slow(Duration::from_millis(300)));
            mesh.wait_until_in_force(version, LIMIT).await.unwrap();
            mesh.platform.inject(Fault::None);
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

#[test]
fn operators_are_values_that_move_between_tasks() {
    fn is_send<T: Send + Sync>() {}
    is_send::<Operator>();
}
