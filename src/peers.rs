//! JSON-RPC clients for other nodes' control listeners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};

use crate::error::{Error, Result};

/// Request header with the sender's region, for counting the bytes sent between regions.
pub(crate) const REGION_HEADER: &str = "x-bluebellgap-region";

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
/// Number of cached clients at which all are dropped before the next one is added.
const MAX_CLIENTS: usize = 256;

/// Control clients of other nodes, one per address, created on first use.
pub(crate) struct Peers {
    region: String,
    clients: Mutex<HashMap<SocketAddr, HttpClient>>,
}

impl Peers {
    pub(crate) fn new(region: &str) -> Self {
        Self {
            region: region.to_owned(),
            clients: Mutex::new(HashMap::new()),
        }
    }

    /// The cached or a new client for `address`.
    pub(crate) fn client(&self, address: SocketAddr) -> Result<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = self.build_client(address)?;
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Drops the client for `address` with its connections, so that the next call opens a new one.
    pub(crate) fn remove_client(&self, address: SocketAddr) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.remove(&address);
    }

    /// Calls a peer's control interface, which has to answer within `timeout`. After a failure, the
    /// next call uses a new connection.
    pub(crate) async fn call<T>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl AsyncFnOnce(HttpClient) -> Result<T, ClientError>,
    ) -> Result<T> {
        let client = self.client(address)?;
        let failure = match tokio::time::timeout(timeout, call(client)).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer before the timeout".to_owned(),
        };
        self.remove_client(address);
        Err(Error::Peer(format!("{address}: {failure}")))
    }

    fn build_client(&self, address: SocketAddr) -> Result<HttpClient> {
        let mut headers = HeaderMap::new();
        let region = HeaderValue::from_str(&self.region)
            .map_err(|error| Error::Peer(format!("region is not a valid header value: {error}")))?;
        headers.insert(HeaderName::from_static(REGION_HEADER), region);
        HttpClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_headers(headers)
            .build(format!("http://{address}"))
            .map_err(|error| {
                Error::Peer(format!(
                    "{address}: control client cannot be built: {error}"
                ))
            })
    }
}
