//! Errors of the operators' API as status code and body.

use crate::generated::operator::ConfigDifference;
use crate::generated::operator::OperatorError;
use salvo::Response;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::HeaderValue;
use serde::Serialize;

/// A request that failed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum OperatorApiError {
    /// The token is missing or wrong; the answer tells nothing more.
    #[error("a valid bearer token is required")]
    Unauthorized,
    /// No such path or method.
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
        /// Largest body.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The configuration has problems.
    #[error("the configuration is not acceptable")]
    Invalid {
        /// Every problem, one line each.
        problems: Vec<String>,
    },
    /// Another change came first.
    #[error("version {version} by {author} is in force instead of the one read: {reason}")]
    Conflict {
        /// Version in force.
        version: u64,
        /// Who made it.
        author: String,
        /// Why it was made.
        reason: String,
        /// How the proposed configuration differs from the one in force.
        differences: Vec<ConfigDifference>,
    },
    /// A part that the request needs does not answer.
    #[error("{reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// It is not known whether the change was accepted.
    #[error("{reason}")]
    Unclear {
        /// What was seen.
        reason: String,
    },
    /// The daemon was started without this part.
    #[error("this daemon has no {part}")]
    Disabled {
        /// Part that is missing.
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

    /// Returns the stable code of the error.
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
            Self::Invalid { .. } => "correct the places named in `problems` and apply again",
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

    /// Writes the error as the answer.
    pub fn write(&self, res: &mut Response) {
        write_json(res, self.status(), &self.body());
    }
}

/// Writes a JSON answer.
pub fn write_json(res: &mut Response, status: StatusCode, body: &impl Serialize) {
    res.status_code(status);
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match serde_json::to_vec(body) {
        Ok(bytes) => drop(res.write_body(bytes)),
        Err(_) => drop(res.status_code(StatusCode::INTERNAL_SERVER_ERROR)),
    }
}
