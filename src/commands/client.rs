//! Client for the operators' port.

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

const MAX_ANSWER_BYTES: usize = 256 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to the first reachable process of a list.
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    authorization: Option<HeaderValue>,
    timeout: Duration,
    http: HttpClient,
}

impl OperatorClient {
    /// A client for the processes at `addresses`, which are tried in this order. It authenticates with
    /// the bearer key `key`; `timeout` applies to each answer's head and again to its body.
    ///
    /// # Errors
    ///
    /// Fails when no address is given, or when the key is not a valid header value.
    pub fn new(
        addresses: Vec<SocketAddr>,
        key: Option<&str>,
        timeout: Duration,
    ) -> Result<OperatorClient, CommandError> {
        if addresses.is_empty() {
            return Err(CommandError::NoAddress);
        }
        let authorization = key.map(bearer_header).transpose()?;
        Ok(OperatorClient { addresses, authorization, timeout, http: HttpClient::default() })
    }

    /// Checks that only one address was given, for commands that change one process.
    ///
    /// # Errors
    ///
    /// Fails when several addresses were given.
    pub fn require_one(&self) -> Result<(), CommandError> {
        if self.addresses.len() > 1 { Err(CommandError::SeveralAddresses) } else { Ok(()) }
    }

    /// Sends a GET request to `path` and parses the JSON answer.
    ///
    /// # Errors
    ///
    /// Fails when no process answers, or when the answering one refuses the request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends `body` as JSON and parses the JSON answer. The request has to be idempotent, because it is
    /// sent to the next address when an answer is lost.
    ///
    /// # Errors
    ///
    /// Fails when no process answers, or when the answering one refuses the request.
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
        let limits = CallLimits { connect: CONNECT_TIMEOUT.min(self.timeout), head: self.timeout };
        let called = self.http.call(address, request, Reuse::Never, limits).await;
        let (answer, _connection) = called
            .map_err(|error| CommandError::Unreachable { address, source: Box::new(error) })?;
        let status = answer.status().as_u16();
        let body = self.read(address, answer).await?;
        if (200..300).contains(&status) {
            return serde_json::from_slice(&body).map_err(|source| {
                CommandError::UnexpectedAnswer { address, status, source: Some(source) }
            });
        }
        match serde_json::from_slice::<Problem>(&body) {
            Ok(problem) => Err(CommandError::Refused { address, problem: Box::new(problem) }),
            Err(source) => {
                Err(CommandError::UnexpectedAnswer { address, status, source: Some(source) })
            }
        }
    }

    async fn read(
        &self,
        address: SocketAddr,
        answer: Response<Incoming>,
    ) -> Result<Bytes, CommandError> {
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
        match timeout(self.timeout, body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(source)) => Err(CommandError::Unreachable { address, source }),
            Err(elapsed) => Err(CommandError::Unreachable { address, source: Box::new(elapsed) }),
        }
    }
}

fn bearer_header(key: &str) -> Result<HeaderValue, CommandError> {
    let is_valid = !key.is_empty() && key.chars().all(|c| c.is_ascii_graphic());
    let value = is_valid.then(|| HeaderValue::try_from(format!("Bearer {key}")).ok()).flatten();
    let mut value = value.ok_or(CommandError::InvalidKey)?;
    value.set_sensitive(true);
    Ok(value)
}
