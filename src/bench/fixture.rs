//! Meshes that the measurements run on.

use std::time::Duration;

use crate::error::Result;
use crate::standin::{Caller, Layout, Mesh, TargetOptions, sample_bundle};

const START_LIMIT: Duration = Duration::from_secs(30);

/// One data centre with six targets and the sample bundle in force.
pub(super) async fn six_targets(slots: u32, service_time: Duration) -> Result<Mesh> {
    let mut layout = Layout::new(1, 1, 6);
    layout.target = Some(TargetOptions {
        slots,
        service_time,
        ..TargetOptions::default()
    });
    started(&layout).await
}

/// Starts a mesh, waits until its nodes know each other, and rolls the sample bundle.
pub(super) async fn started(layout: &Layout) -> Result<Mesh> {
    let mesh = Mesh::start(layout)?;
    mesh.acquainted(START_LIMIT).await?;
    let version = mesh.roll(&sample_bundle(1)).await?;
    mesh.converged(version, START_LIMIT).await?;
    Ok(mesh)
}

/// One caller per node; if `direct`, one per target instead, past the nodes.
pub(super) fn callers(mesh: &Mesh, direct: bool) -> Vec<Caller> {
    if !direct {
        return (0..mesh.nodes.len()).map(|i| mesh.caller(i)).collect();
    }
    let targets = mesh.targets.iter().flatten();
    targets
        .map(|target| Caller::new(target.address()))
        .collect()
}
