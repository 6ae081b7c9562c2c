//! Encoding and authentication of the messages between nodes.
//!
//! Layout: protocol version (1 byte), authentication tag over version and body (16 bytes), body as
//! `postcard`. A message of another version is refused before its body is decoded, since old and new
//! daemons run side by side during a rollout.

use crate::fleet_key::FleetKey;
use crate::fleet_key::TAG_BYTES;
use crate::generated::peer::PeerMessage;

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u8 = 1;
/// Number of bytes before the body.
const HEADER_BYTES: usize = 1 + TAG_BYTES;

/// Reasons to refuse a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerCodecError {
    /// The message is shorter than its header.
    #[error("message is truncated")]
    Truncated,
    /// The protocol version is not supported.
    #[error("protocol version {0} is unknown")]
    UnknownVersion(u8),
    /// The tag matches none of the fleet keys.
    #[error("tag does not match any fleet key")]
    WrongKey,
    /// The body cannot be decoded.
    #[error("body is malformed")]
    Malformed,
    /// The message was received before or is too old.
    #[error("message is replayed")]
    Replayed,
    /// The message cannot be encoded.
    #[error("message cannot be encoded")]
    Unencodable,
}

/// Encodes and signs a message.
pub fn encode(key: &FleetKey, message: &PeerMessage) -> Result<Vec<u8>, PeerCodecError> {
    let body = postcard::to_stdvec(message).map_err(|_| PeerCodecError::Unencodable)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&key.sign(&signed_bytes(PROTOCOL_VERSION, &body)));
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Verifies and decodes a message; the caller checks for replays.
pub fn decode(key: &FleetKey, bytes: &[u8]) -> Result<PeerMessage, PeerCodecError> {
    let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(PeerCodecError::Truncated)?;
    let version = header[0];
    if version != PROTOCOL_VERSION {
        return Err(PeerCodecError::UnknownVersion(version));
    }
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&header[1..]);
    if !key.verify(&signed_bytes(version, body), &tag) {
        return Err(PeerCodecError::WrongKey);
    }
    let (message, rest) = postcard::take_from_bytes(body).map_err(|_| PeerCodecError::Malformed)?;
    match rest {
        [] => Ok(message),
        _ => Err(PeerCodecError::Malformed),
    }
}

fn signed_bytes(version: u8, body: &[u8]) -> Vec<u8> {
    let mut signed = Vec::with_capacity(1 + body.len());
    signed.push(version);
    signed.extend_from_slice(body);
    signed
}
