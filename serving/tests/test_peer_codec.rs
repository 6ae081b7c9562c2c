//! Tests of the encoding of messages between nodes.

use crate::test_node_table::heartbeat;
use guavaladder_serving::peer_codec::PeerCodecError;
use guavaladder_serving::peer_codec::PeerMessage;
use guavaladder_serving::peer_codec::decode;
use guavaladder_serving::peer_codec::encode;
use proptest::prelude::*;

const KEY: [u8; 32] = [7; 32];

#[test]
fn message_round_trips() {
    let message = encode(&PeerMessage::Beat(heartbeat("n2", 1, 2)), &KEY).unwrap();
    assert_eq!(decode(&message, &KEY).unwrap(), PeerMessage::Beat(heartbeat("n2", 1, 2)));
}

#[test]
fn message_with_another_key_is_rejected() {
    let message = encode(&PeerMessage::Beat(heartbeat("n2", 1, 2)), &[8; 32]).unwrap();
    assert_eq!(decode(&message, &KEY), Err(PeerCodecError::WrongTag));
    assert_eq!(decode(&message[..5], &KEY), Err(PeerCodecError::TooShort(5)));
}

proptest! {
    #[test]
    fn modified_message_is_rejected(at in 0usize..60, bit in 0u8..8) {
        let mut message = encode(&PeerMessage::Beat(heartbeat("n2", 1, 2)), &KEY).unwrap();
        let at = at % message.len();
        message[at] ^= 1 << bit;
        prop_assert_eq!(decode(&message, &KEY), Err(PeerCodecError::WrongTag));
    }
}
