//! Client of the operator API, which tries its endpoints in turn.

use crate::generated::operator::OperatorError;
use crate::ids::Address;
use crate::limited_body;
use crate::operator_api::BASE_PATH;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the complete response must arrive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest response body in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Errors of a call to the operator API.
#[derive(Debug, thiserror::Error)]
pub enum OperatorClientError {
    /// Every endpoint failed or reported that it is unavailable.
    #[error("no endpoint is available: {}", tried.join("; "))]
    Unreachable {
        /// Each endpoint with its error.
        tried: Vec<String>,
    },
    /// The node returned an error.
    #[error("{}", error.message)]
    Refused {
        /// HTTP status code.
        status: StatusCode,
        /// Body of the error response.
        error: Box<OperatorError>,
    },
    /// The response does not have the format of this version of the operator API.
    #[error("{endpoint} did not return a valid operator API response: {reason}")]
    Malformed {
        /// Endpoint that sent the response.
        endpoint: Address,
        /// Status code of the response and error of the parser.
        reason: String,
    },
}

/// Client of the operator API with a list of endpoints and a bearer token.
#[derive(Debug)]
pub struct OperatorClient {
    endpoints: Mutex<Vec<Address>>,
    token: String,
}

/// Status and complete body of an endpoint's response.
struct RawResponse {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    /// Returns a client that tries the endpoints (`ip:port`) in turn.
    pub fn new(endpoints: Vec<Address>, token: String) -> Self {
        Self { endpoints: Mutex::new(endpoints), token }
    }

    /// Sends a GET request to a path below the API's base path; `path` may contain a query.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with a JSON body to a path below the API's base path.
    ///
    /// A request whose response was lost is sent again to the next endpoint, so the operation must be
    /// idempotent.
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
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    tried.push(format!("{endpoint}: {}", unavailable_reason(&response)));
                }
                Ok(response) => {
                    self.prefer(&endpoint);
                    return parse(endpoint, &response);
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
    ) -> Result<RawResponse, String> {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint)).await;
        let stream = connect.map_err(|_| "the connection attempt timed out".to_string())?;
        let stream = stream.map_err(|e| e.to_string())?;
        let req = Request::builder()
            .method(method)
            .uri(format!("/{BASE_PATH}/{path}"))
            .header(HOST, endpoint)
            .header(CONTENT_TYPE, "application/json")
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .map_err(|e| e.to_string())?;
        match tokio::time::timeout(RESPONSE_TIMEOUT, exchange(stream, req)).await {
            Ok(response) => response.map_err(|e| e.to_string()),
            Err(_) => Err("the response timed out".to_string()),
        }
    }

    fn endpoints(&self) -> Vec<Address> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Moves an endpoint that responded to the front of the list.
    fn prefer(&self, endpoint: &str) {
        let mut endpoints = self.endpoints.lock().unwrap_or_else(PoisonError::into_inner);
        endpoints.sort_by_key(|other| other != endpoint);
    }
}

async fn exchange(
    stream: TcpStream,
    req: Request<Full<Bytes>>,
) -> Result<RawResponse, Box<dyn Error + Send + Sync>> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(req).await?;
    let status = response.status();
    let body = limited_body::read(response.into_body(), MAX_RESPONSE_BYTES).await?;
    driver.abort();
    Ok(RawResponse { status, body })
}

fn parse<T: DeserializeOwned>(
    endpoint: Address,
    response: &RawResponse,
) -> Result<T, OperatorClientError> {
    let malformed = |e: serde_json::Error| OperatorClientError::Malformed {
        endpoint: endpoint.clone(),
        reason: format!("status {}, {e}", response.status.as_u16()),
    };
    if response.status.is_success() {
        return serde_json::from_slice(&response.body).map_err(malformed);
    }
    let error = serde_json::from_slice::<OperatorError>(&response.body).map_err(malformed)?;
    Err(OperatorClientError::Refused { status: response.status, error: Box::new(error) })
}

fn unavailable_reason(response: &RawResponse) -> String {
    let error = serde_json::from_slice::<OperatorError>(&response.body);
    error.map_or_else(|_| "unavailable".to_string(), |error| error.message)
}
