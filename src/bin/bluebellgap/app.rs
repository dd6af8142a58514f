//! Dispatches a parsed command to the module that runs it.

use eyre::Result;
use tokio::runtime::{Builder, Runtime};

use crate::cli::{BundleCommand, Command, SettingsCommand};
use crate::{node, operator, sidecar};

/// Runs one command on a `tokio` runtime of its own.
pub(crate) fn run(command: Command) -> Result<()> {
    let runtime = match &command {
        // A sidecar gets a share of one core, so more threads would only cause context switches.
        Command::Sidecar { .. } => Builder::new_current_thread().enable_all().build()?,
        _ => Runtime::new()?,
    };
    runtime.block_on(dispatch(command))
}

async fn dispatch(command: Command) -> Result<()> {
    match command {
        Command::Node { settings } => node::run(&settings).await,
        Command::Sidecar { settings } => sidecar::run(&settings).await,
        Command::Explain {
            node,
            json,
            header,
            method,
            host,
            path,
        } => {
            let headers = sidecar::headers(&header)?;
            let question = bluebellgap::explain::Question {
                method,
                host,
                path,
                headers,
            };
            sidecar::explain(node, &question, json).await
        }
        Command::Keygen { out, operator } => operator::keygen(&operator, &out),
        Command::Settings(SettingsCommand::Check { file }) => node::check_settings(&file),
        Command::Settings(SettingsCommand::CheckSidecar { file }) => sidecar::check(&file),
        Command::Bundle(BundleCommand::Check { format, file }) => operator::check(&file, format),
        Command::Bundle(BundleCommand::Push {
            platform,
            operator,
            base,
            format,
            file,
        }) => operator::push(platform, &operator, base, format, &file).await,
        Command::Sign {
            platform,
            identity,
            version,
        } => operator::sign(platform, &identity, version).await,
        Command::Approve {
            platform,
            identity,
            no_watch,
            format,
            version,
        } => operator::approve(platform, &identity, version, !no_watch, format).await,
        Command::Stop {
            platform,
            operator,
            version,
        } => operator::stop(platform, &operator, version).await,
        Command::Supersede {
            platform,
            identity,
            content,
            no_watch,
            format,
        } => operator::supersede(platform, &identity, content, !no_watch, format).await,
        Command::Status {
            platform,
            watch,
            format,
        } => operator::status(platform, watch, format).await,
        #[cfg(feature = "standin")]
        Command::Demo { seconds } => crate::standin::demo(seconds).await,
        #[cfg(feature = "standin")]
        Command::Soak {
            seed,
            seeds,
            seconds,
            nodes,
            folder,
        } => crate::standin::soak(seed..seed + seeds, seconds, nodes, &folder).await,
        #[cfg(feature = "standin")]
        Command::Standin(command) => crate::standin::run(command).await,
        #[cfg(feature = "standin")]
        Command::Bench(command) => crate::standin::bench(command).await,
    }
}
