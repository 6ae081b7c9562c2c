//! Serde support for durations serialized as an integer number of milliseconds.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use std::time::Duration;

/// Serializes a duration as milliseconds; fractions of a millisecond are truncated.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u64(value.as_millis() as u64)
}

/// Deserializes a duration from milliseconds.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// Serde support for optional durations.
pub mod optional {
    use super::Deserialize;
    use super::Deserializer;
    use super::Duration;
    use super::Serializer;

    /// Serializes an optional duration as milliseconds.
    pub fn serialize<S: Serializer>(
        value: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match value {
            Some(value) => serializer.serialize_some(&(value.as_millis() as u64)),
            None => serializer.serialize_none(),
        }
    }

    /// Deserializes an optional duration from milliseconds.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_millis))
    }
}
