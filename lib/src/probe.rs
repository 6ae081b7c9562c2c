//! Failure detection: direct pings, indirect pings through witnesses, and suspicion.

use crate::election;
use crate::generated::peer::MemberHealth;
use crate::generated::peer::MemberRow;
use crate::generated::peer::PeerBody;
use crate::generated::peer::Probe;
use crate::generated::peer::WitnessRequest;
use crate::gossip::Gossiper;
use crate::gossip_state::Scope;
use crate::ids::Address;
use crate::member_view::Member;
use crate::member_view::MemberState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout of one ping.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of direct pings before witnesses are asked.
const PING_ATTEMPTS: usize = 2;
/// Timeout of the indirect pings through witnesses.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of witnesses that are asked.
const WITNESSES: usize = 3;
/// Fraction of the periods in which the address of a dead or unknown node is pinged as well.
const SEED_FRACTION: f64 = 0.1;

impl Gossiper {
    /// Pings the next node of the data centre, and at times an address not known to be of a live node.
    pub async fn probe_next(self: &Arc<Self>) {
        let members = self.cx.members.get();
        let own = self.cx.node();
        let data_centre = &self.cx.settings.data_centre;
        let is_candidate = |member: &&Member| {
            member.node != own
                && member.data_centre == *data_centre
                && member.state != MemberState::Dead
        };
        let candidates: Vec<&Member> = members.values().filter(is_candidate).collect();
        let is_alone = members.values().filter(|m| m.state == MemberState::Live).count() <= 1;
        if let Some(target) = self.next_target(candidates) {
            let gossiper = self.clone();
            tokio::spawn(async move { gossiper.probe(target).await });
        }
        if is_alone || self.random_fraction() < SEED_FRACTION {
            self.ping_seed().await;
        }
    }

    /// Pings a node on behalf of a peer; marks it as suspect too if it does not respond.
    pub fn handle_witness_request(self: &Arc<Self>, req: WitnessRequest, from: SocketAddr) {
        let gossiper = self.clone();
        tokio::spawn(async move {
            let Ok(to) = req.address.parse() else { return };
            if gossiper.responds_to_ping(&req.target, to).await {
                gossiper.send(from, PeerBody::WitnessReached(req.probe)).await;
            } else {
                gossiper.mark_suspect(&req.target);
            }
        });
    }

    /// Chooses a random node to ping, preferring suspects.
    ///
    /// A suspect is pinged by the nodes that rank highest for it, so that it learns of the suspicion
    /// and its witnesses confirm or drop it, without traffic from the whole data centre.
    fn next_target(&self, candidates: Vec<&Member>) -> Option<MemberRow> {
        let state = self.state();
        let own = self.cx.node();
        let live = || {
            candidates
                .iter()
                .filter(|member| member.state == MemberState::Live)
                .map(|member| member.node.as_str())
                .chain([own])
        };
        let is_assigned = |member: &&Member| {
            let row = state.table.get(&member.node);
            let is_suspect = row.is_some_and(|row| row.health == MemberHealth::Suspect);
            is_suspect
                && election::elect(&member.node, live(), WITNESSES + 1).iter().any(|w| w == own)
        };
        let suspects: Vec<&Member> = candidates.iter().copied().filter(is_assigned).collect();
        let from = if suspects.is_empty() { candidates.clone() } else { suspects };
        let chosen = self.choose(from, 1);
        chosen.first().and_then(|member| state.table.get(&member.node)).cloned()
    }

    /// Pings a node, then asks witnesses to ping it, and marks it as suspect if none reaches it.
    async fn probe(self: Arc<Self>, target: MemberRow) {
        let Ok(to) = target.peer_address.parse() else { return };
        if self.responds_to_ping(&target.node, to).await {
            return;
        }
        let (probe, ack) = self.link.register_probe();
        for witness in self.witnesses(&target.node) {
            let Ok(to) = witness.parse() else { continue };
            let address = target.peer_address.clone();
            let req = WitnessRequest { probe, target: target.node.clone(), address };
            self.send(to, PeerBody::WitnessRequest(req)).await;
        }
        if !self.wait_for_ack(probe, ack, WITNESS_TIMEOUT).await {
            self.mark_suspect(&target.node);
        }
    }

    async fn responds_to_ping(&self, node: &str, to: SocketAddr) -> bool {
        for _ in 0..PING_ATTEMPTS {
            let (probe, ack) = self.link.register_probe();
            let is_known_live =
                self.state().table.get(node).is_some_and(|row| row.health == MemberHealth::Live);
            let first = (!is_known_live).then_some(node);
            let gossip = self.build(&Scope::Local, first);
            self.send(to, PeerBody::Ping(Probe { probe, gossip })).await;
            if self.wait_for_ack(probe, ack, PING_TIMEOUT).await {
                return true;
            }
        }
        false
    }

    async fn wait_for_ack(&self, probe: u64, ack: oneshot::Receiver<()>, wait: Duration) -> bool {
        let is_acked = matches!(timeout(wait, ack).await, Ok(Ok(())));
        self.link.remove_probe(probe);
        is_acked
    }

    /// Returns the addresses of witnesses: live nodes of this data centre, then live nodes elsewhere.
    fn witnesses(&self, target: &str) -> Vec<Address> {
        let members = self.cx.members.get();
        let own = self.cx.node();
        let is_witness = |member: &&Member| {
            member.state == MemberState::Live && member.node != own && member.node != target
        };
        let (near, far): (Vec<&Member>, Vec<&Member>) = members
            .values()
            .filter(is_witness)
            .partition(|member| member.data_centre == self.cx.settings.data_centre);
        let mut chosen: Vec<Address> = vec![];
        for group in [near, far] {
            let nodes = group.iter().map(|member| member.node.as_str());
            let missing = WITNESSES.saturating_sub(chosen.len());
            for node in election::elect(target, nodes, missing) {
                chosen.extend(members.get(&node).map(|member| member.peer_address.clone()));
            }
        }
        chosen
    }

    /// Pings a random address that may belong to a node: from the settings, the instance list or the
    /// row of a node that is not live.
    async fn ping_seed(&self) {
        let members = self.cx.members.get();
        let mut addresses: Vec<Address> = self.cx.settings.peers.clone();
        let instances = self.cx.instances.get();
        let entries = instances
            .iter()
            .filter(|info| info.role == crate::generated::platform::InstanceRole::Entry);
        addresses.extend(entries.map(|info| info.address.clone()));
        addresses.extend(members.values().map(|member| member.peer_address.clone()));
        let is_known = |address: &Address| {
            members.values().any(|member| {
                let is_reachable =
                    member.state == MemberState::Live || member.state == MemberState::Leaving;
                is_reachable && member.peer_address == *address
            })
        };
        addresses.retain(|address| *address != self.cx.settings.peer_listen && !is_known(address));
        addresses.sort();
        addresses.dedup();
        if addresses.is_empty() {
            return;
        }
        let index = (self.random_fraction() * addresses.len() as f64) as usize;
        let Some(address) = addresses.get(index) else { return };
        let Ok(to) = address.parse() else { return };
        let dead = members.values().find(|member| member.peer_address == *address);
        let first = dead.map_or(self.cx.node(), |member| member.node.as_str());
        // The ack is not awaited: its gossip is merged when it arrives.
        let gossip = self.build(&Scope::Local, Some(first));
        self.send(to, PeerBody::Ping(Probe { probe: 0, gossip })).await;
    }
}
