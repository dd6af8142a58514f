//! What the tests on whole meshes share.

use std::time::Duration;

use bluebellgap::settings::Timing;
use bluebellgap::standin::{Layout, Mesh, sample_bundle};

/// Time for anything that must happen; far above what it takes, so that a busy machine passes.
pub const LIMIT: Duration = Duration::from_secs(15);
/// Time for a whole case.
pub const CASE_LIMIT: Duration = Duration::from_mins(2);

/// Names each case and runs it on its own multi-threaded runtime.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            tokio::time::timeout($crate::common::CASE_LIMIT, $body).await.expect("the case is stuck");
        })*
    };
}

pub(crate) use cases;

/// Shorter periods than in production, so that the cases are quick.
pub fn layout(regions: usize, centers: usize, nodes: usize) -> Layout {
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

pub async fn start(layout: &Layout) -> Mesh {
    let _ = env_logger::builder().is_test(true).try_init();
    let mesh = Mesh::start(layout).unwrap();
    mesh.wait_for_members(LIMIT).await.unwrap();
    let version = mesh.roll_out(&sample_bundle(1)).await.unwrap();
    mesh.wait_until_in_force(version, LIMIT).await.unwrap();
    mesh
}

pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
