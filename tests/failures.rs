//! Invariants of versions and rollouts under failures: whole meshes in one process, with a platform
//! that injects faults.

mod common;

use std::time::Duration;

use bluebellgap::Error;
use bluebellgap::bundle::{Signer, Version};
use bluebellgap::rollout::{Operator, Phase};
use bluebellgap::standin::{Fault, Mesh, sample_bundle};

use common::{LIMIT, cases, layout, start, wait_until};

/// Indices of the running nodes that hold the lease of their data centre.
fn registrars(mesh: &Mesh) -> Vec<usize> {
    let is_registrar = |index: &usize| {
        mesh.nodes[*index]
            .as_ref()
            .is_some_and(bluebellgap::Node::is_registrar)
    };
    (0..mesh.nodes.len()).filter(is_registrar).collect()
}

cases! {
    a_rollout_completes_after_all_registrars_are_killed => rollout_without_registrars();
    nodes_restarted_together_start_at_the_version_in_force => one_region_restarted();
    nodes_keep_serving_while_the_platform_is_down => platform_down();
    a_node_starts_from_its_peers_while_the_platform_is_down => start_from_peers();
    an_action_whose_answer_was_lost_takes_effect_once => lost_answers();
    one_of_two_concurrent_approvals_fails_and_names_the_winner => concurrent_approvals();
    a_stopped_version_is_never_in_force => version_stopped();
    a_version_that_nodes_refuse_does_not_come_into_force => version_refused_by_nodes();
    approval_of_a_version_with_an_outdated_base_is_refused => outdated_base();
    supersede_rolls_out_older_content_as_a_new_version => older_content_superseding();
    no_node_ever_moves_to_a_lower_version => versions_only_increase();
}

async fn rollout_without_registrars() {
    let mut mesh = start(&layout(2, 2, 4)).await;
    let version = mesh.roll_out(&sample_bundle(2)).await.unwrap();
    for index in registrars(&mesh) {
        mesh.kill(index);
    }
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
}

/// Restarts all nodes of one region, half of the mesh, at the same time.
async fn one_region_restarted() {
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
    wait_until("the node has the version of its peers", || {
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

async fn concurrent_approvals() {
    let mesh = start(&layout(1, 1, 2)).await;
    let operator = mesh.operator();
    for round in 0..10 {
        let first_version = operator
            .push(&sample_bundle(10 + round), None)
            .await
            .unwrap();
        let second_version = operator
            .push(&sample_bundle(50 + round), None)
            .await
            .unwrap();
        // Slows down the platform, so that both approvals read the rollout before either writes.
        mesh.platform.inject(Fault::Slow(Duration::from_millis(20)));
        let (first, second) = tokio::join!(
            operator.approve(first_version, &mesh.signer),
            operator.approve(second_version, &mesh.signer),
        );
        mesh.platform.inject(Fault::None);
        let (approved, error) = match (first, second) {
            (Ok(approved), Err(error)) | (Err(error), Ok(approved)) => (approved, error),
            outcome => panic!("not exactly one approval succeeded: {outcome:?}"),
        };
        let names_winner = matches!(&error, Error::Conflict(text) if text.contains("alice"));
        assert!(names_winner, "the error does not name the winner: {error}");
        mesh.wait_until_in_force(approved, LIMIT).await.unwrap();
    }
}

async fn version_stopped() {
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
        operator.read_version_record(version).await.unwrap().phase,
        Phase::Stopped
    );
    let error = operator.stop(next).await.unwrap_err();
    assert!(matches!(error, Error::State(_)), "{error}");
    assert_eq!(mesh.node(0).version(), next);
}

async fn version_refused_by_nodes() {
    let mesh = start(&layout(1, 1, 3)).await;
    let untrusted_signer = Signer::generate("mallory");
    let operator = mesh.operator();
    let version = operator.push(&sample_bundle(2), None).await.unwrap();
    operator.approve(version, &untrusted_signer).await.unwrap();
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

async fn outdated_base() {
    let mesh = start(&layout(1, 1, 2)).await;
    let operator = mesh.operator();
    let outdated = operator.push(&sample_bundle(2), None).await.unwrap();
    let new = mesh.roll_out(&sample_bundle(3)).await.unwrap();
    mesh.wait_until_in_force(new, LIMIT).await.unwrap();
    let error = operator.approve(outdated, &mesh.signer).await.unwrap_err();
    assert!(matches!(error, Error::Conflict(_)), "{error}");
}

async fn older_content_superseding() {
    let mesh = start(&layout(1, 1, 2)).await;
    let version = mesh.roll_out(&sample_bundle(2)).await.unwrap();
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
    let operator = mesh.operator();
    let content = operator.read_bundle(Version(1)).await.unwrap();
    assert_eq!(content, sample_bundle(1));
    let version = operator.supersede(&content, &mesh.signer).await.unwrap();
    assert_eq!(version, Version(3));
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
}

/// Checks that the versions of each node only increase, through rollouts, kills of registrars and a
/// slow platform. A node started in place of a killed one is not checked.
async fn versions_only_increase() {
    let mut mesh = start(&layout(1, 2, 4)).await;
    let checks: Vec<_> = (0..mesh.nodes.len())
        .map(|i| tokio::spawn(check_increasing(mesh.node(i).subscribe_version())))
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
    for check in checks {
        check.await.unwrap();
    }
}

async fn check_increasing(mut versions: tokio::sync::watch::Receiver<Version>) {
    let mut highest = Version(0);
    while versions.changed().await.is_ok() {
        let version = *versions.borrow_and_update();
        assert!(version > highest, "moved from {highest} to {version}");
        highest = version;
    }
}

#[test]
fn operator_is_send_and_sync() {
    fn assert_send_sync<T: Send + Sync>() {}
    assert_send_sync::<Operator>();
}
