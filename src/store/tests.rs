//! Leases on the in-memory platform.

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

async fn acquire(lease: &Lease) -> Holder {
    loop {
        lease.try_acquire().await.unwrap();
        if let Some(holder) = lease.valid_holder() {
            return holder;
        }
        tokio::time::sleep(TERM / 10).await;
    }
}

#[tokio::test]
async fn a_paused_holder_cannot_write_after_a_takeover() {
    let memory = MemoryPlatform::new();
    let (one, other) = (lease(&memory, "one"), lease(&memory, "other"));
    assert_eq!(acquire(&one).await.epoch, 1);
    let stale_write = one
        .fence(Transaction::default().put("row", &"old"))
        .unwrap();
    assert_eq!(acquire(&other).await.epoch, 2);
    assert!(
        one.valid_holder().is_none(),
        "two nodes hold the lease at the same time"
    );
    assert!(one.fence(Transaction::default()).is_err());
    assert!(
        memory.handle().table.transact(&stale_write).await.is_err(),
        "the write of the former holder was not fenced"
    );
    assert!(!one.renew().await.unwrap());
    assert!(one.presumed_holder().is_none());
}

#[tokio::test]
async fn a_renewed_lease_cannot_be_acquired_by_another_node() {
    let memory = MemoryPlatform::new();
    let (one, other) = (lease(&memory, "one"), lease(&memory, "other"));
    acquire(&one).await;
    for _ in 0..20 {
        assert!(one.renew().await.unwrap());
        other.try_acquire().await.unwrap();
        assert!(other.valid_holder().is_none());
        tokio::time::sleep(TERM / 8).await;
    }
}

#[tokio::test]
async fn a_renewal_whose_response_was_lost_counts_if_it_took_effect() {
    let memory = MemoryPlatform::new();
    let one = lease(&memory, "one");
    acquire(&one).await;
    memory.inject(Fault::LoseAnswers);
    assert!(one.renew().await.unwrap());
    memory.inject(Fault::None);
    assert!(one.renew().await.unwrap());
}

#[tokio::test]
async fn a_renewal_that_did_not_take_effect_does_not_extend_the_term() {
    let memory = MemoryPlatform::new();
    let one = lease(&memory, "one");
    acquire(&one).await;
    memory.inject(Fault::LoseWrites);
    tokio::time::sleep(TERM / 2).await;
    assert!(!one.renew().await.unwrap());
    tokio::time::sleep(TERM / 2 + TERM / 10).await;
    assert!(one.valid_holder().is_none());
    assert!(one.presumed_holder().is_some());
}
