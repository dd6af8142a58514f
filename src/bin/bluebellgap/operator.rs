//! Operators' commands.

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

const WATCH_PERIOD: Duration = Duration::from_millis(200);
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
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
    let bundle = read(file)?;
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
    let bundle = read(file)?;
    let version = operator(platform, name)
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
    let signer = signer(identity)?;
    let version = operator(platform, &identity.operator)
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
    let signer = signer(identity)?;
    let operator = operator(platform, &identity.operator);
    let version = operator.approve(Version(version), &signer).await?;
    follow(&operator, version, watch, format).await
}

/// `bluebellgap supersede`
pub(crate) async fn supersede(
    platform: SocketAddr,
    identity: &Identity,
    content: Content,
    watch: bool,
    format: Format,
) -> Result<()> {
    let signer = signer(identity)?;
    let operator = operator(platform, &identity.operator);
    let bundle = match content {
        Content::Like { version } => operator.content(Version(version)).await?,
        Content::File { file } => read(&file)?,
    };
    let version = operator.supersede(&bundle, &signer).await?;
    follow(&operator, version, watch, format).await
}

/// `bluebellgap stop`
pub(crate) async fn stop(platform: SocketAddr, name: &str, version: u64) -> Result<()> {
    let version = operator(platform, name).stop(Version(version)).await?;
    println!("version {version} stopped");
    Ok(())
}

/// `bluebellgap status`
pub(crate) async fn status(platform: SocketAddr, watch: bool, format: Format) -> Result<()> {
    let operator = operator(platform, "");
    let mut shown = operator.status().await?;
    output::print(&shown, format)?;
    while watch && !settled(&shown) {
        tokio::time::sleep(WATCH_PERIOD).await;
        show_change(&operator, &mut shown, format).await?;
    }
    Ok(())
}

/// Shows a roll until it has ended everywhere, or was stopped or superseded.
async fn follow(operator: &Operator, version: Version, watch: bool, format: Format) -> Result<()> {
    if format == Format::Text {
        println!("version {version} rolling");
    }
    if !watch {
        return Ok(());
    }
    let began = Instant::now();
    let mut shown = operator.status().await?;
    output::print(&shown, format)?;
    loop {
        tokio::time::sleep(WATCH_PERIOD).await;
        show_change(operator, &mut shown, format).await?;
        let phase = operator.read_draft(version).await?.phase;
        match phase {
            Phase::Accepted if settled(&shown) => break,
            Phase::Stopped | Phase::Superseded => {
                return Err(
                    bluebellgap::Error::State(format!("version {version} was {phase}")).into(),
                );
            }
            _ => {}
        }
        if phase == Phase::Accepted && began.elapsed() > SETTLE_LIMIT {
            break;
        }
    }
    if format == Format::Text {
        println!(
            "version {version} accepted after {:.1} s",
            began.elapsed().as_secs_f64()
        );
    }
    Ok(())
}

async fn show_change(operator: &Operator, shown: &mut Status, format: Format) -> Result<()> {
    match operator.status().await {
        Ok(status) if status != *shown => {
            output::print(&status, format)?;
            *shown = status;
        }
        Ok(_) => {}
        Err(error) => eprintln!("bluebellgap: {error}; trying again"),
    }
    Ok(())
}

/// Whether nothing rolls and every node that was heard from has the accepted version.
fn settled(status: &Status) -> bool {
    let (current, heard) = status.in_force();
    status.rollout.candidate.is_none() && current == heard
}

fn operator(platform: SocketAddr, name: &str) -> Operator {
    Operator::new(Client::platform(platform), name)
}

fn signer(identity: &Identity) -> Result<Signer> {
    let file = &identity.key;
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    Signer::parse(&identity.operator, &text).wrap_err_with(|| file.display().to_string())
}

fn read(file: &Path) -> Result<Bundle> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    Bundle::read(&text).wrap_err_with(|| file.display().to_string())
}
