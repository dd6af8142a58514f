//! Command line of bluebellgap.

mod app;
mod cli;
mod exit;
mod node;
mod operator;
mod output;
#[cfg(feature = "standin")]
mod standin;

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let command = match cli::parse() {
        Ok(command) => command,
        Err(code) => return code,
    };
    match app::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("bluebellgap: {report:#}");
            exit::code(&report)
        }
    }
}
