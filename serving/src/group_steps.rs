//! Execution of the steps of group control, each as a sequence of orders and reports.

use crate::fleet_config::Engine;
use crate::group_plan::PlanStep;
use crate::instance::DrainMode;
use crate::instance::EngineStatus;
use crate::instance::GroupEpoch;
use crate::instance::GroupName;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance::InstanceReport;
use crate::instance::Membership;
use crate::instance::MembershipState;
use crate::instance::OrderKind;
use crate::order_client;
use crate::order_client::AcceptedOrders;
use crate::order_client::Confirmation;
use crate::order_client::MAX_REPORT_AGE;
use crate::order_client::OrderError;
use crate::order_client::OrderTarget;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Duration of a join when the member's last group had the same model, according to the platform's
/// documentation.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Interval at which members are polled until they are ready.
const READY_POLL_PERIOD: Duration = Duration::from_millis(70);
/// Interval at which members are polled while weights are loaded.
const LOAD_POLL_PERIOD: Duration = Duration::from_millis(500);
/// Multiple of the expected join time after which an assembly or a load is abandoned.
const MAX_JOIN_FACTOR: u32 = 12;
/// Time that is added to that multiple for joins.
const JOIN_SLACK: Duration = Duration::from_secs(2);
/// Maximum time for which a closing group may finish its requests.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval at which a closing head is polled until it has finished.
const CLOSE_POLL_PERIOD: Duration = Duration::from_millis(200);
/// Time beyond the engine's open delay within which the head must report that it is open.
const OPEN_SLACK: Duration = Duration::from_millis(1500);

/// Result of a step.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Instances that were reserved for the step.
    pub reserved: Vec<InstanceId>,
    /// Number of weight loads that were counted for the step.
    pub loads: usize,
    /// Status that instances reported last.
    pub reported_status: Vec<(InstanceId, EngineStatus)>,
    /// Instances that did not respond, or were not ready in time.
    pub unresponsive: Vec<InstanceId>,
    /// Orders that instances have accepted, as far as known from responses and reports.
    pub accepted: Vec<(InstanceId, AcceptedOrders)>,
    /// Group whose head has left, so that its members are free.
    pub dissolved: Option<(GroupName, GroupEpoch)>,
}

/// What this lease holder knows about a step's instances from its own orders.
#[derive(Debug, Default)]
pub struct KnownState {
    /// Orders that the instances have accepted.
    pub accepted: HashMap<InstanceId, AcceptedOrders>,
    /// Groups of these instances whose head has left, so that the members are free.
    pub dissolved: BTreeSet<(GroupName, GroupEpoch)>,
}

/// A group to be assembled.
#[derive(Debug)]
struct Assembly {
    model: String,
    domain: String,
    /// Members, the head first.
    members: Vec<Instance>,
    /// Number of members that have to load weights.
    loads: usize,
    reason: String,
}

impl Assembly {
    fn ids(&self) -> Vec<InstanceId> {
        self.members.iter().map(|member| member.id.clone()).collect()
    }
}

/// Why a step failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum StepError {
    /// An order failed.
    #[error("{member}: {error}")]
    Order {
        /// Instance that the order was for.
        member: InstanceId,
        /// Why it could not be delivered.
        error: OrderError,
    },
    /// A member was not ready in time.
    #[error("{0} was not ready in time")]
    NotReady(InstanceId),
    /// A member is not in the group at the expected epoch and rank.
    #[error("{0} reports another group, epoch or rank")]
    WrongMembership(InstanceId),
    /// The lease has expired.
    #[error("the lease has expired")]
    NoLease,
}

/// Executes a step and returns its outcome.
pub async fn execute(
    cx: &ServingCx,
    engine: &Engine,
    step: PlanStep,
    instances: Vec<Instance>,
    known: KnownState,
) -> StepOutcome {
    let mut executor = StepExecutor { cx, engine, known, outcome: StepOutcome::default() };
    executor.outcome.reserved = step.instances().to_vec();
    let targets: Vec<OrderTarget> = instances.iter().map(|i| executor.target(i)).collect();
    match step {
        PlanStep::Dissolve { group, epoch, head, is_graceful, reason, .. } => {
            executor.dissolve(group, epoch, head, is_graceful, reason, &instances).await;
        }
        PlanStep::Open { group, epoch, .. } => {
            let started = Instant::now();
            let opened = executor.open(&group, epoch, targets).await;
            executor.record_assembly(&group, opened, started);
        }
        PlanStep::Assemble { model, domain, loads, reason, .. } => {
            executor.outcome.loads = loads;
            let members = instances;
            executor.assemble(Assembly { model, domain, members, loads, reason }).await;
        }
        PlanStep::Stage { model, .. } => {
            executor.outcome.loads = 1;
            if let Some(target) = targets.into_iter().next() {
                executor.stage(model, target).await;
            }
        }
    }
    executor.outcome
}

struct StepExecutor<'a> {
    cx: &'a ServingCx,
    engine: &'a Engine,
    known: KnownState,
    outcome: StepOutcome,
}

impl StepExecutor<'_> {
    fn target(&self, instance: &Instance) -> OrderTarget {
        let accepted = self.known.accepted.get(&instance.id).copied();
        let accepted = accepted.filter(|known| known.born_ms == instance.engine.born_ms);
        OrderTarget { id: instance.id.clone(), address: instance.address, accepted }
    }

    /// Records the orders that an instance has accepted.
    fn record_accepted(&mut self, target: &OrderTarget) {
        if let Some(accepted) = target.accepted {
            self.known.accepted.insert(target.id.clone(), accepted);
            self.outcome.accepted.push((target.id.clone(), accepted));
        }
    }

    /// Stops a group from serving, after its requests have finished if this is graceful. When the head
    /// does not leave, the other members are ordered to leave.
    async fn dissolve(
        &mut self,
        group: GroupName,
        epoch: GroupEpoch,
        head: Option<InstanceId>,
        is_graceful: bool,
        reason: String,
        members: &[Instance],
    ) {
        let started = Instant::now();
        let known_head = members.iter().find(|member| Some(&member.id) == head.as_ref());
        if let Some(head) = known_head.filter(|_| is_graceful) {
            let mut head = self.target(head);
            self.finish_requests(&group, epoch, &mut head).await;
            self.record_accepted(&head);
        }
        let head_left = match known_head {
            Some(head) => self.leave(&group, epoch, &[head]).await == 1,
            None => false,
        };
        let outcome = if head_left {
            "the head left".to_string()
        } else {
            let others = members.iter().filter(|member| Some(&member.id) != head.as_ref());
            let others: Vec<&Instance> = others.collect();
            let left = self.leave(&group, epoch, &others).await;
            format!("{left} of {} members left", others.len())
        };
        // A head that did not leave may continue to serve once it responds again.
        if head_left {
            self.outcome.dissolved = Some((group.clone(), epoch));
        }
        let took = started.elapsed();
        self.cx.log.record(Event::GroupDissolved { group, reason, outcome, took });
    }

    /// Orders members to leave a group and returns how many did.
    async fn leave(&mut self, group: &str, epoch: GroupEpoch, members: &[&Instance]) -> usize {
        let mut orders = JoinSet::new();
        for (index, member) in members.iter().enumerate() {
            let mut target = self.target(member);
            let (cx, group) = (self.cx.clone(), group.to_string());
            orders.spawn(async move {
                let leave = OrderKind::Leave { group: group.clone(), epoch };
                let has_left =
                    |report: &InstanceReport| !order_client::is_member_of(report, &group, epoch);
                let confirmation =
                    order_client::deliver(&cx, &mut target, &leave, None, has_left).await;
                (index, target, confirmation)
            });
        }
        let mut left = 0;
        while let Some(Ok((index, target, confirmation))) = orders.join_next().await {
            self.record_accepted(&target);
            let member = members[index];
            match confirmation {
                // Reports lag, so a report right after the member left may still show the group.
                Ok(Confirmation::Accepted) => {
                    let status = EngineStatus { membership: None, ..member.engine.clone() };
                    self.outcome.reported_status.push((member.id.clone(), status));
                    left += 1;
                }
                // It had left the group before, and may be in another one.
                Ok(Confirmation::Reported(report)) => {
                    self.record_report(&member.id, &report);
                    left += 1;
                }
                Err(_) => self.outcome.unresponsive.push(member.id.clone()),
            }
        }
        left
    }

    /// Closes a group and waits until it has finished its requests.
    async fn finish_requests(&mut self, group: &str, epoch: GroupEpoch, head: &mut OrderTarget) {
        let mode = DrainMode::Finish;
        let close = OrderKind::Close { group: group.to_string(), epoch, mode };
        let is_open = |report: &InstanceReport| {
            order_client::is_member_of(report, group, epoch)
                && state(report) == Some(MembershipState::Open)
        };
        if let Err(e) = order_client::deliver(self.cx, head, &close, None, |r| !is_open(r)).await {
            return log::info!("could not close group {group}: {e}");
        }
        let started = Instant::now();
        while started.elapsed() < CLOSE_TIMEOUT {
            sleep(CLOSE_POLL_PERIOD).await;
            match order_client::report(self.cx, head).await {
                Ok(report) if state(&report) == Some(MembershipState::Closing) => {}
                // The report may be older than the order to close.
                Ok(report) if is_open(&report) && started.elapsed() < MAX_REPORT_AGE * 2 => {}
                _ => return,
            }
        }
    }

    /// Assembles a group and opens it.
    async fn assemble(&mut self, assembly: Assembly) {
        let started = Instant::now();
        let Some(epoch) = self.cx.lease.next_epoch() else { return };
        let group = format!("{}-{epoch}", assembly.model);
        self.cx.log.record(Event::AssemblyStarted {
            group: group.clone(),
            model: assembly.model.clone(),
            domain: assembly.domain.clone(),
            members: assembly.ids().join(","),
            loads: assembly.loads as u64,
            reason: assembly.reason.clone(),
        });
        let result = self.join_and_open(&group, epoch, &assembly).await;
        self.record_assembly(&group, result, started);
    }

    fn record_assembly(&mut self, group: &str, result: Result<(), StepError>, started: Instant) {
        let outcome = match &result {
            Ok(()) => "open".to_string(),
            Err(e) => e.to_string(),
        };
        if let Err(StepError::Order { member, error }) = &result
            && matches!(error, OrderError::Unresponsive(_) | OrderError::Ended(_))
        {
            self.outcome.unresponsive.push(member.clone());
        }
        if let Err(StepError::NotReady(member)) = result {
            self.outcome.unresponsive.push(member);
        }
        let (group, took) = (group.to_string(), started.elapsed());
        self.cx.log.record(Event::AssemblyFinished { group, outcome, took });
    }

    async fn join_and_open(
        &mut self,
        group: &str,
        epoch: GroupEpoch,
        assembly: &Assembly,
    ) -> Result<(), StepError> {
        let members = assembly.ids();
        let join = OrderKind::Join {
            group: group.to_string(),
            epoch,
            model: assembly.model.clone(),
            members: members.clone(),
        };
        let mut joins = JoinSet::new();
        for member in &assembly.members {
            let (cx, join, group) = (self.cx.clone(), join.clone(), group.to_string());
            let (mut target, last_known) = (self.target(member), member.engine.membership.clone());
            let last_group = last_known.as_ref().map(Membership::group_and_epoch);
            let is_free = last_group.is_none_or(|group| self.known.dissolved.contains(&group));
            joins.spawn(async move {
                let last_known = LastKnownMembership { membership: last_known, is_free };
                let confirmation =
                    join_member(&cx, &mut target, &join, &group, epoch, last_known).await;
                (target, confirmation)
            });
        }
        let mut joined = vec![];
        let mut failure = None;
        while let Some(Ok((mut target, confirmation))) = joins.join_next().await {
            self.record_accepted(&target);
            match confirmation {
                Ok(_) => joined.push(target),
                Err(error) => {
                    if matches!(error, OrderError::UnexpectedGroup(_))
                        && let Ok(report) = order_client::report(self.cx, &mut target).await
                    {
                        self.record_report(&target.id, &report);
                    }
                    failure = Some(StepError::Order { member: target.id, error });
                }
            }
        }
        if let Some(failure) = failure {
            return Err(failure);
        }
        let expected = self.min_join_time(&assembly.model, assembly.loads);
        joined.sort_by_key(|target| members.iter().position(|id| *id == target.id));
        self.wait_until_ready(group, epoch, &mut joined, expected, assembly.loads > 0).await?;
        self.open(group, epoch, joined).await
    }

    /// Returns the minimum time that a join takes.
    fn min_join_time(&self, model: &str, loads: usize) -> Duration {
        let model = self.engine.model(model);
        match (model, loads) {
            (Some(model), 1..) => model.load_time / 10,
            _ => REJOIN_TIME,
        }
    }

    /// Polls the members until each reports that it is ready at its rank in the group.
    async fn wait_until_ready(
        &mut self,
        group: &str,
        epoch: GroupEpoch,
        members: &mut [OrderTarget],
        expected: Duration,
        has_loads: bool,
    ) -> Result<(), StepError> {
        let started = Instant::now();
        let timeout = expected.max(self.longest_warm_time()) * MAX_JOIN_FACTOR + JOIN_SLACK;
        sleep(expected).await;
        for (rank, member) in members.iter_mut().enumerate() {
            loop {
                let report = order_client::report(self.cx, member).await;
                let id = member.id.clone();
                let report = report.map_err(|error| StepError::Order { member: id, error })?;
                self.record_report(&member.id, &report);
                let membership = report.engine.membership.as_ref();
                let is_in_group = membership
                    .is_some_and(|m| m.group == group && m.epoch == epoch && m.rank == rank);
                let may_be_old = started.elapsed() < MAX_REPORT_AGE * 2;
                match state(&report) {
                    _ if !is_in_group && may_be_old => {}
                    _ if !is_in_group => return Err(StepError::WrongMembership(member.id.clone())),
                    Some(MembershipState::Ready | MembershipState::Open) => break,
                    Some(MembershipState::Joining) if started.elapsed() < timeout => {}
                    _ => return Err(StepError::NotReady(member.id.clone())),
                }
                if self.cx.lease.term().is_none() {
                    return Err(StepError::NoLease);
                }
                sleep(if has_loads { LOAD_POLL_PERIOD } else { READY_POLL_PERIOD }).await;
            }
        }
        Ok(())
    }

    fn longest_warm_time(&self) -> Duration {
        self.engine.models.iter().map(|model| model.warm_time).max().unwrap_or_default()
    }

    /// Orders the head to open the group and waits until it has. All members must have reported that they
    /// are ready.
    async fn open(
        &mut self,
        group: &str,
        epoch: GroupEpoch,
        members: Vec<OrderTarget>,
    ) -> Result<(), StepError> {
        let Some(mut head) = members.into_iter().next() else { return Ok(()) };
        let order = OrderKind::Open { group: group.to_string(), epoch };
        let is_open = |report: &InstanceReport| {
            order_client::is_member_of(report, group, epoch)
                && state(report) == Some(MembershipState::Open)
        };
        let opened = order_client::deliver(self.cx, &mut head, &order, None, is_open).await;
        self.record_accepted(&head);
        opened.map_err(|error| StepError::Order { member: head.id.clone(), error })?;
        let started = Instant::now();
        sleep(self.engine.open_delay).await;
        while started.elapsed() < self.engine.open_delay + OPEN_SLACK {
            if let Ok(report) = order_client::report(self.cx, &mut head).await {
                self.record_report(&head.id, &report);
                if is_open(&report) {
                    return Ok(());
                }
            }
            sleep(READY_POLL_PERIOD).await;
        }
        Err(StepError::NotReady(head.id))
    }

    /// Loads weights onto an instance's host and waits until they are staged.
    async fn stage(&mut self, model: String, mut target: OrderTarget) {
        let order = OrderKind::Stage { model: model.clone() };
        let is_staged = |report: &InstanceReport| report.engine.staged.contains(&model);
        // An earlier lease holder may have ordered a load, which a second load would slow down.
        let is_busy = order_client::report(self.cx, &mut target).await.is_ok_and(|r| r.is_busy);
        let ordered = match is_busy {
            true => Ok(()),
            false => order_client::deliver(self.cx, &mut target, &order, None, is_staged)
                .await
                .map(|_| ()),
        };
        self.record_accepted(&target);
        let outcome = match &ordered {
            Ok(()) if is_busy => "under way".to_string(),
            Ok(()) => "begun".to_string(),
            Err(e) => e.to_string(),
        };
        let instance = target.id.clone();
        self.cx.log.record(Event::WeightsStaged { instance, model: model.clone(), outcome });
        if ordered.is_err() {
            self.outcome.unresponsive.push(target.id);
            return;
        }
        let load_time = self.engine.model(&model).map_or(Duration::ZERO, |m| m.load_time);
        let started = Instant::now();
        while started.elapsed() < load_time * MAX_JOIN_FACTOR {
            sleep(LOAD_POLL_PERIOD).await;
            // The instance updates its registry entry as soon as the weights are staged.
            let entry = self.cx.fleet.instance(&target.id);
            let Some(entry) = entry else { return };
            if entry.engine.staged.contains(&model) || self.cx.lease.term().is_none() {
                return;
            }
        }
    }

    /// Records the status that an instance has reported, in place of an earlier one.
    fn record_report(&mut self, id: &str, report: &InstanceReport) {
        self.outcome.reported_status.retain(|(known, _)| known != id);
        self.outcome.reported_status.push((id.to_string(), report.engine.clone()));
    }
}

/// Membership that an instance is expected to have.
struct LastKnownMembership {
    membership: Option<Membership>,
    /// Whether the instance is in no group, or in one whose head has left.
    is_free: bool,
}

/// Orders an instance to join a group. Unless it is known to be free, it has to leave its group first:
/// that group's head may be open, even if the order to open it got no response. When this lease holder
/// has not sent the instance an order yet, its report has to show the last known membership or none.
async fn join_member(
    cx: &ServingCx,
    target: &mut OrderTarget,
    join: &OrderKind,
    group: &str,
    epoch: GroupEpoch,
    last_known: LastKnownMembership,
) -> Result<Confirmation, OrderError> {
    let mut current = last_known.membership.clone().filter(|_| !last_known.is_free);
    if target.accepted.is_none() {
        let report = order_client::report(cx, target).await?;
        order_client::check_membership(&report, last_known.membership.as_ref())?;
        current = report.engine.membership;
    }
    if let Some(current) = current {
        let leave = OrderKind::Leave { group: current.group.clone(), epoch: current.epoch };
        let has_left = |report: &InstanceReport| {
            !order_client::is_member_of(report, &current.group, current.epoch)
        };
        let confirmation = order_client::deliver(cx, target, &leave, None, has_left).await?;
        if let Confirmation::Reported(report) = confirmation {
            order_client::check_membership(&report, None)?;
        }
    }
    let is_in_effect = |report: &InstanceReport| order_client::is_member_of(report, group, epoch);
    order_client::deliver(cx, target, join, last_known.membership.as_ref(), is_in_effect).await
}

fn state(report: &InstanceReport) -> Option<MembershipState> {
    report.engine.membership.as_ref().map(|membership| membership.state)
}
