//! The operator API: authentication and dispatch of its operations.

use crate::burn_report;
use crate::config_change;
use crate::cx::Cx;
use crate::fault_socket::InjectedFaults;
use crate::fleet_handle::FleetHandle;
use crate::generated::operator::ConfigReply;
use crate::generated::operator::InstancesReply;
use crate::generated::operator::ServicesReply;
use crate::operator_config;
use crate::operator_error::OperatorApiError;
use crate::operator_error::write_json;
use crate::operator_status;
use crate::operator_why;
use crate::store_client::StoreClient;
use crate::token_hash::verify_token;
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

/// Base path of the operations.
pub const BASE_PATH: &str = "operator/v1";
/// Largest request body in bytes; a configuration must fit into one object of the store.
const MAX_BODY_BYTES: usize = crate::platform::MAX_OBJECT_BYTES;
/// Time within which the complete request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// State that the operations read and change; a node may run without the optional parts.
#[derive(Clone)]
pub struct OperatorApi {
    cx: Cx,
    store: Option<StoreClient>,
    faults: Option<InjectedFaults>,
    fleet: Option<FleetHandle>,
}

/// An operation of the API, or `Unknown` for a method and path that name none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Operation {
    Status,
    Config,
    ConfigDiff,
    ConfigApply,
    ConfigInForce,
    ConfigHistory,
    Services,
    Instances,
    Why,
    PeerFaults,
    Metrics,
    ReportBurn,
    Unknown,
}

/// Every operation with its method and path.
const OPERATIONS: [(Method, &str, Operation); 12] = [
    (Method::GET, "status", Operation::Status),
    (Method::GET, "config", Operation::Config),
    (Method::POST, "config/diff", Operation::ConfigDiff),
    (Method::POST, "config/apply", Operation::ConfigApply),
    (Method::GET, "config/in-force", Operation::ConfigInForce),
    (Method::GET, "config/history", Operation::ConfigHistory),
    (Method::GET, "services", Operation::Services),
    (Method::GET, "instances", Operation::Instances),
    (Method::GET, "why", Operation::Why),
    (Method::POST, "test/peer-faults", Operation::PeerFaults),
    (Method::GET, "metrics", Operation::Metrics),
    (Method::GET, "report/burn", Operation::ReportBurn),
];

/// Handles every path, so that a request without a valid token cannot find out which paths exist.
struct Endpoint {
    api: OperatorApi,
}

/// Time for requesting missing confirmations from other data centres before the response is sent.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// JSON body of an operation's response, or its error.
type OperationResult = Result<Value, OperatorApiError>;

impl OperatorApi {
    /// Returns the API over a node's context.
    pub fn new(cx: Cx) -> Self {
        Self { cx, store: None, faults: None, fleet: None }
    }

    /// Adds the store client, which changes of the configuration require.
    pub fn with_store(mut self, store: StoreClient) -> Self {
        self.store = Some(store);
        self
    }

    /// Adds the handle to the other nodes, which fleet-wide reports require.
    pub fn with_fleet(mut self, fleet: FleetHandle) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Adds the fault switches of the connections to peers, for tests.
    pub fn with_faults(mut self, faults: InjectedFaults) -> Self {
        self.faults = Some(faults);
        self
    }

    /// Returns the router of the operator listener.
    pub fn router(self) -> Router {
        Router::with_path("{**rest}").goal(Endpoint { api: self })
    }

    /// Requests the missing confirmations from the other data centres, then reports on which nodes the
    /// version is in force.
    async fn in_force(&self, version: u64) -> OperationResult {
        let report = match &self.fleet {
            Some(fleet) => fleet.confirm_in_force(version, CONFIRM_TIMEOUT).await,
            None => config_change::in_force(&self.cx, version),
        };
        to_json(&report)
    }

    async fn dispatch(&self, req: &mut Request) -> OperationResult {
        if !self.is_authorized(req) {
            return Err(OperatorApiError::Unauthorized);
        }
        match find_operation(req) {
            Operation::Status => to_json(&self.status()),
            Operation::Config => to_json(&self.config()),
            Operation::ConfigDiff => {
                let proposed: Value = read_json(req).await?;
                to_json(&operator_config::diff(&self.cx, &proposed.to_string()))
            }
            Operation::ConfigApply => self.config_apply(req).await,
            Operation::ConfigInForce => self.in_force(integer_parameter(req, "version")?).await,
            Operation::ConfigHistory => self.config_history(req).await,
            Operation::Services => to_json(&self.services()),
            Operation::Instances => to_json(&self.instances()),
            Operation::Why => self.why(req).await,
            Operation::PeerFaults => self.peer_faults(req).await,
            Operation::Metrics => to_json(&self.cx.metrics.values()),
            Operation::ReportBurn => self.report_burn().await,
            Operation::Unknown => Err(OperatorApiError::UnknownOperation),
        }
    }

    fn is_authorized(&self, req: &Request) -> bool {
        let Some(token) = bearer_token(req) else { return false };
        let config = self.cx.config.get();
        let operators = config.as_ref().map_or(&[][..], |record| &record.config.operators);
        // Every hash is compared, so that the response time does not reveal which one matched.
        let matches_config = operators.iter().filter(|hash| verify_token(token, hash)).count() > 0;
        let bootstrap = self.cx.settings.bootstrap_operator.as_deref();
        let matches_settings = bootstrap.is_some_and(|hash| verify_token(token, hash));
        matches_config || (operators.is_empty() && matches_settings)
    }

    fn status(&self) -> crate::generated::operator::StatusReply {
        operator_status::status(&self.cx, self.store.as_ref().map(StoreClient::is_available))
    }

    fn config(&self) -> ConfigReply {
        ConfigReply { record: self.cx.config.get().map(|record| (*record).clone()) }
    }

    fn store(&self) -> Result<&StoreClient, OperatorApiError> {
        self.store.as_ref().ok_or(OperatorApiError::Disabled { part: "store" })
    }

    async fn config_apply(&self, req: &mut Request) -> OperationResult {
        let change = read_json(req).await?;
        to_json(&operator_config::apply(&self.cx, self.store()?, &change).await?)
    }

    async fn why(&self, req: &Request) -> OperationResult {
        let id = required_parameter(req, "id")?;
        let is_local = req.query::<bool>("local").unwrap_or(false);
        let token = bearer_token(req).unwrap_or_default();
        match is_local {
            true => to_json(&operator_why::local(&self.cx, &id)),
            false => to_json(&operator_why::fleet(&self.cx, &id, token).await),
        }
    }

    async fn report_burn(&self) -> OperationResult {
        let fleet = self.fleet.as_ref().ok_or(OperatorApiError::Disabled { part: "fleet" })?;
        let report = burn_report::collect(&self.cx, fleet).await;
        let reason = "no configuration is in force, so no objectives are defined";
        let report =
            report.ok_or_else(|| OperatorApiError::Unavailable { reason: reason.to_string() })?;
        to_json(&report)
    }

    async fn peer_faults(&self, req: &mut Request) -> OperationResult {
        let disabled = OperatorApiError::Disabled { part: "test hooks" };
        let faults = self.faults.as_ref().ok_or(disabled)?;
        faults.set(read_json(req).await?);
        to_json(&faults.get())
    }

    async fn config_history(&self, req: &Request) -> OperationResult {
        let limit = integer_parameter(req, "limit")?;
        to_json(&operator_config::history(&self.cx, self.store()?, limit).await?)
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
        match self.api.dispatch(req).await {
            Ok(body) => write_json(res, StatusCode::OK, &body),
            Err(e) => e.write(res),
        }
    }
}

fn bearer_token(req: &Request) -> Option<&str> {
    let header = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    header.and_then(|text| text.strip_prefix("Bearer "))
}

/// Returns the operation for the method and path of a request.
fn find_operation(req: &Request) -> Operation {
    let path = req.uri().path().trim_start_matches('/');
    let Some(name) = path.strip_prefix(BASE_PATH).and_then(|rest| rest.strip_prefix('/')) else {
        return Operation::Unknown;
    };
    let found = OPERATIONS.iter().find(|(method, path, _)| method == req.method() && *path == name);
    found.map_or(Operation::Unknown, |(_, _, operation)| *operation)
}

/// Reads a JSON body, with limits on its size and on the time it takes to arrive.
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

/// Returns a required query parameter.
fn required_parameter(req: &Request, name: &str) -> Result<String, OperatorApiError> {
    let missing =
        || OperatorApiError::BadRequest { reason: format!("the parameter {name} is missing") };
    req.query::<String>(name).filter(|value| !value.is_empty()).ok_or_else(missing)
}

/// Returns a required query parameter that is a whole number.
fn integer_parameter(req: &Request, name: &str) -> Result<u64, OperatorApiError> {
    let text = required_parameter(req, name)?;
    let invalid = || OperatorApiError::BadRequest {
        reason: format!("the parameter {name}: found {text:?}; allowed: a whole number"),
    };
    text.parse().map_err(|_| invalid())
}

fn to_json(body: &impl Serialize) -> OperationResult {
    serde_json::to_value(body).map_err(|e| OperatorApiError::Unavailable {
        reason: format!("cannot serialize the response: {e}"),
    })
}
