//! Bundles have no dangling references and one canonical encoding, and are refused as a whole if
//! altered. Errors in bundles and settings are reported with their line, section and key.

use std::fmt::Write as _;

use bluebellgap::Error;
use bluebellgap::bundle::{
    Bundle, Digest, MAX_BUNDLE_BYTES, Signer, Trust, Version, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NAMES: [&str; 4] = ["availability", "booking", "servicing", "gone"];

/// Generates INI text in which routes refer to services, and services to groups, by arbitrary
/// names, defined or not.
fn bundle_text() -> impl Strategy<Value = String> {
    let name = 0_usize..NAMES.len();
    let routes = prop::collection::vec((name.clone(), any::<bool>(), 1_u64..100_000), 0..6);
    (prop::collection::vec(name, 1..4), routes).prop_map(|(groups, routes)| {
        let mut text = "[bundle]\nname = any\n[class short]\nkind = short\n".to_owned();
        for service in &NAMES[..3] {
            writeln!(text, "[group {service}]").unwrap();
        }
        for (index, group) in groups.iter().enumerate() {
            writeln!(
                text,
                "[service {}]\ngroup = {}",
                NAMES[index], NAMES[*group]
            )
            .unwrap();
        }
        for (index, (service, idempotent, timeout)) in routes.iter().enumerate() {
            let idempotent = if *idempotent { "yes" } else { "no" };
            let service = NAMES[*service];
            write!(
                text,
                "[route r{index}]\npath = /p{index}\nservice = {service}\nclass = short\n\
                 idempotent = {idempotent}\ntimeout_ms = {timeout}\n"
            )
            .unwrap();
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn accepted_bundles_have_no_dangling_references(text in bundle_text()) {
        match Bundle::read(&text) {
            Ok(bundle) => {
                for route in bundle.routes.values() {
                    let service = bundle.services.get(&route.service);
                    prop_assert!(service.is_some_and(|s| bundle.groups.contains_key(&s.group)));
                }
            }
            Err(error) => prop_assert!(error.to_string().contains("in this bundle"), "{error}"),
        }
    }

    #[test]
    fn encoding_is_canonical_and_reversible(text in bundle_text()) {
        if let Ok(bundle) = Bundle::read(&text) {
            let bytes = encode(&bundle).unwrap();
            let decoded = decode(&bytes, Digest::of(&bytes)).unwrap();
            prop_assert_eq!(&decoded, &bundle);
            prop_assert_eq!(encode(&decoded).unwrap(), bytes);
        }
    }

    #[test]
    fn altered_or_truncated_bytes_are_refused(
        text in bundle_text(),
        position: prop::sample::Index,
        bit in 0_u8..8,
    ) {
        if let Ok(bundle) = Bundle::read(&text) {
            let bytes = encode(&bundle).unwrap();
            let digest = Digest::of(&bytes);
            let mut altered = bytes.clone();
            altered[position.index(bytes.len())] ^= 1 << bit;
            prop_assert!(decode(&altered, digest).is_err());
            prop_assert!(decode(&bytes[..position.index(bytes.len())], digest).is_err());
            // With a matching digest, altered bytes are accepted only as a canonical encoding.
            if let Ok(decoded) = decode(&altered, Digest::of(&altered)) {
                prop_assert_eq!(encode(&decoded).unwrap(), altered);
            }
        }
    }

    #[test]
    fn a_signature_covers_version_and_digest(
        version: u64,
        other_version: u64,
        content: Vec<u8>,
    ) {
        let signer = Signer::generate("alice");
        let digest = Digest::of(&content);
        let signature = [signer.sign(Version(version), digest)];
        let trust = Trust::new(1).with("alice", signer.public_key());
        prop_assert!(trust.verify(Version(version), digest, &signature).is_ok());
        prop_assert_eq!(
            trust.verify(Version(other_version), digest, &signature).is_ok(),
            version == other_version
        );
        prop_assert!(trust.verify(Version(version), Digest::of(b"other"), &signature).is_err());
        let impostor = Trust::new(1).with("alice", Signer::generate("alice").public_key());
        prop_assert!(impostor.verify(Version(version), digest, &signature).is_err());
    }
}

#[test]
fn two_signatures_by_one_operator_do_not_count_as_two() {
    let signer = Signer::generate("alice");
    let digest = Digest::of(b"bundle");
    let signature = signer.sign(Version(1), digest);
    let trust = Trust::new(2).with("alice", signer.public_key());
    let twice = [signature.clone(), signature];
    assert!(matches!(
        trust.verify(Version(1), digest, &twice),
        Err(Error::Signature(_))
    ));
}

#[test]
fn oversized_bytes_are_refused() {
    let bytes = vec![b' '; MAX_BUNDLE_BYTES + 1];
    let error = decode(&bytes, Digest::of(&bytes)).unwrap_err();
    assert!(error.to_string().contains("at most"), "{error}");
}

#[test]
fn every_fault_of_a_bundle_is_reported_with_its_place() {
    let text = "[bundle]\nnam = x\n[class short]\nkind = medium\n[group g]\n\
                reserved_short_percent = 95\n[service s]\ngroup = other\n[route r]\npath = book\n\
                service = s\nclass = long\nidempotent = maybe\ntimeout_ms = 2s\nnonsense\n[[x\n";
    insta::assert_snapshot!(Bundle::read(text).unwrap_err());
}

#[test]
fn the_examples_are_valid() {
    for name in ["hirenet-bundle", "corrib-bundle"] {
        let path = format!("{}/examples/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        Bundle::read(&std::fs::read_to_string(path).unwrap()).unwrap();
    }
    for name in ["siam-hirenet", "corrib-last-works"] {
        let path = format!("{}/examples/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        bluebellgap::Settings::read(&std::fs::read_to_string(path).unwrap()).unwrap();
    }
}

#[test]
fn every_fault_of_settings_is_reported_with_its_place() {
    let text = "[node]\nid = n1\n[listen]\ncaller = 127.0.0.1:80\nmesh = 127.0.0.1:80\n\
                control = here\nadmin = 127.0.0.1:81\n[platform]\naddress = 127.0.0.1:7000\n\
                [signing]\nrequired_signatures = 2\n[operators]\nalice = 12\n\
                [target]\ngroup = g\naddress = 127.0.0.1:1\nslots = 12\nconnections = 3\n\
                [timing]\npoll_ms = 5000\ngrace_ms = 1\n[extra]\n";
    insta::assert_snapshot!(bluebellgap::Settings::read(text).unwrap_err());
}
