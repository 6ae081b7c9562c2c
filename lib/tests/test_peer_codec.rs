//! Tests of the encoding of messages between nodes: malformed, outdated, forged and replayed messages.

use guavaladder_lib::facts::Fact;
use guavaladder_lib::facts::FactKind;
use guavaladder_lib::fleet_key::FleetKey;
use guavaladder_lib::fleet_key::FleetKeyError;
use guavaladder_lib::generated::peer::Gossip;
use guavaladder_lib::generated::peer::MemberHealth;
use guavaladder_lib::generated::peer::MemberRow;
use guavaladder_lib::generated::peer::MemberStamp;
use guavaladder_lib::generated::peer::ObjectStamp;
use guavaladder_lib::generated::peer::PeerBody;
use guavaladder_lib::generated::peer::PeerMessage;
use guavaladder_lib::generated::peer::PeerObject;
use guavaladder_lib::generated::peer::Probe;
use guavaladder_lib::generated::peer::PullReply;
use guavaladder_lib::generated::peer::PullRequest;
use guavaladder_lib::generated::peer::WitnessRequest;
use guavaladder_lib::peer_codec;
use guavaladder_lib::peer_codec::PeerCodecError;
use guavaladder_lib::replay_window::ReplayWindow;
use proptest::prelude::*;
use rstest::rstest;

const OLD_KEY: &str = "1111111111111111111111111111111111111111111111111111111111111111";
const NEW_KEY: &str = "2222222222222222222222222222222222222222222222222222222222222222";

fn key(text: &str) -> FleetKey {
    FleetKey::parse(text).unwrap()
}

fn gossip() -> Gossip {
    let row = MemberRow {
        node: "n1".to_string(),
        incarnation: 7,
        refutation: 1,
        health: MemberHealth::Suspect,
        leaving: false,
        accusers: vec!["n2".to_string()],
        data_centre: "dc1".to_string(),
        region: "r1".to_string(),
        peer_address: "10.0.0.1:1".to_string(),
        caller_address: "10.0.0.1:2".to_string(),
        operator_address: "10.0.0.1:3".to_string(),
    };
    let fact = Fact {
        node: "n1".to_string(),
        incarnation: 7,
        sequence: 3,
        kind: FactKind::NodeLoad,
        value: vec![1, 2],
    };
    Gossip {
        beats: vec![],
        members: vec![row],
        facts: vec![fact],
        objects: vec![stamp()],
        member_digest: 1,
        object_digest: 2,
    }
}

fn stamp() -> ObjectStamp {
    ObjectStamp { key: "config/current".to_string(), version: 9, content: 4, renewals: 0 }
}

/// One message of each kind.
fn bodies() -> Vec<PeerBody> {
    let probe = Probe { probe: 5, gossip: gossip() };
    let member = MemberStamp {
        node: "n1".to_string(),
        incarnation: 7,
        refutation: 1,
        health: MemberHealth::Live,
    };
    let object =
        PeerObject { key: "domains/d".to_string(), version: 3, value: Some("{}".to_string()) };
    vec![
        PeerBody::Ping(probe.clone()),
        PeerBody::Ack(probe),
        PeerBody::WitnessRequest(WitnessRequest {
            probe: 1,
            target: "n3".to_string(),
            address: "10.0.0.3:1".to_string(),
        }),
        PeerBody::WitnessReached(1),
        PeerBody::Spread(gossip()),
        PeerBody::PullRequest(PullRequest {
            members: vec![member],
            objects: vec![stamp()],
            keys: vec!["a".to_string()],
            facts: true,
            service_levels: false,
        }),
        PeerBody::PullReply(PullReply {
            members: gossip().members,
            objects: vec![object],
            facts: gossip().facts,
            service_levels: vec![1],
        }),
    ]
}

fn message(body: PeerBody) -> PeerMessage {
    PeerMessage { sender: "n1".to_string(), incarnation: 7, sequence: 8, body }
}

#[test]
fn encode_each_kind_round_trips() {
    let key = key(OLD_KEY);
    for body in bodies() {
        let message = message(body);
        let bytes = peer_codec::encode(&key, &message).unwrap();
        assert_eq!(peer_codec::decode(&key, &bytes), Ok(message));
    }
}

#[test]
fn decode_truncated() {
    let key = key(OLD_KEY);
    for body in bodies() {
        let bytes = peer_codec::encode(&key, &message(body)).unwrap();
        for len in 0..bytes.len() {
            assert!(peer_codec::decode(&key, &bytes[..len]).is_err());
        }
    }
}

#[test]
fn decode_unknown_version() {
    let key = key(OLD_KEY);
    let mut bytes = peer_codec::encode(&key, &message(bodies().remove(0))).unwrap();
    bytes[0] += 1;
    assert_eq!(peer_codec::decode(&key, &bytes), Err(PeerCodecError::UnknownVersion(bytes[0])));
}

#[rstest]
#[case::before(OLD_KEY, OLD_KEY, true)]
#[case::new_added(&format!("{OLD_KEY}\n{NEW_KEY}"), OLD_KEY, true)]
#[case::new_first(&format!("{NEW_KEY}\n{OLD_KEY}"), &format!("{OLD_KEY}\n{NEW_KEY}"), true)]
#[case::old_removed(NEW_KEY, &format!("{NEW_KEY}\n{OLD_KEY}"), true)]
#[case::wrong(NEW_KEY, OLD_KEY, false)]
fn decode_with_rotated_key(#[case] sender: &str, #[case] receiver: &str, #[case] accepted: bool) {
    let bytes = peer_codec::encode(&key(sender), &message(bodies().remove(0))).unwrap();
    let decoded = peer_codec::decode(&key(receiver), &bytes);
    assert_eq!(decoded.is_ok(), accepted);
    if !accepted {
        assert_eq!(decoded, Err(PeerCodecError::WrongKey));
    }
}

#[rstest]
#[case::empty("")]
#[case::short("11")]
#[case::not_hex(&"g".repeat(64))]
#[case::too_many(&[OLD_KEY; 5].join("\n"))]
fn parse_invalid_key_file(#[case] text: &str) {
    let error = FleetKey::parse(text).unwrap_err();
    assert!(matches!(error, FleetKeyError::InvalidKey { .. } | FleetKeyError::WrongCount { .. }));
}

#[test]
fn accept_rejects_only_replays() {
    let mut window = ReplayWindow::new();
    assert!(window.accept("n1", 1, 10));
    assert!(!window.accept("n1", 1, 10));
    assert!(window.accept("n1", 1, 300));
    assert!(window.accept("n1", 1, 299), "reordered, not replayed");
    assert!(!window.accept("n1", 1, 10), "below the window");
    assert!(window.accept("n1", 2, 0), "a new incarnation resets the window");
    assert!(!window.accept("n1", 1, 301), "an earlier incarnation is rejected");
    assert!(window.accept("n2", 1, 10));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decode_arbitrary(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        prop_assert!(peer_codec::decode(&key(OLD_KEY), &bytes).is_err());
    }

    /// An arbitrary body with a valid tag either decodes or fails, without a large allocation.
    #[test]
    fn decode_signed_arbitrary(body in prop::collection::vec(any::<u8>(), 0..600)) {
        let key = key(OLD_KEY);
        let mut signed = vec![peer_codec::PROTOCOL_VERSION];
        signed.extend_from_slice(&body);
        let mut bytes = vec![peer_codec::PROTOCOL_VERSION];
        bytes.extend_from_slice(&key.sign(&signed));
        bytes.extend_from_slice(&body);
        if let Ok(message) = peer_codec::decode(&key, &bytes) {
            let again = peer_codec::encode(&key, &message).unwrap();
            prop_assert!(again.len() <= bytes.len());
        }
    }

    #[test]
    fn decode_flipped_bit(kind in 0usize..7, at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let key = key(OLD_KEY);
        let mut bytes = peer_codec::encode(&key, &message(bodies().remove(kind))).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        prop_assert!(peer_codec::decode(&key, &bytes).is_err());
    }

    /// The replay window agrees with a model that stores all sequence numbers.
    #[test]
    fn accept_agrees_with_model(sequences in prop::collection::vec(0u64..400, 0..200)) {
        let mut window = ReplayWindow::new();
        let mut seen = std::collections::BTreeSet::new();
        for sequence in sequences {
            let highest = seen.last().copied().unwrap_or(0);
            let is_fresh = seen.insert(sequence) && sequence + 128 > highest;
            prop_assert_eq!(window.accept("n", 1, sequence), is_fresh);
        }
    }
}
