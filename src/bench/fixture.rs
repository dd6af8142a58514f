//! Meshes and callers that the measurements share.

use std::time::Duration;

use crate::error::Result;
use crate::standin::{Caller, Layout, Mesh, TargetOptions, sample_bundle};

const START_LIMIT: Duration = Duration::from_secs(30);

/// Starts a mesh of one data centre with six targets, and rolls out the sample bundle.
pub(super) async fn start_six_targets(slots: u32, service_time: Duration) -> Result<Mesh> {
    let mut layout = Layout::new(1, 1, 6);
    layout.target = Some(TargetOptions {
        slots,
        service_time,
        ..TargetOptions::default()
    });
    start_mesh(&layout).await
}

/// Starts a mesh, waits until all nodes know each other, rolls out the sample bundle and waits until
/// that is in force on all nodes.
pub(super) async fn start_mesh(layout: &Layout) -> Result<Mesh> {
    let mesh = Mesh::start(layout)?;
    mesh.wait_for_members(START_LIMIT).await?;
    let version = mesh.roll_out(&sample_bundle(1)).await?;
    mesh.wait_until_in_force(version, START_LIMIT).await?;
    Ok(mesh)
}

/// One caller per node; if `direct`, one per target instead, which bypasses the nodes.
pub(super) fn callers(mesh: &Mesh, direct: bool) -> Vec<Caller> {
    if !direct {
        return (0..mesh.nodes.len())
            .map(|index| mesh.caller(index))
            .collect();
    }
    let targets = mesh.targets.iter().flatten();
    targets
        .map(|target| Caller::new(target.address()))
        .collect()
}
