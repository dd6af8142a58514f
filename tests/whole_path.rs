//! End-to-end test in one process: push and approve a bundle, wait for it, send requests.

use std::time::Duration;

use bluebellgap::standin::{Layout, Mesh, sample_bundle};

#[tokio::test(flavor = "multi_thread")]
async fn a_signed_bundle_comes_into_force_and_serves_requests() {
    let _ = env_logger::builder().is_test(true).try_init();
    let mesh = Mesh::start(&Layout::new(2, 1, 3)).unwrap();
    mesh.wait_for_members(Duration::from_secs(10))
        .await
        .unwrap();
    let version = mesh.roll_out(&sample_bundle(1)).await.unwrap();
    mesh.wait_until_in_force(version, Duration::from_secs(8))
        .await
        .unwrap();
    let answer = mesh.caller(0).get("/read/units").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let booked = mesh.caller(1).post("/book", "k1", "unit 7").await;
    assert_eq!(booked.status, 200, "{booked:?}");
    let repeated = mesh.caller(2).post("/book", "k1", "unit 7").await;
    assert!(repeated.replayed, "{repeated:?}");
    assert_eq!(repeated.body, booked.body);
}
