//! Tests of the dissemination tree and of the driver's decision.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::rollout::tree::{Span, position};

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
