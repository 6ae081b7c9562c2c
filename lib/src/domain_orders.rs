//! Selection and sending of a domain owner's orders to its instances.

use crate::domain_owner::DomainOwner;
use crate::domain_step::Facts;
use crate::domain_step::kind_of;
use crate::generated::config::FleetConfig;
use crate::generated::config::UpstreamKind;
use crate::generated::engine::MemberState;
use crate::generated::engine::OrderAction;
use crate::generated::groups::GroupRecord;
use crate::generated::groups::GroupState;
use crate::generated::platform::InstanceInfo;
use crate::group_orders::NeededOrder;
use crate::group_orders::breaks_routed_group;
use crate::group_orders::needed_orders;
use crate::group_verify::is_standby;
use crate::ids::InstanceId;
use crate::load_schedule;
use crate::order_sender::OrderOutcome;
use crate::planner_types::ServiceTarget;
use futures_util::future::join_all;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time within which routers stop sending requests to a group that the stored record no longer
/// lists as serving.
const MAX_ROUTING_LAG: Duration = Duration::from_secs(4);
/// Length of the time slots in which domains take turns to start loading a standby.
const STANDBY_SLOT: Duration = Duration::from_secs(10);

impl DomainOwner {
    /// Sends the orders that the record requires and returns their number.
    pub(crate) async fn send_orders(
        &mut self,
        facts: &Facts,
        targets: &[ServiceTarget],
        config: &FleetConfig,
        domain_instances: &[&InstanceInfo],
    ) -> usize {
        let mut needed = needed_orders(&self.record.groups, facts, targets, self.authority.epoch);
        needed
            .retain(|order| !breaks_routed_group(order, facts, |group| self.may_be_routed(group)));
        self.limit_standby_loads(&mut needed, facts, config.defaults.load_concurrency);
        let kinds: BTreeMap<&str, UpstreamKind> = domain_instances
            .iter()
            .map(|info| (info.instance.as_str(), kind_of(config, info)))
            .collect();
        self.add_fencing_orders(&mut needed, facts, &kinds);
        let sender = &self.sender;
        let authority = &self.authority;
        let sends = needed.iter().filter_map(|order| {
            let kind = kinds.get(order.instance.as_str())?;
            Some(sender.send(order, kind, authority))
        });
        let outcomes = join_all(sends).await;
        for (order, outcome) in needed.iter().zip(outcomes) {
            match (&order.action, outcome) {
                (_, OrderOutcome::Fenced(epoch)) if epoch > self.authority.epoch => {
                    return self.lose_to_newer_owner(epoch);
                }
                (OrderAction::Regroup(_), OrderOutcome::Refused(_)) => {
                    self.history.record_regroup_refusal(&order.instance);
                }
                _ => {}
            }
        }
        needed.len()
    }

    /// Returns whether a router may still send requests to a group according to the stored record.
    fn may_be_routed(&self, group: &str) -> bool {
        let since = self.stopped_serving.get(group).copied().unwrap_or(self.owned_since);
        self.stored_serving.contains(group) || self.now() < since + MAX_ROUTING_LAG
    }

    pub(crate) fn lose_to_newer_owner(&mut self, epoch: u64) -> usize {
        self.lose(&format!(
            "an instance has received orders from a newer owner with epoch {epoch}"
        ));
        0
    }

    /// Adds an order that carries only the fencing number for each responding instance that checks
    /// fencing numbers, does not know this owner's yet and gets no other order.
    pub(crate) fn add_fencing_orders(
        &self,
        needed: &mut Vec<NeededOrder>,
        facts: &Facts,
        kinds: &BTreeMap<&str, UpstreamKind>,
    ) {
        let ordered: BTreeSet<InstanceId> = needed.iter().map(|o| o.instance.clone()).collect();
        for (id, facts) in facts.iter().filter(|(_, facts)| facts.is_responding()) {
            let checks = kinds.get(id.as_str()).is_some_and(|kind| kind.checks_fencing);
            let knows =
                facts.report.as_ref().is_some_and(|r| r.highest_epoch >= self.authority.epoch);
            if checks && !knows && !ordered.contains(id) {
                needed.push(NeededOrder::fence(id, &facts.address));
            }
        }
    }

    /// Removes join orders so that at most one standby of the domain loads at a time, and only in
    /// the domain's turn.
    pub(crate) fn limit_standby_loads(
        &self,
        needed: &mut Vec<NeededOrder>,
        facts: &Facts,
        concurrency: u32,
    ) {
        let records = self.shared.records.all();
        let groups = || records.values().flat_map(|known| &known.record.groups);
        let is_loading =
            |g: &&GroupRecord| matches!(g.state, GroupState::Loading | GroupState::Reserved);
        let loading: u32 = groups().filter(is_loading).map(|group| group.loads).sum();
        let index = records.keys().position(|domain| *domain == self.domain).unwrap_or(0);
        let slot = self.shared.cx.clock.unix().as_secs() / STANDBY_SLOT.as_secs();
        let is_turn =
            load_schedule::may_load_standby(loading, concurrency, index, records.len(), slot);
        let is_busy = facts.values().any(|facts| {
            let is_loading = facts.state() == Some(MemberState::Loading);
            is_loading && facts.assignment().is_some_and(is_standby)
        });
        let mut may_load = is_turn && !is_busy;
        needed.retain(|order| match &order.action {
            OrderAction::Join(wanted) if is_standby(wanted) => std::mem::take(&mut may_load),
            _ => true,
        });
    }
}
