//! Operators' commands on keys, bundles and rollouts.

use std::io::Write as _;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt as _;
use std::path::Path;
use std::time::{Duration, Instant};

use bluebellgap::bundle::{self, Bundle, Digest, Signer, Version};
use bluebellgap::rollout::{Operator, Phase, Status};
use bluebellgap::store::Client;
use eyre::{Result, WrapErr};

use crate::cli::{Content, Format, Identity};
use crate::output;

/// Interval at which a watched rollout's status is read.
const WATCH_PERIOD: Duration = Duration::from_millis(200);
/// Time after which watching a version ends if it is accepted, even if nodes still lack it; counted
/// from the start of watching.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(10);
const KEY_FILE_MODE: u32 = 0o600;

/// `bluebellgap keygen`
pub(crate) fn keygen(operator: &str, out: &Path) -> Result<()> {
    let signer = Signer::generate(operator);
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(out)
        .wrap_err_with(|| out.display().to_string())?;
    writeln!(file, "{}", signer.private_key_hex())?;
    println!("{operator} = {}", signer.public_key());
    eprintln!("Put this line under [operators] in the nodes' settings.");
    Ok(())
}

/// `bluebellgap bundle check`
pub(crate) fn check(file: &Path, format: Format) -> Result<()> {
    let bundle = read_bundle(file)?;
    let bytes = bundle::encode(&bundle)?;
    let digest = Digest::of(&bytes);
    match format {
        Format::Text => println!(
            "{}: {} services, {} routes, {} bytes, digest {digest}",
            bundle.name,
            bundle.services.len(),
            bundle.routes.len(),
            bytes.len()
        ),
        Format::Json => println!(
            "{}",
            serde_json::json!({ "digest": digest, "bytes": bytes.len() })
        ),
    }
    Ok(())
}

/// `bluebellgap bundle push`
pub(crate) async fn push(
    platform: SocketAddr,
    name: &str,
    base: Option<u64>,
    format: Format,
    file: &Path,
) -> Result<()> {
    let bundle = read_bundle(file)?;
    let version = new_operator(platform, name)
        .push(&bundle, base.map(Version))
        .await?;
    match format {
        Format::Text => println!("version {version} stored as a draft"),
        Format::Json => println!("{}", serde_json::json!({ "version": version })),
    }
    Ok(())
}

/// `bluebellgap sign`
pub(crate) async fn sign(platform: SocketAddr, identity: &Identity, version: u64) -> Result<()> {
    let signer = read_signer(identity)?;
    let version = new_operator(platform, &identity.operator)
        .sign(Version(version), &signer)
        .await?;
    println!("version {version} signed");
    Ok(())
}

/// `bluebellgap approve`
pub(crate) async fn approve(
    platform: SocketAddr,
    identity: &Identity,
    version: u64,
    watch: bool,
    format: Format,
) -> Result<()> {
    let signer = read_signer(identity)?;
    let operator = new_operator(platform, &identity.operator);
    let version = operator.approve(Version(version), &signer).await?;
    watch_rollout(&operator, version, watch, format).await
}

/// `bluebellgap supersede`
pub(crate) async fn supersede(
    platform: SocketAddr,
    identity: &Identity,
    content: Content,
    watch: bool,
    format: Format,
) -> Result<()> {
    let signer = read_signer(identity)?;
    let operator = new_operator(platform, &identity.operator);
    let bundle = match content {
        Content::Like { version } => operator.read_bundle(Version(version)).await?,
        Content::File { file } => read_bundle(&file)?,
    };
    let version = operator.supersede(&bundle, &signer).await?;
    watch_rollout(&operator, version, watch, format).await
}

/// `bluebellgap stop`
pub(crate) async fn stop(platform: SocketAddr, name: &str, version: u64) -> Result<()> {
    let version = new_operator(platform, name).stop(Version(version)).await?;
    println!("version {version} stopped");
    Ok(())
}

/// `bluebellgap status`
pub(crate) async fn status(platform: SocketAddr, watch: bool, format: Format) -> Result<()> {
    let operator = new_operator(platform, "");
    let mut last_status = operator.status().await?;
    output::print(&last_status, format)?;
    while watch && !is_converged(&last_status) {
        tokio::time::sleep(WATCH_PERIOD).await;
        print_if_changed(&operator, &mut last_status, format).await?;
    }
    Ok(())
}

/// Prints the progress of a rollout until all nodes have the version in force, or until it is
/// accepted and [`CONVERGENCE_TIMEOUT`] has passed. Fails if the version is stopped or superseded.
async fn watch_rollout(
    operator: &Operator,
    version: Version,
    watch: bool,
    format: Format,
) -> Result<()> {
    if format == Format::Text {
        println!("version {version} rolling");
    }
    if !watch {
        return Ok(());
    }
    let started = Instant::now();
    let mut last_status = operator.status().await?;
    output::print(&last_status, format)?;
    loop {
        tokio::time::sleep(WATCH_PERIOD).await;
        print_if_changed(operator, &mut last_status, format).await?;
        let phase = operator.read_version_record(version).await?.phase;
        match phase {
            Phase::Accepted if is_converged(&last_status) => break,
            Phase::Stopped | Phase::Superseded => {
                return Err(
                    bluebellgap::Error::State(format!("version {version} was {phase}")).into(),
                );
            }
            _ => {}
        }
        if phase == Phase::Accepted && started.elapsed() > CONVERGENCE_TIMEOUT {
            break;
        }
    }
    if format == Format::Text {
        println!(
            "version {version} accepted after {:.1} s",
            started.elapsed().as_secs_f64()
        );
    }
    Ok(())
}

async fn print_if_changed(
    operator: &Operator,
    last_status: &mut Status,
    format: Format,
) -> Result<()> {
    match operator.status().await {
        Ok(status) if status != *last_status => {
            output::print(&status, format)?;
            *last_status = status;
        }
        Ok(_) => {}
        Err(error) => eprintln!("bluebellgap: {error}; retrying"),
    }
    Ok(())
}

/// Whether no rollout is in progress and all answering nodes have the accepted version in force.
fn is_converged(status: &Status) -> bool {
    let (up_to_date, reporting) = status.in_force();
    status.rollout.candidate.is_none() && up_to_date == reporting
}

fn new_operator(platform: SocketAddr, name: &str) -> Operator {
    Operator::new(Client::platform(platform), name)
}

fn read_signer(identity: &Identity) -> Result<Signer> {
    let file = &identity.key;
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    Signer::parse(&identity.operator, &text).wrap_err_with(|| file.display().to_string())
}

fn read_bundle(file: &Path) -> Result<Bundle> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    Bundle::read(&text).wrap_err_with(|| file.display().to_string())
}
