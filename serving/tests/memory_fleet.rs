//! Test fixture: nodes that exchange messages within the test, without a network. The test decides which messages
//! arrive.

use crate::util::instance;
use guavaladder_lib::clock::Clock;
use guavaladder_platform::dialect::PlatformDialect;
use guavaladder_serving::fleet_view::EntryChange;
use guavaladder_serving::instance::Instance;
use guavaladder_serving::instance_list_delta::InstanceListDelta;
use guavaladder_serving::list_part_sync::Addressed;
use guavaladder_serving::network::Network;
use guavaladder_serving::peer_codec;
use guavaladder_serving::peer_codec::PeerMessage;
use guavaladder_serving::peer_exchange::HeartbeatHandler;
use guavaladder_serving::serving_cx::ServingCx;
use guavaladder_serving::serving_settings;
use serde_json::json;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// Data centres of the nodes, which are in turn in each of them.
pub const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
/// Key of the messages, whose lengths are counted.
const KEY: [u8; 32] = [7; 32];

/// A message between two nodes, given by their numbers.
pub struct Message<'a> {
    pub from: usize,
    pub to: usize,
    pub content: &'a PeerMessage,
}

/// Nodes of one fleet, whose tasks are not running.
pub struct MemoryFleet {
    pub nodes: Vec<HeartbeatHandler>,
    pub cxs: Vec<ServingCx>,
    by_address: HashMap<IpAddr, usize>,
    /// Bytes and datagrams that each node sent.
    pub sent: Vec<(usize, usize)>,
    /// Bytes that were sent between data centres.
    pub bytes_between: usize,
    /// Messages that arrived, without heartbeats, by receiver.
    pub received: Vec<usize>,
}

impl MemoryFleet {
    /// Returns nodes that know each other from the registry, and of which those whose number is not in `older` have
    /// stated their abilities.
    pub fn new(count: usize, older: &[usize]) -> Self {
        let address = |i: usize| IpAddr::from([10, 0, (i / 200) as u8, (i % 200 + 1) as u8]);
        let cxs: Vec<ServingCx> = (0..count).map(|i| cx(i, address(i))).collect();
        let registered: Vec<(String, IpAddr)> =
            (0..count).map(|i| (format!("n{i:03}"), address(i))).collect();
        for cx in &cxs {
            cx.nodes.set_registered(&registered);
        }
        let nodes = cxs.iter().cloned().map(HeartbeatHandler::new).collect();
        let by_address = (0..count).map(|i| (address(i), i)).collect();
        let (sent, received) = (vec![(0, 0); count], vec![0; count]);
        let mut fleet = Self { nodes, cxs, by_address, sent, bytes_between: 0, received };
        fleet.beat(|_| true);
        for i in (0..count).filter(|i| !older.contains(i)) {
            if let Some(news) = fleet.nodes[i].next_abilities() {
                for to in (0..count).filter(|to| *to != i) {
                    fleet.cxs[to].nodes.record_abilities(&news);
                }
            }
        }
        fleet.reset_counts();
        fleet
    }

    pub fn reset_counts(&mut self) {
        self.sent.fill((0, 0));
        self.received.fill(0);
        self.bytes_between = 0;
    }

    pub fn address(&self, node: usize) -> IpAddr {
        self.cxs[node].settings.callers.ip()
    }

    /// Sends a heartbeat of each node directly to all others.
    pub fn beat(&mut self, arrives: impl Fn(&Message<'_>) -> bool) {
        for from in 0..self.nodes.len() {
            let beat = PeerMessage::Beat(self.nodes[from].next_heartbeat());
            self.deliver(from, vec![(beat, self.cxs[from].nodes.addresses())], &arrives);
        }
    }

    /// Delivers messages, and those that their receivers send because of them.
    pub fn deliver(
        &mut self,
        from: usize,
        messages: Vec<Addressed>,
        arrives: &impl Fn(&Message<'_>) -> bool,
    ) {
        let mut queue: VecDeque<(usize, Addressed)> =
            messages.into_iter().map(|message| (from, message)).collect();
        while let Some((from, (content, receivers))) = queue.pop_front() {
            let len = peer_codec::encode(&content, &KEY).expect("a message").len();
            for address in receivers {
                let to = self.by_address[&address];
                self.sent[from].0 += len;
                self.sent[from].1 += 1;
                if self.data_centre(from) != self.data_centre(to) {
                    self.bytes_between += len;
                }
                if from == to || !arrives(&Message { from, to, content: &content }) {
                    continue;
                }
                let replies = self.receive(from, to, &content);
                queue.extend(replies.into_iter().map(|reply| (to, reply)));
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, content: &PeerMessage) -> Vec<Addressed> {
        let (node, from) = (&self.nodes[to], self.address(from));
        if !matches!(content, PeerMessage::Beat(_)) {
            self.received[to] += 1;
        }
        match content.clone() {
            PeerMessage::Beat(beat) => node.apply_heartbeat(from, beat),
            PeerMessage::News(delta) => node.apply_delta(from, delta),
            PeerMessage::NewsPart(part) => {
                return node.list_parts().apply_part(from, part).into_iter().collect();
            }
            PeerMessage::NewsRequest(req) => return node.list_parts().answer(from, &req),
            other => panic!("the fixture delivers no {other:?}"),
        }
        vec![]
    }

    pub fn data_centre(&self, node: usize) -> &str {
        &self.cxs[node].settings.data_centre
    }

    /// Sends changes that a node has read from its watch.
    pub fn send_change(
        &mut self,
        from: usize,
        delta: InstanceListDelta,
        arrives: impl Fn(&Message<'_>) -> bool,
    ) {
        let (at_once, parts) = self.nodes[from].list_parts().messages(delta.clone());
        self.cxs[from].fleet.apply_delta(delta, None, tokio::time::Instant::now());
        let all = at_once.into_iter().chain(parts.into_iter().flatten()).collect();
        self.deliver(from, all, &arrives);
    }

    /// Sends the requests that are due at all nodes.
    pub fn send_requests(&mut self, arrives: impl Fn(&Message<'_>) -> bool) {
        for from in 0..self.nodes.len() {
            let requests = self.nodes[from].list_parts().requests();
            self.deliver(from, requests, &arrives);
        }
    }

    /// Returns the numbers of the nodes whose list is not at a revision.
    pub fn behind(&self, revision: u64) -> Vec<usize> {
        let is_behind = |i: &usize| self.cxs[*i].fleet.sync_state().revision != revision;
        (0..self.cxs.len()).filter(is_behind).collect()
    }
}

fn cx(number: usize, address: IpAddr) -> ServingCx {
    let listen = |port: u16| format!("{address}:{port}");
    let settings = json!({
        "node": format!("n{number:03}"), "data_centre": DATA_CENTRES[number % 3],
        "peer_port": 7004, "store": "127.0.0.1:1",
        "listen": {
            "callers": listen(7001), "readiness": listen(7002), "directory": listen(7003),
        },
    });
    let settings = serving_settings::parse(&settings.to_string()).expect("valid settings");
    let clock = Clock::with_tokio_time(Duration::from_secs(1_700_000_000));
    let cx = ServingCx::new(settings, Arc::new(PlatformDialect::new()), clock, Network::Tcp);
    cx.fleet.replace_all(vec![], 100, None);
    cx
}

/// Returns an entry with all fields of a member of a group.
pub fn entry(number: usize) -> Instance {
    let mut entry = instance(&format!("i-{number:06}-0a1b2c3d"), "drafting");
    entry.engine.model = Some("large".to_string());
    entry.engine.staged = vec!["large".to_string(), "small".to_string()];
    entry.engine.domain = Some("d0".to_string());
    entry.engine.born_ms = 1_700_000_000_000;
    entry
}

/// Returns changes of `count` entries between two revisions.
pub fn change(from: u64, to: u64, count: usize) -> InstanceListDelta {
    let changes = (0..count).map(|i| EntryChange::Put(Box::new(entry(i)))).collect();
    InstanceListDelta { from, to, changes }
}
