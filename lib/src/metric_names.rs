//! Stable names of the metrics; `docs/metrics.md` lists them.

/// Calls made to the platform's store.
pub const STORE_CALLS: &str = "store.calls";
/// Calls to the platform's store that had no answer.
pub const STORE_CALL_FAILURES: &str = "store.call_failures";
/// Calls to the platform's store that the queue shed.
pub const STORE_CALLS_SHED: &str = "store.calls_shed";

/// Orders sent to instances.
pub const GROUP_ORDERS: &str = "groups.orders";

/// Every metric name with its meaning.
pub const ALL: &[(&str, &str)] = &[
    (STORE_CALLS, "Calls made to the platform's store."),
    (STORE_CALL_FAILURES, "Calls to the platform's store that had no answer."),
    (STORE_CALLS_SHED, "Calls to the platform's store that the queue shed."),
    (GROUP_ORDERS, "Orders sent to instances."),
];
