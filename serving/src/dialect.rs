//! The edge to a platform's manner of speaking: paths, headers and bodies, without any decision.
//!
//! An implementation translates between bytes on the wire and the types of this crate. It sends
//! nothing, keeps no state and chooses nothing.

use crate::fleet_config::FleetConfig;
use crate::instance::Instance;
use crate::instance::InstanceReport;
use crate::instance::Order;
use crate::instance::OrderResponse;
use crate::instance::ResponseHead;
use http::HeaderMap;
use http::StatusCode;
use http::Uri;
use std::net::SocketAddr;
use std::time::Duration;

/// A body that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{what}: {reason}")]
pub struct DecodeError {
    /// What was decoded.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl DecodeError {
    /// Returns an error.
    pub fn new(what: &'static str, reason: impl std::fmt::Display) -> Self {
        Self { what, reason: reason.to_string() }
    }
}

/// Kind of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ObjectKind {
    /// The operators' configuration.
    Config,
    /// Registered instances.
    Instances,
    /// Nodes of this system.
    Nodes,
    /// Leases on duties.
    Leases,
    /// The key that authenticates messages between nodes.
    FleetKey,
}

/// An object of the platform's store.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StoredObject {
    /// Name, unique within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Whether it is being deleted.
    pub is_deleting: bool,
    /// Content.
    pub content: serde_json::Value,
}

/// A page of a list of objects.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ObjectPage {
    /// Objects.
    pub objects: Vec<StoredObject>,
    /// Whether there are more.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// One change of an object.
#[derive(Debug, Clone, PartialEq)]
pub enum ObjectChange {
    /// Created or replaced.
    Put(StoredObject),
    /// Removed; the name.
    Removed(String),
}

/// What a watch returned.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WatchBatch {
    /// Changes in order.
    pub changes: Vec<ObjectChange>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// A read of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ObjectRead<'a> {
    /// One object.
    Get {
        /// Name.
        name: &'a str,
    },
    /// A page of all objects of the kind.
    List {
        /// Name after which the page begins.
        after: Option<&'a str>,
        /// Whether the answer may be some seconds old, which costs less.
        may_be_stale: bool,
    },
    /// Changes of the kind.
    Watch {
        /// Revision after which changes are wanted.
        after: u64,
        /// Longest wait for a change.
        wait: Duration,
    },
}

/// What a caller's request says about itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of this attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// API key.
    pub key: Option<String>,
    /// Model.
    pub model: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_answer_tokens: u32,
    /// Last event that the caller has of this stream.
    pub last_event_id: Option<u64>,
}

/// What the node adds to a request that it sends to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamTerms<'a> {
    /// Instance that is meant; any other refuses.
    pub instance: &'a str,
    /// Time that is left.
    pub deadline: Duration,
    /// Customer.
    pub customer: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Last event that was delivered, where a stream goes on.
    pub last_event_id: Option<u64>,
}

/// A caller's question for addresses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResolveQuestion {
    /// Host that the caller wants to reach.
    pub name: String,
    /// Data centre of the caller.
    pub data_centre: String,
}

/// A platform's manner of speaking.
pub trait Dialect: Send + Sync + std::fmt::Debug {
    /// Returns path and query of a read.
    fn read_path(&self, kind: ObjectKind, read: &ObjectRead<'_>) -> String;
    /// Returns the path of a kind's objects, or of one object.
    fn object_path(&self, kind: ObjectKind, name: Option<&str>) -> String;
    /// Returns the path that deletes an object if it has this revision.
    fn delete_path(&self, kind: ObjectKind, name: &str, revision: u64) -> String;
    /// Encodes an object; a revision of 0 is no condition.
    fn encode_object(&self, object: &StoredObject) -> Vec<u8>;
    /// Decodes one object.
    fn decode_object(&self, body: &[u8]) -> Result<StoredObject, DecodeError>;
    /// Decodes a page of a list.
    fn decode_page(&self, body: &[u8]) -> Result<ObjectPage, DecodeError>;
    /// Decodes what a watch returned.
    fn decode_watch(&self, body: &[u8]) -> Result<WatchBatch, DecodeError>;
    /// Decodes the configuration.
    fn decode_config(&self, object: &StoredObject) -> Result<FleetConfig, DecodeError>;
    /// Decodes a registered instance.
    fn decode_instance(&self, object: &StoredObject) -> Result<Instance, DecodeError>;

    /// Returns the path of an instance's report.
    fn report_path(&self) -> &'static str;
    /// Decodes an instance's report.
    fn decode_report(&self, body: &[u8]) -> Result<InstanceReport, DecodeError>;
    /// Returns the path that takes orders.
    fn order_path(&self) -> &'static str;
    /// Encodes an order.
    fn encode_order(&self, order: &Order) -> Vec<u8>;
    /// Decodes the answer to an order.
    fn decode_order_answer(&self, status: StatusCode) -> OrderResponse;
    /// Returns the headers of a call to an instance's own interface that names the instance.
    fn instance_headers(&self, instance: &str) -> HeaderMap;

    /// Decodes the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHead;
    /// Returns the headers with which a request goes on to a replica.
    fn upstream_headers(&self, received: &HeaderMap, terms: &UpstreamTerms<'_>) -> HeaderMap;
    /// Decodes the head of a replica's answer.
    fn decode_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;
    /// Returns the headers with which a replica's answer goes on to the caller.
    fn caller_headers(&self, answered: &HeaderMap) -> HeaderMap;

    /// Tells whether a path asks whether the node is ready.
    fn is_ready_path(&self, path: &str) -> bool;
    /// Decodes a question for addresses.
    fn decode_resolve(&self, uri: &Uri) -> Option<ResolveQuestion>;
    /// Encodes the answer to a question for addresses.
    fn encode_resolve(&self, addresses: &[SocketAddr], keep: Duration) -> Vec<u8>;
}
