//! Admission at a target.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::target::gate::{Ask, Gate, Permit};
use crate::verdict::{Reason, Refusal, Verdict};

const PATIENT: Duration = Duration::from_secs(5);
const RUN: Duration = Duration::from_millis(100);

fn ask(rank: u32, objective: Duration, max_wait: Duration) -> Ask<'static> {
    Ask {
        service: "booking",
        rank,
        objective: Instant::now() + objective,
        max_wait,
        expected: RUN,
        run: RUN,
    }
}

fn open(slots: u32) -> Arc<Gate> {
    let gate = Gate::new();
    gate.open(slots);
    gate
}

async fn admit(gate: &Arc<Gate>) -> Permit {
    gate.admit(ask(0, RUN, PATIENT))
        .await
        .map_err(|e| e.to_string())
        .unwrap()
}

async fn refusal(gate: &Arc<Gate>, max_wait: Duration) -> Refusal {
    gate.admit(ask(0, RUN, max_wait)).await.err().unwrap()
}

#[tokio::test]
async fn no_more_run_than_there_are_slots() {
    let gate = open(2);
    let (_one, _two) = (admit(&gate).await, admit(&gate).await);
    let refusal = refusal(&gate, Duration::ZERO).await;
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
    assert_eq!(gate.load(), (2, 0, 2));
}

#[tokio::test]
async fn a_gate_without_target_refuses() {
    let refusal = refusal(&Gate::new(), PATIENT).await;
    assert_eq!(refusal.reason, Reason::NoTarget);
}

/// Queues requests of the given ranks and objectives behind a full gate; returns the order in
/// which they got their turns.
async fn order(waiting: &[(u32, u64)]) -> Vec<usize> {
    let gate = open(1);
    let first = admit(&gate).await;
    let order = Arc::new(Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for (index, (rank, objective_ms)) in waiting.iter().copied().enumerate() {
        let (gate, order) = (gate.clone(), order.clone());
        let objective = Duration::from_millis(objective_ms);
        tasks.push(tokio::spawn(async move {
            let _permit = gate.admit(ask(rank, objective, PATIENT)).await;
            order.lock().unwrap().push(index);
        }));
        tokio::task::yield_now().await;
    }
    drop(first);
    for task in tasks {
        task.await.unwrap();
    }
    let order = order.lock().unwrap();
    order.clone()
}

macro_rules! turns {
    ($($name:ident: $waiting:expr => $expected:expr,)*) => {
        $(#[tokio::test]
        async fn $name() {
            assert_eq!(order(&$waiting).await, $expected);
        })*
    };
}

turns! {
    the_lower_rank_goes_first: [(2, 100), (1, 900)] => [1, 0],
    within_a_rank_the_nearer_objective_goes_first: [(1, 900), (1, 400)] => [1, 0],
    one_that_can_be_in_time_goes_before_one_that_cannot: [(1, 20), (1, 900)] => [1, 0],
    a_lower_rank_goes_first_even_if_it_is_late: [(2, 900), (1, 20)] => [1, 0],
    equal_requests_go_in_their_order: [(1, 500), (1, 500), (1, 500)] => [0, 1, 2],
}

#[tokio::test]
async fn what_waits_is_refused_when_the_target_leaves() {
    let gate = open(1);
    let _running = admit(&gate).await;
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { refusal(&gate, PATIENT).await }
    });
    tokio::task::yield_now().await;
    gate.close(Reason::Draining);
    assert_eq!(waiting.await.unwrap().reason, Reason::Draining);
}

#[tokio::test]
async fn who_leaves_the_queue_does_not_take_a_slot() {
    let gate = open(1);
    let running = admit(&gate).await;
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { gate.admit(ask(0, RUN, PATIENT)).await.is_ok() }
    });
    tokio::task::yield_now().await;
    waiting.abort();
    assert!(waiting.await.is_err());
    drop(running);
    assert_eq!(gate.load(), (0, 0, 1));
    let _next = admit(&gate).await;
}

#[tokio::test]
async fn a_target_of_another_service_gets_none_of_the_queue() {
    let gate = open(1);
    let _running = admit(&gate).await;
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { refusal(&gate, PATIENT).await }
    });
    tokio::task::yield_now().await;
    gate.keep_only("servicing");
    assert_eq!(waiting.await.unwrap().reason, Reason::NoTarget);
}

#[tokio::test]
async fn one_that_cannot_be_in_time_any_more_is_given_up_before_its_patience_ends() {
    let gate = open(1);
    let _running = admit(&gate).await;
    let mut waiting = Vec::new();
    for _ in 0..3 {
        let gate = gate.clone();
        let patient = ask(0, Duration::from_millis(900), PATIENT);
        waiting.push(tokio::spawn(
            async move { gate.admit(patient).await.is_ok() },
        ));
        tokio::task::yield_now().await;
    }
    let began = Instant::now();
    let late = ask(0, Duration::from_millis(150), Duration::from_millis(700));
    let refusal = gate.admit(late).await.err().unwrap();
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(
        began.elapsed() < Duration::from_millis(400),
        "{:?}",
        began.elapsed()
    );
    for task in waiting {
        task.abort();
    }
}

#[tokio::test]
async fn a_wait_beyond_the_askers_patience_is_refused_at_once() {
    let gate = open(1);
    let _running = admit(&gate).await;
    let began = Instant::now();
    assert_eq!(refusal(&gate, RUN / 2).await.reason, Reason::Overloaded);
    assert!(began.elapsed() < RUN / 2);
}
