//! Polling of a domain's instances, the planner's facts about them, and the handling of a domain
//! in which no instance responds.

use crate::domain_owner::DomainOwner;
use crate::domain_step::Facts;
use crate::domain_targets::ActiveExceptions;
use crate::generated::events::Event;
use crate::generated::groups::GroupState;
use crate::generated::platform::InstanceInfo;
use crate::ids::InstanceId;
use crate::planner_types::MemberFacts;
use crate::planner_types::MemberHealth;
use futures_util::future::join_all;
use std::collections::BTreeSet;
use std::time::Duration;

/// Timeout for an instance's report.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between polls while every group serves and no instance is silent.
const STEADY_POLL_PERIOD: Duration = Duration::from_secs(3);
/// Time for which a domain must be unreachable before it is released, so that another node checks
/// it.
const UNREACHABLE_RELEASE_AFTER: Duration = Duration::from_secs(5);

impl DomainOwner {
    pub(crate) async fn poll(&mut self, domain_instances: &[&InstanceInfo]) {
        let engine = &self.shared.engine;
        let fetch_report = |info: &InstanceInfo| {
            let address = info.address.clone();
            async move { tokio::time::timeout(STATUS_TIMEOUT, engine.status(&address)).await }
        };
        let responses = join_all(domain_instances.iter().map(|info| fetch_report(info))).await;
        let now = self.now();
        let serving = self.serving_members();
        for (info, response) in domain_instances.iter().zip(responses) {
            let id = &info.instance;
            match response {
                Ok(Ok(report)) if report.instance == *id => {
                    self.history.record_report(id, report, serving.contains(id), now);
                }
                _ => self.history.record_missed_poll(id, now),
            }
        }
        let listed: BTreeSet<&str> =
            domain_instances.iter().map(|info| info.instance.as_str()).collect();
        self.history.retain(|id| listed.contains(id));
    }

    pub(crate) fn serving_members(&self) -> BTreeSet<InstanceId> {
        let serving = self.record.groups.iter().filter(|group| group.state == GroupState::Serving);
        serving.flat_map(|group| &group.members).map(|member| member.instance.clone()).collect()
    }

    pub(crate) fn facts(
        &self,
        domain_instances: &[&InstanceInfo],
        exceptions: &ActiveExceptions,
    ) -> Facts {
        let now = self.now();
        let fact = |info: &&InstanceInfo| {
            let id = &info.instance;
            let facts = MemberFacts {
                address: info.address.clone(),
                health: self.history.health(id, now),
                report: self.history.report(id).cloned(),
                accepts_groups: exceptions.accepts_groups(info),
                must_leave: exceptions.must_leave(info) || self.history.has_announced_leaving(id),
                lacks_weights: self.history.lacks_weights(id),
                pinned_to: exceptions.pinned.get(id).cloned(),
            };
            (id.clone(), facts)
        };
        domain_instances.iter().map(fact).collect()
    }

    /// Handles a domain in which no instance responds as one failure and returns whether planning
    /// is suspended.
    pub(crate) async fn handle_unreachable(&mut self, facts: &Facts) -> bool {
        let responding = facts.values().filter(|facts| facts.is_responding()).count();
        let is_unresponsive =
            |f: &MemberFacts| matches!(f.health, MemberHealth::Silent | MemberHealth::Lost);
        let is_unreachable = facts.len() > 1 && facts.values().all(is_unresponsive);
        let now = self.now();
        if !is_unreachable {
            if let Some(since) = self.unreachable_since.take() {
                self.was_found_unreachable = false;
                self.shared.cx.record(Event::DomainLit {
                    domain: self.domain.clone(),
                    node: self.shared.cx.node().to_string(),
                    answering: responding as u64,
                    dark_for: now.saturating_sub(since),
                });
            }
            return false;
        }
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(now);
            self.shared.cx.record(Event::DomainDark {
                domain: self.domain.clone(),
                node: self.shared.cx.node().to_string(),
                instances: facts.len() as u64,
            });
        }
        let has_others = self.shared.cx.members.usable().len() > 1;
        let unreachable_for = now.saturating_sub(self.unreachable_since.unwrap_or(now));
        if has_others && !self.was_found_unreachable {
            // Another node checks the domain before any group is changed, since the fault may be
            // limited to this node.
            if unreachable_for >= UNREACHABLE_RELEASE_AFTER {
                self.record.unavailable = facts.keys().cloned().collect();
                self.release("no instance responds").await;
            }
            return true;
        }
        self.suspend_groups(facts).await;
        true
    }

    /// Sets the serving groups of an unreachable domain to verifying; each serves again once its
    /// members report.
    pub(crate) async fn suspend_groups(&mut self, facts: &Facts) {
        let mut groups = self.record.groups.clone();
        let serving = groups.iter_mut().filter(|group| group.state == GroupState::Serving);
        serving.for_each(|group| group.state = GroupState::Verifying);
        let unavailable: Vec<InstanceId> = facts.keys().cloned().collect();
        if groups != self.record.groups || unavailable != self.record.unavailable {
            self.write(groups, unavailable).await;
        }
    }

    /// Schedules the next poll: at the next step while a change is in progress, otherwise after
    /// `STEADY_POLL_PERIOD`.
    pub(crate) fn schedule_poll(&mut self, facts: &Facts, sent: usize) {
        let is_stable = sent == 0
            && self.record.groups.iter().all(|group| group.state == GroupState::Serving)
            && facts.values().all(|facts| facts.health != MemberHealth::Silent);
        let period = if is_stable { STEADY_POLL_PERIOD } else { Duration::ZERO };
        self.next_poll = self.now() + period;
    }
}
