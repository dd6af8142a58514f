//! Tests of admission.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::admission::{Admission, Permit, Ticket};
use crate::bundle::ClassKind;
use crate::verdict::{Reason, Refusal, Verdict};

fn ticket(tenant: &str, weight: u32, kind: ClassKind) -> Ticket {
    Ticket {
        tenant: tenant.into(),
        weight,
        kind,
        reserved_short_percent: 25,
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

fn spawn_admit(
    admission: &Arc<Admission>,
    ticket: Ticket,
) -> tokio::task::JoinHandle<Result<Permit, Refusal>> {
    let admission = admission.clone();
    tokio::spawn(async move { admission.admit(ticket).await })
}

#[tokio::test]
async fn long_requests_leave_the_reserved_slots_free() {
    let admission = Admission::new(4, 100);
    let mut long = Vec::new();
    for _ in 0..3 {
        long.push(
            admission
                .admit(ticket("t", 1, ClassKind::Long))
                .await
                .unwrap(),
        );
    }
    let fourth = spawn_admit(&admission, ticket("t", 1, ClassKind::Long));
    tokio::task::yield_now().await;
    assert!(!fourth.is_finished());
    let short = admission
        .admit(ticket("t", 1, ClassKind::Short))
        .await
        .unwrap();
    assert_eq!(admission.running(), 4);
    drop(long.pop());
    fourth.await.unwrap().unwrap();
    drop(short);
}

#[tokio::test]
async fn at_most_as_many_requests_run_as_there_are_slots() {
    let admission = Admission::new(3, 1_000);
    let tasks: Vec<_> = (0..200)
        .map(|_| {
            let admission = admission.clone();
            tokio::spawn(async move {
                let permit = admission
                    .admit(ticket("t", 1, ClassKind::Short))
                    .await
                    .unwrap();
                assert!(admission.running() <= 3);
                tokio::time::sleep(Duration::from_millis(1)).await;
                drop(permit);
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    assert_eq!(admission.running(), 0);
}

#[tokio::test]
async fn tenants_share_the_slots_by_weight() {
    let admission = Admission::new(1, 1_000);
    let first = admission
        .admit(ticket("busy", 1, ClassKind::Short))
        .await
        .unwrap();
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut tasks = Vec::new();
    for tenant in [("heavy", 3), ("light", 1)] {
        for _ in 0..40 {
            let (admission, order) = (admission.clone(), order.clone());
            tasks.push(tokio::spawn(async move {
                let permit = admission
                    .admit(ticket(tenant.0, tenant.1, ClassKind::Short))
                    .await;
                order.lock().unwrap().push(tenant.0);
                drop(permit);
            }));
        }
    }
    tokio::task::yield_now().await;
    drop(first);
    for task in tasks {
        task.await.unwrap();
    }
    let order = order.lock().unwrap();
    let heavy = order[..40]
        .iter()
        .filter(|tenant| **tenant == "heavy")
        .count();
    assert!((28..=32).contains(&heavy), "{heavy} of the first 40");
}

#[tokio::test]
async fn a_request_that_cannot_finish_in_time_is_refused_at_once_as_not_run() {
    let admission = Admission::new(1, 100);
    let _running = admission
        .admit(ticket("t", 1, ClassKind::Long))
        .await
        .unwrap();
    let mut late = ticket("t", 1, ClassKind::Long);
    late.deadline = Instant::now() + Duration::from_millis(20);
    let refusal = admission.admit(late).await.unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.verdict),
        (Reason::Overloaded, Verdict::NotRun)
    );
    assert!(refusal.retry_after.is_some());
}

#[tokio::test]
async fn a_cancelled_request_in_the_queue_does_not_lose_the_slot() {
    let admission = Admission::new(1, 100);
    let running = admission
        .admit(ticket("t", 1, ClassKind::Short))
        .await
        .unwrap();
    let cancelled = spawn_admit(&admission, ticket("t", 1, ClassKind::Short));
    tokio::task::yield_now().await;
    cancelled.abort();
    drop(running);
    admission
        .admit(ticket("t", 1, ClassKind::Short))
        .await
        .unwrap();
}

#[tokio::test]
async fn draining_refuses_queued_requests() {
    let admission = Admission::new(1, 100);
    let _running = admission
        .admit(ticket("t", 1, ClassKind::Short))
        .await
        .unwrap();
    let waiting = spawn_admit(&admission, ticket("t", 1, ClassKind::Short));
    tokio::task::yield_now().await;
    admission.drain();
    assert_eq!(waiting.await.unwrap().unwrap_err().reason, Reason::Draining);
}
