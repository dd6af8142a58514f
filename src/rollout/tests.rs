//! Tests of the dissemination tree, the driver's decision and the rollout on one node.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::bundle::{Digest, Signer, Trust, Version, encode};
use crate::rollout::cache::{compress, decompress};
use crate::rollout::driver::{Decision, decide};
use crate::rollout::tree::{Span, ring_position};
use crate::rollout::{
    Agent, BundleCache, Fetcher, Head, RefusedBy, Release, Report, Sources, Tally, archive,
};
use crate::standin::{MemoryPlatform, sample_bundle};

/// Delivers to all members of `span` as nodes do, and appends each recipient to `reached`. Stops
/// once there are more than two deliveries per member, which happens if the tree has a cycle.
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
        .map(|member| (ring_position(seed, member), member))
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
    fn tree_reaches_every_member_exactly_once(count in 0_usize..700, seed: u64) {
        let mut members: Vec<String> = (0..count).map(|n| format!("node-{n}")).collect();
        let mut reached = Vec::new();
        deliver(&members, None, seed, Span::ALL, &mut reached);
        reached.sort();
        members.sort();
        prop_assert_eq!(reached, members);
    }
}

const OBJECT_STORE: Sources = Sources {
    peers: Vec::new(),
    store: true,
};

/// Signs a release of the sample bundle and stores the bundle at the platform.
async fn release(
    platform: &std::sync::Arc<MemoryPlatform>,
    version: u64,
    signer: &Signer,
) -> Release {
    let marker = u32::try_from(version).unwrap();
    let bytes = encode(&sample_bundle(marker)).unwrap();
    let digest = Digest::of(&bytes);
    let compressed = compress(&bytes, None).unwrap();
    let objects = platform.handle().objects;
    objects
        .store(&archive::object_name(digest), compressed)
        .await
        .unwrap();
    Release {
        version: Version(version),
        digest,
        size: bytes.len(),
        signatures: vec![signer.sign(Version(version), digest)],
    }
}

fn agent(platform: &std::sync::Arc<MemoryPlatform>, signer: &Signer) -> Agent {
    let cache = BundleCache::new();
    let fetcher = Fetcher::new(platform.handle(), cache.clone(), "r");
    let trust = Trust::new(1).with(signer.operator(), signer.public_key());
    Agent::new("n", trust, cache, fetcher)
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
    let (platform, signer) = (MemoryPlatform::new(), Signer::generate("alice"));
    let agent = agent(&platform, &signer);
    let (one, two) = (
        release(&platform, 1, &signer).await,
        release(&platform, 2, &signer).await,
    );
    for (revision, release, expected) in [(5, &two, 2), (3, &one, 2), (9, &one, 2)] {
        agent.update_head(&head(revision, release));
        agent.catch_up(&OBJECT_STORE).await;
        assert_eq!(agent.version(), Version(expected));
    }
}

#[tokio::test]
async fn a_truncated_bundle_is_not_put_in_force() {
    let (platform, signer) = (MemoryPlatform::new(), Signer::generate("alice"));
    let agent = agent(&platform, &signer);
    let release = release(&platform, 1, &signer).await;
    let name = archive::object_name(release.digest);
    let objects = platform.handle().objects;
    let complete = objects.fetch(&name).await.unwrap().unwrap();
    for length in [0, 1, complete.len() / 2, complete.len() - 1] {
        objects
            .store(&name, complete.slice(..length))
            .await
            .unwrap();
        agent.update_head(&head(1, &release));
        agent.catch_up(&OBJECT_STORE).await;
        assert_eq!(agent.version(), Version(0));
        assert!(agent.in_force().is_none());
    }
    objects.store(&name, complete).await.unwrap();
    agent.catch_up(&OBJECT_STORE).await;
    assert_eq!(agent.version(), Version(1));
}

#[test]
fn a_delta_decompresses_only_with_its_base() {
    let base = encode(&sample_bundle(1)).unwrap();
    let next = encode(&sample_bundle(2)).unwrap();
    let delta = compress(&next, Some(&base)).unwrap();
    assert!(delta.len() < compress(&next, None).unwrap().len() / 2);
    assert_eq!(decompress(&delta, Some(&base)).unwrap(), next);
    assert!(decompress(&delta, None).map_or(true, |bytes| bytes != next));
}

fn report(data_center: &str, revision: u64, tally: Tally) -> Report {
    Report {
        data_center: data_center.into(),
        revision,
        tally,
    }
}

fn ready_tally(count: usize) -> Tally {
    let mut tally = Tally::default();
    tally.in_force.insert(Version(1), count);
    tally.prepared.insert(Version(2), count);
    tally
}

macro_rules! decisions {
    ($($name:ident: $reports:expr, deadline_passed $deadline_passed:expr => $decision:expr;)*) => {
        $(#[test]
        fn $name() {
            let data_centers = ["a".to_owned(), "b".to_owned()];
            let decision = decide(Version(2), 9, &$reports, &data_centers, $deadline_passed);
            assert_eq!(decision, $decision);
        })*
    };
}

decisions! {
    accepts_once_all_nodes_are_ready:
        [report("a", 9, ready_tally(3)), report("b", 9, ready_tally(2))],
            deadline_passed false => Decision::Accept;
    waits_for_a_data_center_without_report:
        [report("a", 9, ready_tally(3))],
            deadline_passed false => Decision::Wait;
    accepts_despite_a_missing_report_after_the_deadline:
        [report("a", 9, ready_tally(3))],
            deadline_passed true => Decision::Accept;
    ignores_reports_of_an_earlier_revision:
        [report("a", 8, ready_tally(3)), report("b", 8, ready_tally(2))],
            deadline_passed true => Decision::Wait;
    holds_after_a_refusal:
        [report("a", 9, ready_tally(3)), report("b", 9, refusing_tally())],
            deadline_passed true => Decision::Hold;
    does_not_accept_without_a_ready_node:
        [report("a", 9, Tally::default())],
            deadline_passed true => Decision::Wait;
}

fn refusing_tally() -> Tally {
    let mut tally = ready_tally(2);
    tally.refused = 1;
    tally.refused_by.push(RefusedBy {
        node: "n".into(),
        version: Version(2),
        reason: "digest".into(),
    });
    tally
}
