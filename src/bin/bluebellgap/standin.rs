//! Commands that run the stand-ins for platform and targets, or measure and test nodes with them.

use bluebellgap::bench;
use bluebellgap::standin::{MemoryPlatform, PlatformServer, Target, TargetOptions};
use eyre::Result;

use crate::cli::{BenchCommand, StandinCommand};

/// `bluebellgap standin`
pub(crate) async fn run(command: StandinCommand) -> Result<()> {
    match command {
        StandinCommand::Platform { listen } => {
            let server = PlatformServer::start(listen, MemoryPlatform::new())?;
            println!("{}", server.address());
            std::future::pending().await
        }
        StandinCommand::Target {
            listen,
            name,
            slots,
            service_ms,
        } => {
            let options = TargetOptions {
                name,
                slots,
                service_time: std::time::Duration::from_millis(service_ms),
                ..TargetOptions::default()
            };
            let target = Target::start(listen, options)?;
            println!("{}", target.address());
            std::future::pending().await
        }
    }
}

/// `bluebellgap demo`
pub(crate) async fn demo(seconds: u64) -> Result<()> {
    bench::demo(std::time::Duration::from_secs(seconds)).await?;
    Ok(())
}

/// `bluebellgap bench`
pub(crate) async fn bench(command: BenchCommand) -> Result<()> {
    match command {
        BenchCommand::Rollout => bench::rollout().await?,
        BenchCommand::Crest => bench::crest().await?,
        BenchCommand::Mixed => bench::mixed().await?,
        BenchCommand::Slow => bench::slow().await?,
        BenchCommand::Added => bench::added().await?,
        BenchCommand::Control => bench::control().await?,
        BenchCommand::Patterns { seed, plot } => {
            bench::patterns(seed);
            bench::placements(seed, plot.as_deref())?;
        }
    }
    Ok(())
}

/// `bluebellgap soak`
pub(crate) async fn soak(
    seeds: std::ops::Range<u64>,
    seconds: u64,
    nodes: u8,
    folder: &std::path::Path,
) -> Result<()> {
    let mut failed_seeds = Vec::new();
    for seed in seeds {
        let options = bluebellgap::soak::Options {
            seed,
            duration: std::time::Duration::from_secs(seconds),
            nodes,
            program: std::env::current_exe()?,
            folder: folder.join(seed.to_string()),
        };
        let report = bluebellgap::soak::run(&options).await?;
        println!("{}", serde_json::to_string(&report)?);
        if !report.violations.is_empty() {
            failed_seeds.push(seed);
        }
    }
    eyre::ensure!(
        failed_seeds.is_empty(),
        "guarantees violated with seeds {failed_seeds:?}"
    );
    Ok(())
}
