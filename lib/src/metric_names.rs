//! Stable names of the metrics; `docs/metrics.md` lists them.

/// Calls made to the platform's store.
pub const STORE_CALLS: &str = "store.calls";
/// Calls to the platform's store that had no answer.
pub const STORE_CALL_FAILURES: &str = "store.call_failures";
/// Calls to the platform's store that the queue shed.
pub const STORE_CALLS_SHED: &str = "store.calls_shed";
/// Bytes sent to other nodes, with the headers of the network.
pub const PEER_BYTES_SENT: &str = "peer.bytes_sent";
/// Bytes received from other nodes, with the headers of the network.
pub const PEER_BYTES_RECEIVED: &str = "peer.bytes_received";
/// Datagrams sent to other nodes.
pub const PEER_DATAGRAMS_SENT: &str = "peer.datagrams_sent";
/// Exchanges begun with other nodes over TCP.
pub const PEER_EXCHANGES: &str = "peer.exchanges";
/// Messages from other nodes refused for an unknown protocol version.
pub const PEER_REFUSED_VERSION: &str = "peer.refused_version";
/// Messages from other nodes refused for a wrong fleet key.
pub const PEER_REFUSED_KEY: &str = "peer.refused_key";
/// Messages from other nodes refused as replayed.
pub const PEER_REFUSED_REPLAY: &str = "peer.refused_replay";
/// Messages from other nodes refused as truncated or malformed.
pub const PEER_REFUSED_MALFORMED: &str = "peer.refused_malformed";
/// Facts that were not sent because their value is too large.
pub const FACTS_TOO_LARGE: &str = "facts.too_large";
/// Facts that a message had no room for under the byte budget.
pub const FACTS_DEFERRED: &str = "facts.deferred";
/// Processor time of the protocol between nodes, in microseconds.
pub const CONTROL_CPU_MICROSECONDS: &str = "control.cpu_us";
/// Bytes a second that the protocol between nodes sent lately.
pub const CONTROL_BYTES_PER_SECOND: &str = "control.bytes_per_second";
/// Resident memory of the process in bytes.
pub const CONTROL_MEMORY_BYTES: &str = "control.memory_bytes";
/// Members that this node sees as live.
pub const MEMBERS_LIVE: &str = "members.live";
/// Requests received.
pub const REQUESTS: &str = "requests.received";
/// Requests answered wholly.
pub const REQUESTS_WHOLE: &str = "requests.whole";
/// Requests refused without having run.
pub const REQUESTS_NOT_RUN: &str = "requests.not_run";
/// Requests that ended with an unknown outcome.
pub const REQUESTS_UNKNOWN: &str = "requests.unknown";
/// Waiting requests that were refused.
pub const REQUESTS_SHED: &str = "requests.shed";
/// Requests whose caller went away.
pub const REQUESTS_ABANDONED: &str = "requests.abandoned";
/// Attempts after the first one of a request.
pub const RETRIES: &str = "requests.retries";
/// Streams that went on after an interruption.
pub const STREAMS_RESUMED: &str = "requests.streams_resumed";
/// Streams handed back to their callers at shutdown.
pub const STREAMS_MOVED: &str = "requests.streams_moved";
/// Records of other attempts, and repeated tokens.
pub const RECORDS_DISCARDED: &str = "requests.records_discarded";
/// Tokens sent to callers.
pub const TOKENS: &str = "requests.tokens";
/// Attempts that failed at a replica.
pub const UPSTREAM_FAILURES: &str = "requests.upstream_failures";
/// Writes of ledger shards.
pub const LEDGER_WRITES: &str = "ledger.writes";
/// Operations on ledger entries.
pub const LEDGER_OPS: &str = "ledger.ops";
/// Writes of ledger shards that another node's write superseded.
pub const LEDGER_CONFLICTS: &str = "ledger.conflicts";
/// Operations sent to the shard's preferred writer.
pub const LEDGER_FORWARDS: &str = "ledger.forwards";

/// Orders sent to instances.
pub const GROUP_ORDERS: &str = "groups.orders";

/// Every metric name with its meaning.
pub const ALL: &[(&str, &str)] = &[
    (STORE_CALLS, "Calls made to the platform's store."),
    (STORE_CALL_FAILURES, "Calls to the platform's store that had no answer."),
    (STORE_CALLS_SHED, "Calls to the platform's store that the queue shed."),
    (PEER_BYTES_SENT, "Bytes sent to other nodes, with the headers of the network."),
    (PEER_BYTES_RECEIVED, "Bytes received from other nodes, with the headers of the network."),
    (PEER_DATAGRAMS_SENT, "Datagrams sent to other nodes."),
    (PEER_EXCHANGES, "Exchanges begun with other nodes over TCP."),
    (PEER_REFUSED_VERSION, "Messages from other nodes refused for an unknown protocol version."),
    (PEER_REFUSED_KEY, "Messages from other nodes refused for a wrong fleet key."),
    (PEER_REFUSED_REPLAY, "Messages from other nodes refused as replayed."),
    (PEER_REFUSED_MALFORMED, "Messages from other nodes refused as truncated or malformed."),
    (FACTS_TOO_LARGE, "Facts that were not sent because their value is too large."),
    (FACTS_DEFERRED, "Facts that a message had no room for under the byte budget."),
    (CONTROL_CPU_MICROSECONDS, "Processor time of the protocol between nodes, in microseconds."),
    (CONTROL_BYTES_PER_SECOND, "Bytes a second that the protocol between nodes sent lately."),
    (CONTROL_MEMORY_BYTES, "Resident memory of the process in bytes."),
    (MEMBERS_LIVE, "Members that this node sees as live."),
    (GROUP_ORDERS, "Orders sent to instances."),
    (REQUESTS, "Requests received."),
    (REQUESTS_WHOLE, "Requests answered wholly."),
    (REQUESTS_NOT_RUN, "Requests refused without having run."),
    (REQUESTS_UNKNOWN, "Requests that ended with an unknown outcome."),
    (REQUESTS_SHED, "Waiting requests that were refused."),
    (REQUESTS_ABANDONED, "Requests whose caller went away."),
    (RETRIES, "Attempts after the first one of a request."),
    (STREAMS_RESUMED, "Streams that went on after an interruption."),
    (STREAMS_MOVED, "Streams handed back to their callers at shutdown."),
    (RECORDS_DISCARDED, "Records of other attempts, and repeated tokens."),
    (TOKENS, "Tokens sent to callers."),
    (UPSTREAM_FAILURES, "Attempts that failed at a replica."),
    (LEDGER_WRITES, "Writes of ledger shards."),
    (LEDGER_OPS, "Operations on ledger entries."),
    (LEDGER_CONFLICTS, "Writes of ledger shards that another node's write superseded."),
    (LEDGER_FORWARDS, "Operations sent to the shard's preferred writer."),
];
