//! The `bluebellgap` program: runs nodes, and operators' commands on rollouts.

mod app;
mod cli;
mod exit;
mod node;
mod operator;
mod output;
mod sidecar;
#[cfg(feature = "standin")]
mod standin;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    init_logging(&command);
    if matches!(
        command,
        cli::Command::Node { .. } | cli::Command::Sidecar { .. }
    ) {
        bluebellgap::allocator::map_large_blocks();
    }
    match app::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("bluebellgap: {report:#}");
            exit::code(&report)
        }
    }
}

/// Nodes log state changes, at level `info`; other commands only errors. `RUST_LOG` overrides both.
/// Sidecars write structured lines to standard output.
fn init_logging(command: &cli::Command) {
    if matches!(command, cli::Command::Sidecar { .. }) {
        return bluebellgap::telemetry::logger::start();
    }
    let node = matches!(command, cli::Command::Node { .. });
    let level = if node { "info" } else { "error" };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level)).init();
}
