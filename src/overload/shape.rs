//! What requests must have in common for one to say something about the run time of another.
//!
//! Answers routes whose requests differ by orders of magnitude in their run times: requests are
//! told apart by a few hashes, from coarse to fine. Each finer one is used as far as it is known.

use xxhash_rust::xxh3::Xxh3;

/// Number of hashes of a shape.
pub(crate) const LEVELS: usize = 3;
/// Segments of a path that are told apart, so that the work for a request is bounded.
const MAX_SEGMENTS: usize = 32;
/// Segments longer than this are taken for identifiers.
const MAX_WORD_BYTES: usize = 24;

/// The properties of a request that its shape is derived from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Features<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Size of the body.
    pub body_bytes: usize,
    /// Name of the tenant; empty for none. Never a key.
    pub tenant: &'a str,
}

/// Hashes of a request: of its route, of the coarse form (method, number of segments, which of them
/// look like identifiers, class of the body size, tenant), and of the form with the words of path
/// and query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shape(pub [u64; LEVELS]);

impl From<Features<'_>> for Shape {
    fn from(features: Features<'_>) -> Self {
        let (path, query) = features
            .target
            .split_once('?')
            .unwrap_or((features.target, ""));
        let mut hash = Xxh3::new();
        add(&mut hash, features.route);
        let route = hash.digest();
        add(&mut hash, features.method);
        add(&mut hash, features.tenant);
        let size_class = usize::BITS - features.body_bytes.leading_zeros();
        hash.update(&size_class.to_le_bytes());
        let mut words = hash.clone();
        for segment in path.split('/').take(MAX_SEGMENTS) {
            let identifier = is_identifier(segment);
            hash.update(&[1 + u8::from(identifier)]);
            add(&mut words, if identifier { "\u{1}" } else { segment });
        }
        let form = hash.digest();
        for parameter in query.split('&').take(MAX_SEGMENTS) {
            let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            add(&mut words, name);
            add(&mut words, if is_identifier(value) { "" } else { value });
        }
        Self([route, form, words.digest()])
    }
}

/// Whether a segment probably differs from request to request: it contains a digit or is long.
fn is_identifier(segment: &str) -> bool {
    segment.len() > MAX_WORD_BYTES || segment.bytes().any(|byte| byte.is_ascii_digit())
}

/// Adds a text with a separator that no part of a request contains.
fn add(hash: &mut Xxh3, text: &str) {
    hash.update(text.as_bytes());
    hash.update(&[0]);
}
