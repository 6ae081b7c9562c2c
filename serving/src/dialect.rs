//! Interface to a platform's wire format: paths, headers and bodies.
//!
//! An implementation only translates between bytes on the wire and the types of this crate: it does
//! no I/O, keeps no state and makes no decisions.

use crate::fleet_config::FleetConfig;
use crate::instance::Instance;
use crate::instance::InstanceNotice;
use crate::instance::InstanceReport;
use crate::instance::Order;
use crate::instance::OrderResponse;
use crate::instance::ResponseHead;
use crate::store_era::Era;
use crate::store_era::Revision;
use http::HeaderMap;
use http::StatusCode;
use http::Uri;
use std::net::SocketAddr;
use std::time::Duration;

/// Error of decoding a body.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{what}: {reason}")]
pub struct DecodeError {
    /// Kind of body that was decoded.
    pub what: &'static str,
    /// Why it cannot be decoded.
    pub reason: String,
}

impl DecodeError {
    /// Creates an error for the named kind of body.
    pub fn new(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Self { what, reason: reason.to_string() }
    }
}

/// Kind of object in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The configuration written by the operators.
    Config,
    /// Registered instances.
    Instances,
    /// Registered nodes of this system.
    Nodes,
    /// Leases that give one node an exclusive task.
    Leases,
    /// Key that authenticates the messages between nodes.
    FleetKey,
    /// Requests that are refused since they crash replicas.
    CrashingRequests,
    /// Data centres to which no requests are sent.
    Evacuations,
}

/// Object of the platform's store.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StoredObject {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of the store at the last change of the object. Its era is set by the store's client.
    pub revision: Revision,
    /// Whether it is being deleted.
    pub is_deleting: bool,
    /// Content of the object as JSON.
    pub content: serde_json::Value,
}

/// One page of a list of objects.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObjectPage {
    /// Objects on this page.
    pub objects: Vec<StoredObject>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    pub revision: u64,
}

/// Change of one object.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectChange {
    /// The object was created or replaced.
    Put(StoredObject),
    /// The object of this name was removed.
    Removed(String),
}

/// Result of a watch.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchBatch {
    /// Changes in the order of their revisions.
    pub changes: Vec<ObjectChange>,
    /// Revision from which the next watch continues.
    pub revision: u64,
}

/// Read request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectRead<'a> {
    /// Reads one object.
    Get {
        /// Name of the object.
        name: &'a str,
    },
    /// Reads one page of all objects of a kind.
    List {
        /// Name after which the page begins; `None` for the first page.
        after: Option<&'a str>,
        /// Whether the store may return data that is some seconds old, which costs it less.
        allow_stale: bool,
    },
    /// Waits for changes of objects of a kind.
    Watch {
        /// Revision after which changes are reported.
        after: u64,
        /// How long the store waits for a change before it returns an empty batch.
        wait: Duration,
    },
}

/// Metadata that a caller's request carries in its headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt by the caller.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// API key of the customer.
    pub key: Option<String>,
    /// Requested model.
    pub model: Option<String>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_response_tokens: u32,
    /// Id of the last event of this stream that the caller received.
    pub last_event_id: Option<u64>,
    /// Ids of the parts of the prompt, in order. Other requests may share each of them but the last.
    pub prompt_parts: Vec<u128>,
}

/// Parameters that the node adds to a request that it forwards to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamParams<'a> {
    /// Instance that the request is addressed to; any other instance refuses it.
    pub instance: &'a str,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Customer that sent the request.
    pub customer: Option<&'a str>,
    /// Scheduling priority; 0 is the most urgent.
    pub urgency: u8,
    /// Id of the last event that was delivered, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// Query of a caller for the addresses of entry nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResolveQuery {
    /// Host name that the caller resolves.
    pub name: String,
    /// Data centre of the caller.
    pub data_centre: String,
}

/// Wire format of a platform: encodes and decodes its requests, responses and objects.
pub trait Dialect: Send + Sync + std::fmt::Debug {
    /// Returns the path and query of a read.
    fn read_path(&self, kind: ObjectKind, read: &ObjectRead<'_>) -> String;
    /// Returns the path of all objects of a kind, or of one object.
    fn object_path(&self, kind: ObjectKind, name: Option<&str>) -> String;
    /// Returns the path that deletes an object on condition that it has this revision.
    fn delete_path(&self, kind: ObjectKind, name: &str, revision: u64) -> String;
    /// Encodes an object for a write. Its revision is the condition of the write; 0 means none.
    fn encode_object(&self, object: &StoredObject) -> Vec<u8>;
    /// Decodes one object.
    fn decode_object(&self, body: &[u8]) -> Result<StoredObject, DecodeError>;
    /// Decodes a page of a list.
    fn decode_page(&self, body: &[u8]) -> Result<ObjectPage, DecodeError>;
    /// Decodes the result of a watch.
    fn decode_watch(&self, body: &[u8]) -> Result<WatchBatch, DecodeError>;
    /// Decodes the era that the store names in the headers of an answer: `None` if it names none, an error if
    /// it cannot be read.
    fn decode_store_era(&self, headers: &HeaderMap) -> Result<Option<Era>, DecodeError>;
    /// Decodes the configuration.
    fn decode_config(&self, object: &StoredObject) -> Result<FleetConfig, DecodeError>;
    /// Decodes a registered instance.
    fn decode_instance(&self, object: &StoredObject) -> Result<Instance, DecodeError>;
    /// Decodes an evacuation and returns the name of the data centre.
    fn decode_evacuation(&self, object: &StoredObject) -> Result<String, DecodeError>;
    /// Decodes how much longer a registered instance stays cold; `None` if its entry does not say.
    fn decode_cold_left(&self, object: &StoredObject) -> Option<Duration>;

    /// Returns the path on an instance that serves its report.
    fn report_path(&self) -> &'static str;
    /// Decodes an instance's report.
    fn decode_report(&self, body: &[u8]) -> Result<InstanceReport, DecodeError>;
    /// Returns the path on an instance that accepts orders.
    fn order_path(&self) -> &'static str;
    /// Encodes an order.
    fn encode_order(&self, order: &Order) -> Vec<u8>;
    /// Decodes the response to an order.
    fn decode_order_response(&self, status: StatusCode) -> OrderResponse;
    /// Decodes what an instance states about itself in the headers of any answer.
    fn decode_notice(&self, headers: &HeaderMap) -> InstanceNotice;
    /// Returns the headers that name the addressed instance in a call to its own interface.
    fn instance_headers(&self, instance: &str) -> HeaderMap;

    /// Decodes the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHead;
    /// Returns the headers of a request that is forwarded to a replica.
    fn upstream_headers(&self, received: &HeaderMap, params: &UpstreamParams<'_>) -> HeaderMap;
    /// Returns the headers of a request that is passed on to another node, with the time left until the
    /// caller's deadline and the id of the last event that was delivered.
    fn relay_headers(
        &self,
        received: &HeaderMap,
        deadline: Duration,
        last_event_id: Option<u64>,
    ) -> HeaderMap;
    /// Decodes the status and headers of a replica's response.
    fn decode_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// Returns the headers of a replica's response that is forwarded to the caller.
    fn caller_headers(&self, response: &HeaderMap) -> HeaderMap;

    /// Returns whether a path is the platform's readiness probe.
    fn is_ready_path(&self, path: &str) -> bool;
    /// Decodes a resolve query; `None` if the URI is not one.
    fn decode_resolve(&self, uri: &Uri) -> Option<ResolveQuery>;
    /// Encodes the response to a resolve query; callers may cache it for `ttl`.
    fn encode_resolve(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}
