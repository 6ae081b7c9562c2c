//! The operators' API: authentication and dispatch of its operations.

use crate::config_diff;
use crate::cx::Cx;
use crate::generated::config::FleetConfig;
use crate::generated::operator::ConfigDiffReply;
use crate::generated::operator::ConfigReply;
use crate::generated::operator::InstancesReply;
use crate::generated::operator::ServicesReply;
use crate::operator_error::OperatorApiError;
use crate::operator_error::write_json;
use crate::operator_status;
use crate::operator_why;
use crate::store_client::StoreClient;
use crate::token_hash::is_token;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::Method;
use salvo::http::StatusCode;
use salvo::http::header::AUTHORIZATION;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;

/// Path below which the operations are.
pub const BASE_PATH: &str = "operator/v1";
/// Largest request body in bytes; a configuration must fit into one object of the store.
const MAX_BODY_BYTES: usize = crate::platform::MAX_OBJECT_BYTES;
/// Longest time for a whole request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// What the operations work on.
#[derive(Clone)]
pub struct OperatorApi {
    cx: Cx,
    store: Option<StoreClient>,
}

/// One operation of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Status,
    Config,
    ConfigDiff,
    Services,
    Instances,
    Why,
    Metrics,
    Unknown,
}

/// Every operation with its method and path.
const OPERATIONS: [(Method, &str, Operation); 7] = [
    (Method::GET, "status", Operation::Status),
    (Method::GET, "config", Operation::Config),
    (Method::POST, "config/diff", Operation::ConfigDiff),
    (Method::GET, "services", Operation::Services),
    (Method::GET, "instances", Operation::Instances),
    (Method::GET, "why", Operation::Why),
    (Method::GET, "metrics", Operation::Metrics),
];

/// Serves every path, so that nothing is told about paths without a token.
struct Endpoint {
    api: OperatorApi,
}

/// An operation's answer.
type Answer = Result<Value, OperatorApiError>;

impl OperatorApi {
    /// Returns the API over a node's context.
    pub fn new(cx: Cx) -> Self {
        Self { cx, store: None }
    }

    /// Adds the store's client, which changes of the configuration need.
    pub fn with_store(mut self, store: StoreClient) -> Self {
        self.store = Some(store);
        self
    }

    /// Returns the router of the operators' listener.
    pub fn router(self) -> Router {
        Router::with_path("{**rest}").goal(Endpoint { api: self })
    }

    async fn answer(&self, req: &mut Request) -> Answer {
        if !self.is_authorized(req) {
            return Err(OperatorApiError::Unauthorized);
        }
        match operation(req) {
            Operation::Status => to_json(&self.status()),
            Operation::Config => to_json(&self.config()),
            Operation::ConfigDiff => to_json(&self.config_diff(&read_json(req).await?)),
            Operation::Services => to_json(&self.services()),
            Operation::Instances => to_json(&self.instances()),
            Operation::Why => to_json(&operator_why::local(&self.cx, &query(req, "id")?)),
            Operation::Metrics => to_json(&self.cx.metrics.values()),
            Operation::Unknown => Err(OperatorApiError::UnknownOperation),
        }
    }

    fn is_authorized(&self, req: &Request) -> bool {
        let header = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let Some(token) = header.and_then(|text| text.strip_prefix("Bearer ")) else {
            return false;
        };
        let config = self.cx.config.get();
        let operators = config.as_ref().map_or(&[][..], |record| &record.config.operators);
        // Every hash is compared, so that the time does not tell which one matched.
        let by_config = operators.iter().filter(|hash| is_token(token, hash)).count() > 0;
        let bootstrap = self.cx.settings.bootstrap_operator.as_deref();
        let by_settings = bootstrap.is_some_and(|hash| is_token(token, hash));
        by_config || (operators.is_empty() && by_settings)
    }

    fn status(&self) -> crate::generated::operator::StatusReply {
        operator_status::status(&self.cx, self.store.as_ref().map(StoreClient::is_available))
    }

    fn config(&self) -> ConfigReply {
        ConfigReply { record: self.cx.config.get().map(|record| (*record).clone()) }
    }

    fn config_diff(&self, proposed: &FleetConfig) -> ConfigDiffReply {
        let current = self.cx.config.get();
        let before = current.as_ref().map(|record| &record.config);
        ConfigDiffReply {
            version: current.as_ref().map_or(0, |record| record.version),
            differences: config_diff::diff(before, Some(proposed)),
            problems: vec![],
        }
    }

    fn services(&self) -> ServicesReply {
        ServicesReply { services: operator_status::services(&self.cx, true) }
    }

    fn instances(&self) -> InstancesReply {
        InstancesReply { instances: operator_status::instances(&self.cx) }
    }
}

#[salvo::async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.api.answer(req).await {
            Ok(body) => write_json(res, StatusCode::OK, &body),
            Err(e) => e.write(res),
        }
    }
}

/// Finds the operation that a request names.
fn operation(req: &Request) -> Operation {
    let path = req.uri().path().trim_start_matches('/');
    let Some(name) = path.strip_prefix(BASE_PATH).and_then(|rest| rest.strip_prefix('/')) else {
        return Operation::Unknown;
    };
    let found = OPERATIONS.iter().find(|(method, path, _)| method == req.method() && *path == name);
    found.map_or(Operation::Unknown, |(_, _, operation)| *operation)
}

/// Reads a bounded JSON body.
async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, OperatorApiError> {
    let body = tokio::time::timeout(BODY_TIMEOUT, req.payload_with_max_size(MAX_BODY_BYTES)).await;
    let body = body.map_err(|_| OperatorApiError::TooSlow)?;
    let bytes = match body {
        Ok(bytes) => bytes,
        Err(salvo::http::ParseError::PayloadTooLarge) => {
            return Err(OperatorApiError::TooLarge { limit: MAX_BODY_BYTES });
        }
        Err(e) => return Err(OperatorApiError::BadRequest { reason: format!("the body: {e}") }),
    };
    serde_json::from_slice(bytes)
        .map_err(|e| OperatorApiError::BadRequest { reason: format!("the body: {e}") })
}

/// Returns a query parameter that must be there.
fn query(req: &Request, name: &str) -> Result<String, OperatorApiError> {
    let missing = || OperatorApiError::BadRequest { reason: format!("the parameter {name} lacks") };
    req.query::<String>(name).filter(|value| !value.is_empty()).ok_or_else(missing)
}

fn to_json(body: &impl Serialize) -> Answer {
    serde_json::to_value(body)
        .map_err(|e| OperatorApiError::Unavailable { reason: format!("unreadable answer: {e}") })
}
