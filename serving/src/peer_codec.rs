//! Encoding of the messages between nodes: an authentication tag, then the content as postcard.
//!
//! The tag is the truncated BLAKE3 hash of the content, keyed with the fleet key.

use crate::cold_instances::ColdNews;
use crate::crash_sync::CrashMessage;
use crate::customer_use::UseReport;
use crate::evacuations::EvacuationNews;
use crate::fleet_retries::RetryNews;
use crate::instance_list_delta::InstanceListDelta;
use crate::list_parts::ListPart;
use crate::list_parts::ListRequest;
use crate::model_demand::DemandNews;
use crate::rate_limits::RateNews;
use crate::store_era::Era;
use guavaladder_lib::generated::serving_peer::NodeBeat;
use guavaladder_proc_macros::common_derives;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Length of the authentication tag in bytes.
const TAG_LEN: usize = 16;
/// Maximum length of a message in bytes, such that it fits one UDP datagram.
pub const MAX_MESSAGE_LEN: usize = 60_000;

/// Key that authenticates the messages between nodes.
pub type PeerKey = [u8; 32];

/// Message between nodes.
#[common_derives]
pub enum PeerMessage {
    /// Heartbeat with the sender's full current state.
    Beat(NodeBeat),
    /// Changes of the instance list.
    News(InstanceListDelta),
    /// Message about requests with repeated crashes.
    Crashes(CrashMessage),
    /// Rates that instances name.
    Rates(Vec<RateNews>),
    /// Whether the sender reaches instances.
    Reach(ReachNews),
    /// Era of the store that the sender knows. A node of a build without it drops the message, and counts as
    /// one of the same era.
    Era(EraNews),
    /// Evacuated data centres.
    Evacuations(EvacuationNews),
    /// One part of changes of the instance list.
    NewsPart(ListPart),
    /// Request for changes of the instance list that did not arrive.
    NewsRequest(ListRequest),
    /// That the sender understands the two messages before and those that follow. A node of a build without them
    /// does not send it.
    Abilities(AbilityNews),
    /// What the customers use of the models that are scarce.
    CustomerUse(UseReport),
    /// How long instances stay cold.
    Cold(Vec<ColdNews>),
    /// Demand for the models of measured services that the sender has counted.
    Demand(DemandNews),
    /// What the sender has used of the retry budgets.
    Retries(RetryNews),
}

/// That a run of a node understands the messages for large fleets.
#[common_derives(Eq)]
pub struct AbilityNews {
    /// Id of the sending node.
    pub node: String,
    /// Incarnation of its run.
    pub incarnation: u64,
    /// Highest level of messages that it understands: 1 for parts of changes, 2 also for bundles.
    pub level: u32,
}

/// Era of the store that a node knows, to which the revisions in its other messages belong.
#[common_derives(Eq)]
pub struct EraNews {
    /// Id of the sending node.
    pub node: String,
    /// Era that it knows.
    pub era: Era,
}

/// Whether a node reaches instances. Sent in each heartbeat period while it does not, and for a while after.
#[common_derives(Eq)]
pub struct ReachNews {
    /// Id of the sending node.
    pub node: String,
    /// Whether it reaches no instance.
    pub is_cut: bool,
}

/// Handle to the key for messages between nodes. It changes if the store loses it and another node writes
/// another one first.
#[derive(Debug, Clone, Default)]
pub struct FleetKey {
    keys: Arc<Mutex<Keys>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Keys {
    current: Option<PeerKey>,
    /// Key before the last change, which other nodes may still use.
    previous: Option<PeerKey>,
}

impl FleetKey {
    /// Creates the state of a node that does not know the key yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key, once it is known.
    pub fn get(&self) -> Option<PeerKey> {
        self.lock().current
    }

    /// Sets the key. Messages with the one before are still accepted.
    pub fn set(&self, key: PeerKey) {
        let mut keys = self.lock();
        if keys.current != Some(key) {
            *keys = Keys { current: Some(key), previous: keys.current };
        }
    }

    /// Verifies the tag of a message and decodes its content.
    pub fn decode(&self, message: &[u8]) -> Result<PeerMessage, PeerCodecError> {
        let keys = *self.lock();
        let with_previous = || keys.previous.map(|key| decode(message, &key));
        match keys.current.map(|key| decode(message, &key)) {
            Some(Err(PeerCodecError::WrongTag)) | None => {
                with_previous().unwrap_or(Err(PeerCodecError::WrongTag))
            }
            Some(decoded) => decoded,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Keys> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Errors of encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerCodecError {
    /// The message is shorter than a tag.
    #[error("the message has {0} bytes, which is shorter than the tag")]
    TooShort(usize),
    /// The tag does not match the content and the key.
    #[error("the tag does not match the content and the fleet key")]
    WrongTag,
    /// The content is not valid postcard.
    #[error("cannot decode the content: {0}")]
    Undecodable(#[from] postcard::Error),
}

/// Encodes a message and prepends its tag.
pub fn encode(message: &PeerMessage, key: &PeerKey) -> Result<Vec<u8>, PeerCodecError> {
    let content = postcard::to_stdvec(message)?;
    let mut bytes = Vec::with_capacity(TAG_LEN + content.len());
    bytes.extend_from_slice(&tag(&content, key));
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Verifies the tag of a message and decodes its content.
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
