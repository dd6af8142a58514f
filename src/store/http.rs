//! HTTP client of the platform of [`crate::Node`]s and operators.
//!
//! The platform serves `GET /table/row?KEY`, `GET /table/scan?PREFIX`, `POST /table/transact`,
//! `GET /objects/NAME` and `PUT /objects/NAME`. Status 409 reports a failed condition.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};

use crate::error::{Error, Result};
use crate::http::{Body, Pool, full};
use crate::store::{Objects, Platform, Row, Rows, Table, Transaction};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the platform's table service and object store.
pub struct Client {
    pool: Pool,
}

impl Client {
    /// Creates clients of the platform whose services listen at `address`.
    #[must_use]
    pub fn platform(address: SocketAddr) -> Platform {
        let client = std::sync::Arc::new(Self {
            pool: Pool::new(address),
        });
        Platform {
            table: client.clone(),
            objects: client,
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes)> {
        let request: Request<Body> = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "platform")
            .body(full(body))
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let response = self
            .pool
            .exchange(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        let response = response.map_err(Error::Unavailable)?;
        Ok((response.status(), response.into_body()))
    }

    /// Reads the body at `path`; `None` if the platform answers 404.
    async fn read(&self, path: &str) -> Result<Option<Bytes>> {
        match self.call(Method::GET, path, Bytes::new()).await? {
            (StatusCode::OK, bytes) => Ok(Some(bytes)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            (status, _) => Err(unexpected_status(path, status)),
        }
    }
}

fn unexpected_status(path: &str, status: StatusCode) -> Error {
    Error::Unavailable(format!("unexpected status {status} for {path}"))
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes)
        .map_err(|error| Error::Unavailable(format!("malformed response: {error}")))
}

#[async_trait]
impl Table for Client {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let bytes = self.read(&format!("/table/row?{key}")).await?;
        bytes.map(|bytes| parse(&bytes)).transpose()
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let bytes = self.read(&format!("/table/scan?{prefix}")).await?;
        let rows: Rows = parse(&bytes.unwrap_or_default())?;
        Ok(rows.rows)
    }

    async fn transact(&self, transaction: &Transaction) -> Result<u64> {
        let body =
            serde_json::to_vec(transaction).expect("a transaction holds only strings and integers");
        let (status, bytes) = self
            .call(Method::POST, "/table/transact", body.into())
            .await?;
        match status {
            StatusCode::OK => parse(&bytes),
            StatusCode::CONFLICT => Err(Error::Conflict(
                String::from_utf8_lossy(&bytes).into_owned(),
            )),
            status => Err(unexpected_status("/table/transact", status)),
        }
    }
}

#[async_trait]
impl Objects for Client {
    async fn fetch(&self, name: &str) -> Result<Option<Bytes>> {
        self.read(&format!("/objects/{name}")).await
    }

    async fn store(&self, name: &str, bytes: Bytes) -> Result<()> {
        let path = format!("/objects/{name}");
        match self.call(Method::PUT, &path, bytes).await? {
            (StatusCode::OK, _) => Ok(()),
            (status, _) => Err(unexpected_status(&path, status)),
        }
    }
}
