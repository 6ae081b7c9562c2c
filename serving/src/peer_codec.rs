//! Encoding of the messages between nodes: postcard, with a tag by the fleet key before it.

use crate::instance_list_delta::InstanceListDelta;
use guavaladder_lib::generated::serving_peer::NodeBeat;
use guavaladder_proc_macros::common_derives;

/// Bytes of the tag.
const TAG_LEN: usize = 16;
/// Largest message, which fits one datagram.
pub const MAX_MESSAGE_LEN: usize = 60_000;

/// Key that authenticates the messages between nodes.
pub type PeerKey = [u8; 32];

/// A message between nodes.
#[common_derives]
pub enum PeerMessage {
    /// The sender's full current state.
    Beat(NodeBeat),
    /// Changes of the instance list.
    News(InstanceListDelta),
}

/// Errors of a received message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerCodecError {
    /// The message is shorter than its tag.
    #[error("the message has {0} bytes, fewer than its tag")]
    TooShort(usize),
    /// The tag does not fit.
    #[error("the tag does not fit the fleet key")]
    WrongTag,
    /// The content cannot be decoded.
    #[error("the content cannot be decoded: {0}")]
    Undecodable(#[from] postcard::Error),
}

/// Encodes a message.
pub fn encode(message: &PeerMessage, key: &PeerKey) -> Result<Vec<u8>, PeerCodecError> {
    let content = postcard::to_stdvec(message)?;
    let mut bytes = Vec::with_capacity(TAG_LEN + content.len());
    bytes.extend_from_slice(&tag(&content, key));
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Checks and decodes a message.
pub fn decode(message: &[u8], key: &PeerKey) -> Result<PeerMessage, PeerCodecError> {
    if message.len() < TAG_LEN {
        return Err(PeerCodecError::TooShort(message.len()));
    }
    let (found, content) = message.split_at(TAG_LEN);
    let is_equal = found.iter().zip(tag(content, key)).fold(0, |acc, (a, b)| acc | (a ^ b)) == 0;
    if !is_equal {
        return Err(PeerCodecError::WrongTag);
    }
    Ok(postcard::from_bytes(content)?)
}

fn tag(content: &[u8], key: &PeerKey) -> [u8; TAG_LEN] {
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&blake3::keyed_hash(key, content).as_bytes()[..TAG_LEN]);
    tag
}
