//! The owner's view of its instances: polls, facts for planning, and a domain that is dark.

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

/// Longest wait for an instance's report.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Period of polls while every group serves and every instance answers.
const STEADY_POLL_PERIOD: Duration = Duration::from_secs(3);
/// Time without any answer after which a domain is handed to another node to look at.
const DARK_HAND_OVER: Duration = Duration::from_secs(5);

impl DomainOwner {
    pub(crate) async fn poll(&mut self, own: &[&InstanceInfo]) {
        let engine = &self.shared.engine;
        let ask = |info: &InstanceInfo| {
            let address = info.address.clone();
            async move { tokio::time::timeout(STATUS_TIMEOUT, engine.status(&address)).await }
        };
        let answers = join_all(own.iter().map(|info| ask(info))).await;
        let now = self.now();
        let serving = self.serving_members();
        for (info, answer) in own.iter().zip(answers) {
            let id = &info.instance;
            match answer {
                Ok(Ok(report)) if report.instance == *id => {
                    self.history.answered(id, report, serving.contains(id), now);
                }
                _ => self.history.missed(id, now),
            }
        }
        let listed: BTreeSet<&str> = own.iter().map(|info| info.instance.as_str()).collect();
        self.history.retain(|id| listed.contains(id));
    }

    pub(crate) fn serving_members(&self) -> BTreeSet<InstanceId> {
        let serving = self.record.groups.iter().filter(|group| group.state == GroupState::Serving);
        serving.flat_map(|group| &group.members).map(|member| member.instance.clone()).collect()
    }

    pub(crate) fn facts(&self, own: &[&InstanceInfo], exceptions: &ActiveExceptions) -> Facts {
        let now = self.now();
        let fact = |info: &&InstanceInfo| {
            let id = &info.instance;
            let facts = MemberFacts {
                address: info.address.clone(),
                health: self.history.health(id, now),
                report: self.history.report(id).cloned(),
                takes_groups: exceptions.takes_groups(info),
                must_leave: exceptions.must_leave(info) || self.history.has_announced_leaving(id),
                lacks_weights: self.history.lacks_weights(id),
                pinned_to: exceptions.pinned.get(id).cloned(),
            };
            (id.clone(), facts)
        };
        own.iter().map(fact).collect()
    }

    /// Treats a domain without any answer as one event and tells whether planning is off.
    pub(crate) async fn handle_dark(&mut self, facts: &Facts) -> bool {
        let answering = facts.values().filter(|facts| facts.is_answering()).count();
        let is_unanswered =
            |f: &MemberFacts| matches!(f.health, MemberHealth::Silent | MemberHealth::Lost);
        let is_dark = facts.len() > 1 && facts.values().all(is_unanswered);
        let now = self.now();
        if !is_dark {
            if let Some(since) = self.dark_since.take() {
                self.was_found_dark = false;
                self.shared.cx.record(Event::DomainLit {
                    domain: self.domain.clone(),
                    node: self.shared.cx.node().to_string(),
                    answering: answering as u64,
                    dark_for: now.saturating_sub(since),
                });
            }
            return false;
        }
        if self.dark_since.is_none() {
            self.dark_since = Some(now);
            self.shared.cx.record(Event::DomainDark {
                domain: self.domain.clone(),
                node: self.shared.cx.node().to_string(),
                instances: facts.len() as u64,
            });
        }
        let has_others = self.shared.cx.members.usable().len() > 1;
        let dark_for = now.saturating_sub(self.dark_since.unwrap_or(now));
        if has_others && !self.was_found_dark {
            // A second node looks before anything is changed: the fault may be on this side only.
            if dark_for >= DARK_HAND_OVER {
                self.record.unavailable = facts.keys().cloned().collect();
                self.hand_back("no instance answers").await;
            }
            return true;
        }
        self.suspend_groups(facts).await;
        true
    }

    /// Marks the serving groups of a dark domain as unverified; they serve again as they report.
    pub(crate) async fn suspend_groups(&mut self, facts: &Facts) {
        let mut groups = self.record.groups.clone();
        let serving = groups.iter_mut().filter(|group| group.state == GroupState::Serving);
        serving.for_each(|group| group.state = GroupState::Verifying);
        let unavailable: Vec<InstanceId> = facts.keys().cloned().collect();
        if groups != self.record.groups || unavailable != self.record.unavailable {
            self.write(groups, unavailable).await;
        }
    }

    /// Polls sooner while something is on its way.
    pub(crate) fn schedule_poll(&mut self, facts: &Facts, sent: usize) {
        let is_settled = sent == 0
            && self.record.groups.iter().all(|group| group.state == GroupState::Serving)
            && facts.values().all(|facts| facts.health != MemberHealth::Silent);
        let period = if is_settled { STEADY_POLL_PERIOD } else { Duration::ZERO };
        self.next_poll = self.now() + period;
    }
}
