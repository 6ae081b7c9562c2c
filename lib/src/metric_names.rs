//! Stable metric names; `docs/metrics.md` is generated from this file.

/// Calls to the platform's store.
pub const STORE_CALLS: &str = "store.calls";
/// Calls to the platform's store that got no response.
pub const STORE_CALL_FAILURES: &str = "store.call_failures";
/// Calls to the platform's store dropped by load shedding in the call queue.
pub const STORE_CALLS_SHED: &str = "store.calls_shed";
/// Bytes sent to other nodes, including network headers.
pub const PEER_BYTES_SENT: &str = "peer.bytes_sent";
/// Bytes received from other nodes, including network headers.
pub const PEER_BYTES_RECEIVED: &str = "peer.bytes_received";
/// Datagrams sent to other nodes.
pub const PEER_DATAGRAMS_SENT: &str = "peer.datagrams_sent";
/// TCP exchanges initiated with other nodes.
pub const PEER_EXCHANGES: &str = "peer.exchanges";
/// Messages from other nodes rejected for an unknown protocol version.
pub const PEER_REFUSED_VERSION: &str = "peer.refused_version";
/// Messages from other nodes rejected for a wrong fleet key.
pub const PEER_REFUSED_KEY: &str = "peer.refused_key";
/// Messages from other nodes rejected as replayed.
pub const PEER_REFUSED_REPLAY: &str = "peer.refused_replay";
/// Messages from other nodes rejected as truncated or malformed.
pub const PEER_REFUSED_MALFORMED: &str = "peer.refused_malformed";
/// Facts not sent because their value is too large.
pub const FACTS_TOO_LARGE: &str = "facts.too_large";
/// Facts left out of a message because its byte budget was used up.
pub const FACTS_DEFERRED: &str = "facts.deferred";
/// CPU time used by the protocol between nodes, in microseconds.
pub const CONTROL_CPU_MICROSECONDS: &str = "control.cpu_us";
/// Recent send rate of the protocol between nodes, in bytes per second.
pub const CONTROL_BYTES_PER_SECOND: &str = "control.bytes_per_second";
/// Resident memory of the process in bytes.
pub const CONTROL_MEMORY_BYTES: &str = "control.memory_bytes";
/// Nodes that this node considers live.
pub const MEMBERS_LIVE: &str = "members.live";
/// Requests received.
pub const REQUESTS: &str = "requests.received";
/// Requests with a complete response.
pub const REQUESTS_WHOLE: &str = "requests.whole";
/// Requests rejected without having been executed.
pub const REQUESTS_NOT_RUN: &str = "requests.not_run";
/// Requests that ended with an unknown outcome.
pub const REQUESTS_UNKNOWN: &str = "requests.unknown";
/// Queued requests that were rejected.
pub const REQUESTS_SHED: &str = "requests.shed";
/// Requests whose caller disconnected.
pub const REQUESTS_ABANDONED: &str = "requests.abandoned";
/// Attempts after the first attempt of a request.
pub const RETRIES: &str = "requests.retries";
/// Streams resumed after an interruption.
pub const STREAMS_RESUMED: &str = "requests.streams_resumed";
/// Streams interrupted at shutdown for their callers to resume on another node.
pub const STREAMS_MOVED: &str = "requests.streams_moved";
/// Stream records discarded because they belong to another attempt or repeat a token.
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

/// Connections closed for new ones, since they waited for their clients.
pub const CONNECTIONS_CLOSED: &str = "connections.closed";
/// Connections refused because of the limit on open ones.
pub const CONNECTIONS_REFUSED: &str = "connections.refused";
/// Bytes held for request bodies.
pub const BODY_BYTES: &str = "bodies.bytes";
/// Request bodies refused or ended for others because there was no room for them.
pub const BODIES_REFUSED: &str = "bodies.refused";

/// Orders sent to instances.
pub const GROUP_ORDERS: &str = "groups.orders";

/// All metric names with their descriptions.
pub const ALL: &[(&str, &str)] = &[
    (STORE_CALLS, "Calls to the platform's store."),
    (STORE_CALL_FAILURES, "Calls to the platform's store that got no response."),
    (STORE_CALLS_SHED, "Calls to the platform's store dropped by load shedding in the call queue."),
    (PEER_BYTES_SENT, "Bytes sent to other nodes, including network headers."),
    (PEER_BYTES_RECEIVED, "Bytes received from other nodes, including network headers."),
    (PEER_DATAGRAMS_SENT, "Datagrams sent to other nodes."),
    (PEER_EXCHANGES, "TCP exchanges initiated with other nodes."),
    (PEER_REFUSED_VERSION, "Messages from other nodes rejected for an unknown protocol version."),
    (PEER_REFUSED_KEY, "Messages from other nodes rejected for a wrong fleet key."),
    (PEER_REFUSED_REPLAY, "Messages from other nodes rejected as replayed."),
    (PEER_REFUSED_MALFORMED, "Messages from other nodes rejected as truncated or malformed."),
    (FACTS_TOO_LARGE, "Facts not sent because their value is too large."),
    (FACTS_DEFERRED, "Facts left out of a message because its byte budget was used up."),
    (CONTROL_CPU_MICROSECONDS, "CPU time used by the protocol between nodes, in microseconds."),
    (
        CONTROL_BYTES_PER_SECOND,
        "Recent send rate of the protocol between nodes, in bytes per second.",
    ),
    (CONTROL_MEMORY_BYTES, "Resident memory of the process in bytes."),
    (MEMBERS_LIVE, "Nodes that this node considers live."),
    (CONNECTIONS_CLOSED, "Connections closed for new ones, since they waited for their clients."),
    (CONNECTIONS_REFUSED, "Connections refused because of the limit on open ones."),
    (BODY_BYTES, "Bytes held for request bodies."),
    (
        BODIES_REFUSED,
        "Request bodies refused or ended for others because there was no room for them.",
    ),
    (GROUP_ORDERS, "Orders sent to instances."),
    (REQUESTS, "Requests received."),
    (REQUESTS_WHOLE, "Requests with a complete response."),
    (REQUESTS_NOT_RUN, "Requests rejected without having been executed."),
    (REQUESTS_UNKNOWN, "Requests that ended with an unknown outcome."),
    (REQUESTS_SHED, "Queued requests that were rejected."),
    (REQUESTS_ABANDONED, "Requests whose caller disconnected."),
    (RETRIES, "Attempts after the first attempt of a request."),
    (STREAMS_RESUMED, "Streams resumed after an interruption."),
    (STREAMS_MOVED, "Streams interrupted at shutdown for their callers to resume on another node."),
    (
        RECORDS_DISCARDED,
        "Stream records discarded because they belong to another attempt or repeat a token.",
    ),
    (TOKENS, "Tokens sent to callers."),
    (UPSTREAM_FAILURES, "Attempts that failed at a replica."),
    (LEDGER_WRITES, "Writes of ledger shards."),
    (LEDGER_OPS, "Operations on ledger entries."),
    (LEDGER_CONFLICTS, "Writes of ledger shards that another node's write superseded."),
    (LEDGER_FORWARDS, "Operations sent to the shard's preferred writer."),
];
