//! Moves bundle bytes: from the object store to one registrar per region, from there down the
//! tree, each time compressed against the bundle that the receiver holds.

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
use crate::rollout::shelf::decompress;
use crate::store::Platform;
use crate::telemetry::Traffic;

/// Path prefix on the mesh listener under which nodes serve bundles.
pub(crate) const BUNDLE_PATH: &str = "/.bluebellgap/bundle/";
const BASE_HEADER: &str = "x-bluebellgap-base";
/// Short, because two nodes that each expect the bundle from the other would wait for each other.
const SERVE_WAIT: Duration = Duration::from_millis(100);
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Brings bundles onto this node's shelf.
pub(crate) struct Fetcher {
    platform: Platform,
    shelf: Arc<BundleCache>,
    region: String,
    store_bytes: AtomicU64,
}

impl Fetcher {
    pub(crate) fn new(platform: Platform, shelf: Arc<BundleCache>, region: &str) -> Self {
        Self {
            platform,
            shelf,
            region: region.to_owned(),
            store_bytes: AtomicU64::new(0),
        }
    }

    /// Bundle bytes read from the object store so far.
    pub(crate) fn store_bytes(&self) -> u64 {
        self.store_bytes.load(Ordering::Relaxed)
    }

    /// Reads a bundle from the object store, as a delta against `base` if that is stored.
    pub(crate) async fn read_store(&self, digest: Digest, base: Option<Digest>) -> Result<Bytes> {
        let objects = &self.platform.objects;
        if let Some((base, bytes)) = base.and_then(|b| Some((b, self.shelf.get(b)?)))
            && let Some(delta) = objects.fetch(&delta_name(base, digest)).await?
        {
            self.store_bytes
                .fetch_add(delta.len() as u64, Ordering::Relaxed);
            if let Ok(whole) = unpack(&delta, Some(&bytes), digest) {
                return Ok(whole);
            }
        }
        let packed = objects.fetch(&object_name(digest)).await?;
        let packed = packed.ok_or_else(|| Error::Bundle(format!("no object for {digest}")))?;
        self.store_bytes
            .fetch_add(packed.len() as u64, Ordering::Relaxed);
        unpack(&packed, None, digest)
    }

    /// Reads a bundle from a peer's mesh listener.
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
                return Err(format!("status {}", head.status));
            }
            let base = head.headers.get(BASE_HEADER).cloned();
            Ok((base, read_whole(body, MAX_BUNDLE_BYTES).await?))
        };
        let (used, packed) = tokio::time::timeout(PEER_TIMEOUT, exchange)
            .await
            .map_err(|_| Error::Peer(format!("{peer} did not serve {digest} in time")))?
            .map_err(Error::Peer)?;
        let base = base.filter(|_| used.is_some());
        let base_bytes = base.and_then(|base| self.shelf.get(base));
        unpack(&packed, base_bytes.as_deref(), digest)
    }
}

fn unpack(packed: &[u8], base: Option<&[u8]>, digest: Digest) -> Result<Bytes> {
    let bytes = decompress(packed, base)?;
    let found = Digest::of(&bytes);
    if found != digest {
        let message = format!("received bytes have digest {found}, expected {digest}");
        return Err(Error::Peer(message));
    }
    Ok(bytes)
}

/// Answers a peer's request for a bundle; waits a while for one that is still on its way here.
pub(crate) async fn serve_bundle<B>(
    shelf: &BundleCache,
    traffic: &Traffic,
    request: &Request<B>,
) -> Response<Body> {
    let name = request.uri().path().trim_start_matches(BUNDLE_PATH);
    let base = request.uri().query().and_then(|base| base.parse().ok());
    let Ok(digest) = name.parse() else {
        return status(StatusCode::BAD_REQUEST);
    };
    if tokio::time::timeout(SERVE_WAIT, shelf.wait(digest))
        .await
        .is_err()
    {
        return status(StatusCode::NOT_FOUND);
    }
    match shelf.compressed(digest, base) {
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
        Err(_) => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
