//! Type aliases for identifiers used in records, messages and settings.

/// Id of a node of guavaladder.
pub type NodeId = String;
/// Id of an instance.
pub type InstanceId = String;
/// Id of a fabric domain.
pub type DomainId = String;
/// Id of a data centre.
pub type DataCentreId = String;
/// Id of a region.
pub type RegionId = String;
/// Id of a group of instances.
pub type GroupId = String;
/// Id of a service.
pub type ServiceId = String;
/// Id of a customer.
pub type CustomerId = String;
/// Id of a request.
pub type RequestId = String;
/// Id of one attempt to execute a request, unique within one run of a node.
pub type AttemptId = u64;
/// Fencing token of the owner of a fabric domain or ledger shard.
pub type Epoch = u64;
/// Version of an object in the platform's store.
pub type ObjectVersion = u64;
/// Incarnation of a node; increases with each restart.
pub type Incarnation = u64;
/// Address of a listener as `ip:port`.
pub type Address = String;
