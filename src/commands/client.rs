//! Client of the operators' port.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    commands::error::CommandError,
    protocol::Problem,
    transport::http_client::{CallLimits, HttpClient, Reuse},
};

/// Largest answer that is read.
const MAX_ANSWER: usize = 256 << 20;

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(2);

/// Talks to the first of several processes that can be reached.
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    limit: Duration,
    http: HttpClient,
}

impl OperatorClient {
    /// A client of `addresses` that sends the bearer key `key` and waits `limit` for an answer.
    ///
    /// # Errors
    ///
    /// Fails when no address is given, or when the key can't stand in a header.
    pub fn new(
        addresses: Vec<SocketAddr>,
        key: Option<&str>,
        limit: Duration,
    ) -> Result<OperatorClient, CommandError> {
        if addresses.is_empty() {
            return Err(CommandError::NoAddress);
        }
        let authorization = key.map(bearer).transpose()?;
        Ok(OperatorClient { addresses, authorization, limit, http: HttpClient::default() })
    }

    /// Refuses more than one address, for commands that act on one process.
    ///
    /// # Errors
    ///
    /// Fails when several addresses were given.
    pub fn require_one(&self) -> Result<(), CommandError> {
        if self.addresses.len() > 1 { Err(CommandError::ManyAddresses) } else { Ok(()) }
    }

    /// Reads the JSON at `path`.
    ///
    /// # Errors
    ///
    /// Fails when no process answers, or when the one that does refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends `body` as JSON and reads the answer. Only bodies whose repetition is harmless may be
    /// sent, because the next address is tried when an answer is lost.
    ///
    /// # Errors
    ///
    /// Fails when no process answers, or when the one that does refuses.
    pub async fn send<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, CommandError> {
        let body = serde_json::to_vec(body).expect("types of the protocol have a JSON form");
        self.call(method, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CommandError> {
        let mut last = CommandError::NoAddress;
        for address in &self.addresses {
            let request = self.request(*address, method.clone(), path, body.clone());
            match self.attempt(*address, request).await {
                Err(error @ CommandError::Unreachable { .. }) => last = error,
                other => return other,
            }
        }
        Err(last)
    }

    fn request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().expect("paths are made of ids");
        let headers = request.headers_mut();
        let host = HeaderValue::try_from(address.to_string()).expect("an address is a valid host");
        headers.insert(HOST, host);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(authorization) = &self.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        request
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<T, CommandError> {
        let limits = CallLimits { connect: CONNECT.min(self.limit), head: self.limit };
        let called = self.http.call(address, request, Reuse::Never, limits).await;
        let (answer, _connection) = called
            .map_err(|error| CommandError::Unreachable { address, source: Box::new(error) })?;
        let status = answer.status().as_u16();
        let body = self.read(address, answer).await?;
        if (200..300).contains(&status) {
            return serde_json::from_slice(&body).map_err(|source| CommandError::Answer {
                address,
                status,
                source: Some(source),
            });
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(CommandError::Refused { address, problem: Box::new(problem) }),
            Err(source) => Err(CommandError::Answer { address, status, source: Some(source) }),
        }
    }

    async fn read(
        &self,
        address: SocketAddr,
        answer: Response<Incoming>,
    ) -> Result<Bytes, CommandError> {
        let body = Limited::new(answer.into_body(), MAX_ANSWER).collect();
        match timeout(self.limit, body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(source)) => Err(CommandError::Unreachable { address, source }),
            Err(late) => Err(CommandError::Unreachable { address, source: Box::new(late) }),
        }
    }
}

fn bearer(key: &str) -> Result<HeaderValue, CommandError> {
    let is_plain = !key.is_empty() && key.chars().all(|c| c.is_ascii_graphic());
    let value = is_plain.then(|| HeaderValue::try_from(format!("Bearer {key}")).ok()).flatten();
    let mut value = value.ok_or(CommandError::Key)?;
    value.set_sensitive(true);
    Ok(value)
}
