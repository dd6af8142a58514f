//! Clients of other nodes' control listeners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};

use crate::error::{Error, Result};

/// Request header that names the sender's region, for counting bytes between regions.
pub(crate) const REGION_HEADER: &str = "x-bluebellgap-region";

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;
const MAX_CLIENTS: usize = 256;

/// Control clients by address.
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

    /// The client for `address`.
    pub(crate) fn client(&self, address: SocketAddr) -> Result<HttpClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let client = self.build(address)?;
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Forgets the connections to `address`, so that the next call opens a new one.
    pub(crate) fn forget(&self, address: SocketAddr) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.remove(&address);
    }

    /// Calls a peer and gives it `limit` to answer. A peer that fails is reached over a new
    /// connection next time.
    pub(crate) async fn call<T>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl AsyncFnOnce(HttpClient) -> Result<T, ClientError>,
    ) -> Result<T> {
        let client = self.client(address)?;
        let outcome = match tokio::time::timeout(limit, call(client)).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.forget(address);
        Err(Error::Peer(format!("{address}: {outcome}")))
    }

    fn build(&self, address: SocketAddr) -> Result<HttpClient> {
        let mut headers = HeaderMap::new();
        let region = HeaderValue::from_str(&self.region).map_err(|e| Error::Peer(e.to_string()))?;
        headers.insert(HeaderName::from_static(REGION_HEADER), region);
        HttpClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_headers(headers)
            .build(format!("http://{address}"))
            .map_err(|error| Error::Peer(error.to_string()))
    }
}
