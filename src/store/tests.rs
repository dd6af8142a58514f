//! Tests of leases on the in-memory platform.

use std::sync::Arc;
use std::time::Duration;

use crate::standin::{Fault, MemoryPlatform};
use crate::store::{Holder, Lease, Transaction};

const TERM: Duration = Duration::from_millis(200);

fn lease(memory: &Arc<MemoryPlatform>, node: &str) -> Lease {
    let address = "127.0.0.1:1".parse().unwrap();
    let candidate = Holder {
        node: node.into(),
        region: "r".into(),
        data_center: "d".into(),
        control: address,
        mesh: address,
        epoch: 0,
        renewals: 0,
    };
    Lease::new(memory.handle().table, "dc/d", TERM, candidate)
}

async fn take_over(lease: &Lease) -> Holder {
    loop {
        lease.contend().await.unwrap();
        if let Some(holder) = lease.holding() {
            return holder;
        }
        tokio::time::sleep(TERM / 10).await;
    }
}

#[tokio::test]
async fn a_paused_holder_cannot_write_after_a_takeover() {
    let memory = MemoryPlatform::new();
    let (one, other) = (lease(&memory, "one"), lease(&memory, "other"));
    assert_eq!(take_over(&one).await.epoch, 1);
    let prepared = one
        .guard(Transaction::default().put("row", &"old"))
        .unwrap();
    assert_eq!(take_over(&other).await.epoch, 2);
    assert!(one.holding().is_none(), "two holders at a time");
    assert!(one.guard(Transaction::default()).is_err());
    assert!(
        memory.handle().table.transact(&prepared).await.is_err(),
        "not fenced"
    );
    assert!(!one.renew().await.unwrap());
    assert!(one.acting().is_none());
}

#[tokio::test]
async fn a_renewed_lease_is_not_taken() {
    let memory = MemoryPlatform::new();
    let (one, other) = (lease(&memory, "one"), lease(&memory, "other"));
    take_over(&one).await;
    for _ in 0..20 {
        assert!(one.renew().await.unwrap());
        other.contend().await.unwrap();
        assert!(other.holding().is_none());
        tokio::time::sleep(TERM / 8).await;
    }
}

#[tokio::test]
async fn a_renewal_whose_answer_was_lost_counts_if_it_took_effect() {
    let memory = MemoryPlatform::new();
    let one = lease(&memory, "one");
    take_over(&one).await;
    memory.inject(Fault::LoseAnswers);
    assert!(one.renew().await.unwrap());
    memory.inject(Fault::None);
    assert!(one.renew().await.unwrap());
}

#[tokio::test]
async fn a_renewal_that_did_not_take_effect_extends_nothing() {
    let memory = MemoryPlatform::new();
    let one = lease(&memory, "one");
    take_over(&one).await;
    memory.inject(Fault::LoseWrites);
    tokio::time::sleep(TERM / 2).await;
    assert!(!one.renew().await.unwrap());
    tokio::time::sleep(TERM / 2 + TERM / 10).await;
    assert!(one.holding().is_none());
    assert!(one.acting().is_some());
}
