//! `bluebellgap node` and `bluebellgap settings check`.

use std::path::Path;

use bluebellgap::store::Client;
use bluebellgap::{Node, Settings};
use eyre::{Result, WrapErr, eyre};
use tokio::signal::unix::{SignalKind, signal};

/// Runs a node until SIGTERM or SIGINT, then shuts it down gracefully.
pub(crate) async fn run(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let address = settings
        .platform
        .ok_or_else(|| eyre!("[platform] address is required"))?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings, Client::platform(address))?;
    println!("{}", serde_json::to_string(&node.addresses())?);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.leave().await;
    Ok(())
}

/// Validates a node's settings file and prints a summary.
pub(crate) fn check_settings(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    println!(
        "{}: node {} in {}",
        file.display(),
        settings.node,
        settings.data_center
    );
    Ok(())
}

fn read_settings(file: &Path) -> Result<Settings> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    Settings::read(&text).wrap_err_with(|| file.display().to_string())
}
