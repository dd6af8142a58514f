//! Tests of the dissemination tree, the driver's decision and a node's own part in a roll.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::bundle::{Digest, Signer, Trust, Version, encode};
use crate::rollout::driver::{Decision, decide};
use crate::rollout::shelf::{compress, decompress};
use crate::rollout::tree::{Span, position};
use crate::rollout::{
    Agent, Fetcher, Head, RefusedBy, Release, Report, Shelf, Sources, Tally, archive,
};
use crate::standin::{MemoryPlatform, sample_bundle};

/// Delivers to everyone in `span` as nodes do, and notes who was reached; stops early when the
/// same message goes round.
fn deliver(
    members: &[String],
    own: Option<&str>,
    seed: u64,
    span: Span,
    reached: &mut Vec<String>,
) {
    if reached.len() > 2 * members.len() {
        return;
    }
    let mut inside: Vec<(u64, &String)> = members
        .iter()
        .filter(|member| Some(member.as_str()) != own)
        .map(|member| (position(seed, member), member))
        .filter(|(position, _)| span.contains(*position))
        .collect();
    inside.sort();
    let positions: Vec<u64> = inside.iter().map(|(position, _)| *position).collect();
    for part in span.split(&positions) {
        let first = inside.iter().find(|(position, _)| part.contains(*position));
        let (_, child) = first.expect("no part is empty");
        reached.push((*child).clone());
        deliver(members, Some(child), seed, part, reached);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn tree_reaches_every_member_once(count in 0_usize..700, seed: u64) {
        let mut members: Vec<String> = (0..count).map(|n| format!("node-{n}")).collect();
        let mut reached = Vec::new();
        deliver(&members, None, seed, Span::ALL, &mut reached);
        reached.sort();
        members.sort();
        prop_assert_eq!(reached, members);
    }
}

const STORE: Sources = Sources {
    peers: Vec::new(),
    store: true,
};

/// A release of the sample bundle, stored at the platform and signed.
async fn release(
    memory: &std::sync::Arc<MemoryPlatform>,
    version: u64,
    signer: &Signer,
) -> Release {
    let marker = u32::try_from(version).unwrap();
    let bytes = encode(&sample_bundle(marker)).unwrap();
    let digest = Digest::of(&bytes);
    let packed = compress(&bytes, None).unwrap();
    let objects = memory.handle().objects;
    objects
        .store(&archive::object_name(digest), packed)
        .await
        .unwrap();
    Release {
        version: Version(version),
        digest,
        size: bytes.len(),
        signatures: vec![signer.sign(Version(version), digest)],
    }
}

fn agent(memory: &std::sync::Arc<MemoryPlatform>, signer: &Signer) -> Agent {
    let shelf = Shelf::new();
    let fetcher = Fetcher::new(memory.handle(), shelf.clone(), "r");
    let trust = Trust::new(1).with(signer.operator(), signer.key());
    Agent::new("n", trust, shelf, fetcher)
}

fn head(revision: u64, active: &Release) -> Head {
    Head {
        revision,
        active: Some(active.clone()),
        candidate: None,
    }
}

#[tokio::test]
async fn a_lower_version_is_never_put_in_force_even_under_a_newer_head() {
    let (memory, signer) = (MemoryPlatform::new(), Signer::generate("alice"));
    let agent = agent(&memory, &signer);
    let (one, two) = (
        release(&memory, 1, &signer).await,
        release(&memory, 2, &signer).await,
    );
    for (revision, release, expected) in [(5, &two, 2), (3, &one, 2), (9, &one, 2)] {
        agent.learn(&head(revision, release));
        agent.catch_up(&STORE).await;
        assert_eq!(agent.version(), Version(expected));
    }
}

#[tokio::test]
async fn a_bundle_cut_off_on_its_way_is_not_taken_in_part() {
    let (memory, signer) = (MemoryPlatform::new(), Signer::generate("alice"));
    let agent = agent(&memory, &signer);
    let release = release(&memory, 1, &signer).await;
    let name = archive::object_name(release.digest);
    let objects = memory.handle().objects;
    let whole = objects.fetch(&name).await.unwrap().unwrap();
    for length in [0, 1, whole.len() / 2, whole.len() - 1] {
        objects.store(&name, whole.slice(..length)).await.unwrap();
        agent.learn(&head(1, &release));
        agent.catch_up(&STORE).await;
        assert_eq!(agent.version(), Version(0));
        assert!(agent.in_force().is_none());
    }
    objects.store(&name, whole).await.unwrap();
    agent.catch_up(&STORE).await;
    assert_eq!(agent.version(), Version(1));
}

#[test]
fn a_delta_needs_its_base() {
    let base = encode(&sample_bundle(1)).unwrap();
    let next = encode(&sample_bundle(2)).unwrap();
    let delta = compress(&next, Some(&base)).unwrap();
    assert!(delta.len() < compress(&next, None).unwrap().len() / 2);
    assert_eq!(decompress(&delta, Some(&base)).unwrap(), next);
    assert!(decompress(&delta, None).map_or(true, |bytes| bytes != next));
}

fn report(center: &str, revision: u64, tally: Tally) -> Report {
    Report {
        data_center: center.into(),
        revision,
        tally,
    }
}

fn ready(count: usize) -> Tally {
    let mut tally = Tally::default();
    tally.in_force.insert(Version(1), count);
    tally.prepared.insert(Version(2), count);
    tally
}

macro_rules! decisions {
    ($($name:ident: $reports:expr, late $late:expr => $decision:expr;)*) => {
        $(#[test]
        fn $name() {
            let centers = ["a".to_owned(), "b".to_owned()];
            assert_eq!(decide(Version(2), 9, &$reports, &centers, $late), $decision);
        })*
    };
}

decisions! {
    all_ready_is_accepted:
        [report("a", 9, ready(3)), report("b", 9, ready(2))], late false => Decision::Accept;
    a_missing_data_center_is_waited_for:
        [report("a", 9, ready(3))], late false => Decision::Wait;
    silence_does_not_hold_a_roll:
        [report("a", 9, ready(3))], late true => Decision::Accept;
    reports_of_an_earlier_revision_do_not_count:
        [report("a", 8, ready(3)), report("b", 8, ready(2))], late true => Decision::Wait;
    a_refusal_holds_a_roll:
        [report("a", 9, ready(3)), report("b", 9, refusing())], late true => Decision::Hold;
    nobody_ready_is_never_accepted: [report("a", 9, Tally::default())], late true => Decision::Wait;
}

fn refusing() -> Tally {
    let mut tally = ready(2);
    tally.refused = 1;
    tally.refused_by.push(RefusedBy {
        node: "n".into(),
        version: Version(2),
        reason: "digest".into(),
    });
    tally
}
