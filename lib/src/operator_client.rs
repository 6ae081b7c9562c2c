//! Client of the operators' API, which tries its endpoints in turn.

use crate::generated::operator::OperatorError;
use crate::ids::Address;
use crate::operator_api::BASE_PATH;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time to set up a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Errors of a call to the operators' API.
#[derive(Debug, thiserror::Error)]
pub enum OperatorClientError {
    /// No endpoint answered.
    #[error("no endpoint answered: {}", tried.join("; "))]
    Unreachable {
        /// Each endpoint with what was seen.
        tried: Vec<String>,
    },
    /// The node answered with an error.
    #[error("{}", error.message)]
    Refused {
        /// HTTP status code.
        status: StatusCode,
        /// Answer of the node.
        error: Box<OperatorError>,
    },
    /// The answer is not one of the operators' API.
    #[error("{endpoint} is no operators' API of this version: {reason}")]
    Malformed {
        /// Endpoint that answered.
        endpoint: Address,
        /// What was seen.
        reason: String,
    },
}

/// Client with a list of endpoints and a token.
#[derive(Debug)]
pub struct OperatorClient {
    endpoints: Mutex<Vec<Address>>,
    token: String,
}

/// A whole answer of one endpoint.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    /// Returns a client that tries the endpoints (`ip:port`) in turn.
    pub fn new(endpoints: Vec<Address>, token: String) -> Self {
        Self { endpoints: Mutex::new(endpoints), token }
    }

    /// Reads from a path below the API's base, which may have a query.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a JSON body to a path below the API's base.
    ///
    /// A call whose answer was lost is sent again to the next endpoint, so that `body` must be safe
    /// to send twice.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, OperatorClientError> {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.call(Method::POST, path, Bytes::from(body)).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, OperatorClientError> {
        let mut tried = vec![];
        for endpoint in self.endpoints() {
            match self.call_one(&endpoint, &method, path, body.clone()).await {
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    tried.push(format!("{endpoint}: {}", unavailable_reason(&answer)));
                }
                Ok(answer) => {
                    self.prefer(&endpoint);
                    return parse(endpoint, &answer);
                }
                Err(reason) => tried.push(format!("{endpoint}: {reason}")),
            }
        }
        Err(OperatorClientError::Unreachable { tried })
    }

    async fn call_one(
        &self,
        endpoint: &str,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint)).await;
        let stream = connect.map_err(|_| "no connection in time".to_string())?;
        let stream = stream.map_err(|e| e.to_string())?;
        let req = Request::builder()
            .method(method)
            .uri(format!("/{BASE_PATH}/{path}"))
            .header(HOST, endpoint)
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|e| e.to_string())?;
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange(stream, req)).await {
            Ok(answer) => answer.map_err(|e| e.to_string()),
            Err(_) => Err("no answer in time".to_string()),
        }
    }

    fn endpoints(&self) -> Vec<Address> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Moves an endpoint that answered to the front.
    fn prefer(&self, endpoint: &str) {
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        endpoints.sort_by_key(|other| other != endpoint);
    }
}

async fn exchange(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<Answer, Box<dyn Error + Send + Sync>> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(req).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await?.to_bytes();
    driver.abort();
    Ok(Answer { status, body })
}

fn parse<T: DeserializeOwned>(
    endpoint: Address,
    answer: &Answer,
) -> Result<T, OperatorClientError> {
    let malformed = |e: serde_json::Error| OperatorClientError::Malformed {
        endpoint: endpoint.clone(),
        reason: format!("status {}, {e}", answer.status.as_u16()),
    };
    if answer.status.is_success() {
        return serde_json::from_slice(&answer.body).map_err(malformed);
    }
    let error = serde_json::from_slice::<OperatorError>(&answer.body).map_err(malformed)?;
    Err(OperatorClientError::Refused { status: answer.status, error: Box::new(error) })
}

fn unavailable_reason(answer: &Answer) -> String {
    let error = serde_json::from_slice::<OperatorError>(&answer.body);
    error.map_or_else(|_| "unavailable".to_string(), |error| error.message)
}
