//! Transfer of bundles between nodes.
//!
//! One registrar per region reads from the object store. The region's other registrars fetch from
//! that one, and members fetch from the sender of a delivery, their registrar or other peers. Each
//! transfer is a delta against a bundle that the receiver has, if possible.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};

use crate::bundle::{Digest, MAX_BUNDLE_BYTES};
use crate::error::{Error, Result};
use crate::http::{Body, Pool, empty, full, read_whole};
use crate::peers::REGION_HEADER;
use crate::rollout::BundleCache;
use crate::rollout::archive::{delta_name, object_name};
use crate::rollout::cache::decompress;
use crate::store::Platform;
use crate::telemetry::Traffic;

/// Path prefix on the mesh listener under which nodes serve bundles.
pub(crate) const BUNDLE_PATH: &str = "/.bluebellgap/bundle/";
const BASE_HEADER: &str = "x-bluebellgap-base";
/// How long a request waits for a bundle that is not in the cache yet. Short, because two nodes
/// that each request the bundle from the other would wait for each other.
const SERVE_WAIT: Duration = Duration::from_millis(100);
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads bundles from the object store and from peers.
pub(crate) struct Fetcher {
    platform: Platform,
    cache: Arc<BundleCache>,
    region: String,
    /// Bytes read from the object store.
    store_bytes: AtomicU64,
}

impl Fetcher {
    pub(crate) fn new(platform: Platform, cache: Arc<BundleCache>, region: &str) -> Self {
        Self {
            platform,
            cache,
            region: region.to_owned(),
            store_bytes: AtomicU64::new(0),
        }
    }

    /// Bundle bytes read from the object store so far.
    pub(crate) fn store_bytes(&self) -> u64 {
        self.store_bytes.load(Ordering::Relaxed)
    }

    /// Reads a bundle from the object store, as a delta if the store has one against `base` and
    /// this node has that bundle.
    pub(crate) async fn read_store(&self, digest: Digest, base: Option<Digest>) -> Result<Bytes> {
        let objects = &self.platform.objects;
        if let Some((base, bytes)) = base.and_then(|b| Some((b, self.cache.get(b)?)))
            && let Some(delta) = objects.fetch(&delta_name(base, digest)).await?
        {
            self.store_bytes
                .fetch_add(delta.len() as u64, Ordering::Relaxed);
            if let Ok(decoded) = decompress_verified(&delta, Some(&bytes), digest) {
                return Ok(decoded);
            }
        }
        let compressed = objects.fetch(&object_name(digest)).await?;
        let compressed = compressed.ok_or_else(|| {
            Error::Bundle(format!("object store has no bundle with digest {digest}"))
        })?;
        self.store_bytes
            .fetch_add(compressed.len() as u64, Ordering::Relaxed);
        decompress_verified(&compressed, None, digest)
    }

    /// Reads a bundle from a peer's mesh listener, as a delta if the peer also has `base`.
    pub(crate) async fn read_peer(
        &self,
        peer: SocketAddr,
        digest: Digest,
        base: Option<Digest>,
    ) -> Result<Bytes> {
        let query = base.map(|base| format!("?{base}")).unwrap_or_default();
        let request = Request::get(format!("{BUNDLE_PATH}{digest}{query}"))
            .header("host", "peer")
            .header(REGION_HEADER, &self.region)
            .body(empty())
            .map_err(|error| Error::Peer(error.to_string()))?;
        let exchange = async {
            let pool = Pool::new(peer);
            let response = pool.send(request).await.map_err(|e| e.to_string())?;
            let (head, body) = response.into_parts();
            if head.status != StatusCode::OK {
                return Err(format!("{peer} answered with status {}", head.status));
            }
            let used_base = head.headers.get(BASE_HEADER).cloned();
            Ok((used_base, read_whole(body, MAX_BUNDLE_BYTES).await?))
        };
        let (used_base, compressed) = tokio::time::timeout(PEER_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::Peer(format!("{peer} did not serve bundle {digest} in time")))?
            .map_err(Error::Peer)?;
        let base = base.filter(|_| used_base.is_some());
        let base_bytes = base.and_then(|base| self.cache.get(base));
        decompress_verified(&compressed, base_bytes.as_deref(), digest)
    }
}

/// Decompresses a bundle and checks its digest.
fn decompress_verified(compressed: &[u8], base: Option<&[u8]>, digest: Digest) -> Result<Bytes> {
    let bytes = decompress(compressed, base)?;
    let actual = Digest::of(&bytes);
    if actual != digest {
        let message = format!("bundle has digest {actual}, expected {digest}");
        return Err(Error::Peer(message));
    }
    Ok(bytes)
}

/// Answers a peer's request for a bundle. Waits briefly for one that this node does not have yet.
pub(crate) async fn serve_bundle<B>(
    cache: &BundleCache,
    traffic: &Traffic,
    request: &Request<B>,
) -> Response<Body> {
    let name = request.uri().path().trim_start_matches(BUNDLE_PATH);
    let base = request.uri().query().and_then(|base| base.parse().ok());
    let Ok(digest) = name.parse() else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    if tokio::time::timeout(SERVE_WAIT, cache.wait_for(digest))
        .await
        .is_err()
    {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match cache.compressed(digest, base) {
        Ok((base, bytes)) => {
            let region = request.headers().get(REGION_HEADER);
            let region = region
                .and_then(|region| region.to_str().ok())
                .unwrap_or_default();
            traffic.add(region, bytes.len() as u64);
            let mut response = Response::new(full(bytes));
            let value = base.and_then(|base| base.to_string().parse().ok());
            if let Some(value) = value {
                response.headers_mut().insert(BASE_HEADER, value);
            }
            response
        }
        Err(_) => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
