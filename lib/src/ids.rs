//! Type aliases for the ids that appear in records, messages and settings.

/// Id of an entry node.
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
/// Id of one attempt to run a request, unique within a node's lifetime.
pub type AttemptId = u64;
/// Fencing number of a fabric domain's or ledger shard's owner.
pub type Epoch = u64;
/// Version of an object in the platform's store.
pub type ObjectVersion = u64;
/// Incarnation of a node, larger after each restart.
pub type Incarnation = u64;
/// Address of a listener as `ip:port`.
pub type Address = String;
