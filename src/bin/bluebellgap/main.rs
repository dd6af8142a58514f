//! Command line of bluebellgap.

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
    start_logging(&command);
    match app::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("bluebellgap: {report:#}");
            exit::code(&report)
        }
    }
}

/// Nodes log changes of state; other commands only what went wrong. `RUST_LOG` overrides both.
/// Sidecars write structured lines to standard output.
fn start_logging(command: &cli::Command) {
    if matches!(command, cli::Command::Sidecar { .. }) {
        return bluebellgap::telemetry::logger::start();
    }
    let node = matches!(command, cli::Command::Node { .. });
    let level = if node { "info" } else { "error" };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(level)).init();
}
