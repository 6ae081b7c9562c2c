//! Errors of the operator API, and their status codes and response bodies.

use crate::generated::operator::ConfigDifference;
use crate::generated::operator::OperatorError;
use salvo::Response;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::HeaderValue;
use serde::Serialize;

/// Error of a request to the operator API.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OperatorApiError {
    /// The token is missing or wrong; the response reveals nothing else.
    #[error("a valid bearer token is required")]
    Unauthorized,
    /// No operation has this path and method.
    #[error("no such operation")]
    UnknownOperation,
    /// The request is malformed.
    #[error("{reason}")]
    BadRequest {
        /// What was found and what is allowed.
        reason: String,
    },
    /// The body is larger than allowed.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Largest body in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The configuration did not pass the checks.
    #[error("the configuration is invalid")]
    Invalid {
        /// Every problem, one line each.
        problems: Vec<String>,
    },
    /// The change is based on a version that is no longer the current one.
    #[error("version {version} by {author} is in force instead of the one read: {reason}")]
    Conflict {
        /// Version in force.
        version: u64,
        /// Author of the version in force.
        author: String,
        /// Reason that its author gave.
        reason: String,
        /// How the proposed configuration differs from the one in force.
        differences: Vec<ConfigDifference>,
    },
    /// A part that the operation depends on is unavailable.
    #[error("{reason}")]
    Unavailable {
        /// Description of the failure.
        reason: String,
    },
    /// It is not known whether the change was accepted.
    #[error("{reason}")]
    Unclear {
        /// Description of the failure.
        reason: String,
    },
    /// The daemon was started without a part that the operation requires.
    #[error("this daemon has no {part}")]
    Disabled {
        /// Name of the part.
        part: &'static str,
    },
}

impl OperatorApiError {
    /// Returns the HTTP status code.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::UnknownOperation | Self::Disabled { .. } => StatusCode::NOT_FOUND,
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Conflict { .. } => StatusCode::CONFLICT,
            Self::Unavailable { .. } | Self::Unclear { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the code of the error, which stays the same between versions.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::UnknownOperation => "unknown_operation",
            Self::BadRequest { .. } => "bad_request",
            Self::TooLarge { .. } => "too_large",
            Self::TooSlow => "too_slow",
            Self::Invalid { .. } => "invalid_config",
            Self::Conflict { .. } => "conflict",
            Self::Unavailable { .. } => "unavailable",
            Self::Unclear { .. } => "unclear",
            Self::Disabled { .. } => "disabled",
        }
    }

    fn hint(&self) -> &'static str {
        match self {
            Self::Unauthorized => "send the header `Authorization: Bearer TOKEN`",
            Self::UnknownOperation => "see docs/operators/cli.md for the operations",
            Self::BadRequest { .. } => "correct the request",
            Self::TooLarge { .. } => "send a smaller body",
            Self::TooSlow => "send the whole body at once",
            Self::Invalid { .. } => "correct the values listed in `problems` and apply again",
            Self::Conflict { .. } => "read the configuration again, repeat the edit and apply it",
            Self::Unavailable { .. } => "wait and try again, or ask another node",
            Self::Unclear { .. } => "send the same change again under the same change id",
            Self::Disabled { .. } => "ask another node or check the settings",
        }
    }

    fn body(&self) -> OperatorError {
        let mut body = OperatorError {
            code: self.code().to_string(),
            message: self.to_string(),
            hint: self.hint().to_string(),
            problems: vec![],
            differences: vec![],
        };
        match self {
            Self::Invalid { problems } => body.problems = problems.clone(),
            Self::Conflict { differences, .. } => body.differences = differences.clone(),
            _ => {}
        }
        body
    }

    /// Writes the error to the response.
    pub fn write(&self, res: &mut Response) {
        write_json(res, self.status(), &self.body());
    }
}

/// Writes a response with a status code and a JSON body.
pub fn write_json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    res.status_code(status);
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match serde_json::to_vec(body) {
        Ok(bytes) => drop(res.write_body(bytes)),
        Err(_) => drop(res.status_code(StatusCode::INTERNAL_SERVER_ERROR)),
    }
}
