//! Helpers for tests that run a whole mesh in one process.

use std::time::Duration;

use bluebellgap::settings::Timing;
use bluebellgap::standin::{Layout, Mesh, sample_bundle};

/// Time limit of each awaited condition; far above the time needed, so that tests pass on a busy
/// machine.
pub const LIMIT: Duration = Duration::from_secs(15);
/// Time limit of a whole test case.
pub const CASE_LIMIT: Duration = Duration::from_mins(2);

/// Defines a test for each future; each runs on its own multi-threaded runtime.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            tokio::time::timeout($crate::common::CASE_LIMIT, $body)
                .await
                .expect("test case exceeded CASE_LIMIT");
        })*
    };
}

pub(crate) use cases;

/// A layout with shorter periods than in production, so that the tests are quick: `data_centers` in
/// each region, `nodes` in each data centre.
pub fn layout(regions: usize, data_centers: usize, nodes: usize) -> Layout {
    let mut layout = Layout::new(regions, data_centers, nodes);
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

/// Starts a mesh and waits until `sample_bundle(1)` is in force on all nodes as version 1.
pub async fn start(layout: &Layout) -> Mesh {
    let _ = env_logger::builder().is_test(true).try_init();
    let mesh = Mesh::start(layout).unwrap();
    mesh.wait_for_members(LIMIT).await.unwrap();
    let version = mesh.roll_out(&sample_bundle(1)).await.unwrap();
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
    mesh
}

/// Polls `condition` until it holds; panics after [`LIMIT`].
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !condition() {
        assert!(
            began.elapsed() < LIMIT,
            "not within {LIMIT:?}: {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
