//! The steps of group control, each written straight down.

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
use crate::order_client::Given;
use crate::order_client::OrderError;
use crate::order_client::OrderTarget;
use crate::order_client::REPORT_LAG;
use crate::serving_cx::ServingCx;
use guavaladder_lib::generated::events::Event;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time of a join whose model was that of the member's last group, by the platform's page.
const REJOIN_TIME: Duration = Duration::from_millis(200);
/// Period in which members are asked whether they are ready.
const READY_PERIOD: Duration = Duration::from_millis(70);
/// The same while weights are loaded.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// Factor on the expected time of a join after which an assembly is given up.
const MAX_JOIN_FACTOR: u32 = 12;
/// Time beyond that factor.
const JOIN_SLACK: Duration = Duration::from_secs(2);
/// Longest time in which a closing group finishes its requests.
const CLOSE_TIME: Duration = Duration::from_secs(8);
/// Period in which a closing head is asked whether it has finished.
const CLOSE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time from the order to open until the head tells that it is open, beyond its delay.
const OPEN_SLACK: Duration = Duration::from_millis(1500);

/// What a step came to.
#[derive(Debug, Default)]
pub struct StepOutcome {
    /// Instances that it involved.
    pub reserved: Vec<InstanceId>,
    /// Loads that it stood for.
    pub loads: usize,
    /// What instances said of themselves at the end.
    pub own_words: Vec<(InstanceId, EngineStatus)>,
    /// Instances that did not answer.
    pub silent: Vec<InstanceId>,
    /// Orders that instances have accepted, as far as known.
    pub accepted: Vec<(InstanceId, AcceptedOrders)>,
    /// Group that was dissolved.
    pub dissolved: Option<(GroupName, GroupEpoch)>,
}

/// What this holder of the lease knows of a step's instances by its own orders.
#[derive(Debug, Default)]
pub struct KnownState {
    /// Orders that they have accepted.
    pub accepted: HashMap<InstanceId, AcceptedOrders>,
    /// Groups among theirs whose head has left, so that their members are free.
    pub dissolved: BTreeSet<(GroupName, GroupEpoch)>,
}

/// A group to be assembled.
#[derive(Debug)]
struct Assembly {
    model: String,
    domain: String,
    /// Members, the head first.
    members: Vec<Instance>,
    /// Members that have to load weights.
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
        /// Instance.
        member: InstanceId,
        /// Error.
        error: OrderError,
    },
    /// A member was not ready in time.
    #[error("{0} was not ready in time")]
    NotReady(InstanceId),
    /// A member has another place.
    #[error("{0} took another place")]
    Misplaced(InstanceId),
    /// The lease has lapsed.
    #[error("the lease has lapsed")]
    NoLease,
}

/// Carries a step out.
pub async fn carry_out(
    cx: &ServingCx,
    engine: &Engine,
    step: PlanStep,
    instances: Vec<Instance>,
    known: KnownState,
) -> StepOutcome {
    let mut run = StepRun { cx, engine, known, outcome: StepOutcome::default() };
    run.outcome.reserved = step.instances().to_vec();
    let targets: Vec<OrderTarget> = instances.iter().map(|i| run.target(i)).collect();
    match step {
        PlanStep::Dissolve { group, epoch, head, is_graceful, reason, .. } => {
            run.dissolve(group, epoch, head, is_graceful, reason, &instances).await;
        }
        PlanStep::Open { group, epoch, .. } => {
            let started = Instant::now();
            let opened = run.open(&group, epoch, targets).await;
            run.note_assembly(&group, opened, started);
        }
        PlanStep::Assemble { model, domain, loads, reason, .. } => {
            run.outcome.loads = loads;
            let members = instances;
            run.assemble(Assembly { model, domain, members, loads, reason }).await;
        }
        PlanStep::Stage { model, .. } => {
            run.outcome.loads = 1;
            if let Some(target) = targets.into_iter().next() {
                run.stage(model, target).await;
            }
        }
    }
    run.outcome
}

struct StepRun<'a> {
    cx: &'a ServingCx,
    engine: &'a Engine,
    known: KnownState,
    outcome: StepOutcome,
}

impl StepRun<'_> {
    fn target(&self, instance: &Instance) -> OrderTarget {
        let accepted = self.known.accepted.get(&instance.id).copied();
        let accepted = accepted.filter(|known| known.born_ms == instance.engine.born_ms);
        OrderTarget { id: instance.id.clone(), address: instance.address, accepted }
    }

    /// Remembers the orders that an instance has accepted.
    fn remember(&mut self, target: &OrderTarget) {
        if let Some(accepted) = target.accepted {
            self.known.accepted.insert(target.id.clone(), accepted);
            self.outcome.accepted.push((target.id.clone(), accepted));
        }
    }

    /// Stops a group from serving.
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
            self.remember(&head);
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
        // A head that did not leave may still believe that it serves once it answers again.
        if head_left {
            self.outcome.dissolved = Some((group.clone(), epoch));
        }
        let took = started.elapsed();
        self.cx.log.record(Event::GroupDissolved { group, reason, outcome, took });
    }

    /// Orders members to leave a group; returns how many did.
    async fn leave(&mut self, group: &str, epoch: GroupEpoch, members: &[&Instance]) -> usize {
        let mut orders = JoinSet::new();
        for (index, member) in members.iter().enumerate() {
            let mut target = self.target(member);
            let (cx, group) = (self.cx.clone(), group.to_string());
            orders.spawn(async move {
                let leave = OrderKind::Leave { group: group.clone(), epoch };
                let has_left =
                    |report: &InstanceReport| !order_client::is_in(report, &group, epoch);
                let given = order_client::give(&cx, &mut target, &leave, None, has_left).await;
                (index, target, given)
            });
        }
        let mut left = 0;
        while let Some(Ok((index, target, given))) = orders.join_next().await {
            self.remember(&target);
            let member = members[index];
            match given {
                // Reports lag, so what a member says right after it left may be older than that.
                Ok(Given::Accepted) => {
                    let status = EngineStatus { membership: None, ..member.engine.clone() };
                    self.outcome.own_words.push((member.id.clone(), status));
                    left += 1;
                }
                // It was gone from the group before, and may be in another one.
                Ok(Given::Reported(report)) => {
                    self.hear(&member.id, &report);
                    left += 1;
                }
                Err(_) => self.outcome.silent.push(member.id.clone()),
            }
        }
        left
    }

    /// Lets a group finish its requests.
    async fn finish_requests(&mut self, group: &str, epoch: GroupEpoch, head: &mut OrderTarget) {
        let mode = DrainMode::Finish;
        let close = OrderKind::Close { group: group.to_string(), epoch, mode };
        let is_open = |report: &InstanceReport| {
            order_client::is_in(report, group, epoch)
                && state(report) == Some(MembershipState::Open)
        };
        if let Err(e) = order_client::give(self.cx, head, &close, None, |r| !is_open(r)).await {
            return log::info!("group {group} was not closed: {e}");
        }
        let started = Instant::now();
        while started.elapsed() < CLOSE_TIME {
            sleep(CLOSE_PERIOD).await;
            match order_client::report(self.cx, head).await {
                Ok(report) if state(&report) == Some(MembershipState::Closing) => {}
                // A report may be older than the order to close.
                Ok(report) if is_open(&report) && started.elapsed() < REPORT_LAG * 2 => {}
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
        self.note_assembly(&group, result, started);
    }

    fn note_assembly(&mut self, group: &str, result: Result<(), StepError>, started: Instant) {
        let outcome = match &result {
            Ok(()) => "open".to_string(),
            Err(e) => e.to_string(),
        };
        if let Err(StepError::Order { member, error }) = &result
            && matches!(error, OrderError::Silent(_) | OrderError::Ended(_))
        {
            self.outcome.silent.push(member.clone());
        }
        if let Err(StepError::NotReady(member)) = result {
            self.outcome.silent.push(member);
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
            let (mut target, believed) = (self.target(member), member.engine.membership.clone());
            let place = believed.as_ref().map(Membership::group_and_epoch);
            let is_free = place.is_none_or(|place| self.known.dissolved.contains(&place));
            joins.spawn(async move {
                let believed = Believed { place: believed, is_free };
                let given = join_member(&cx, &mut target, &join, &group, epoch, believed).await;
                (target, given)
            });
        }
        let mut joined = vec![];
        let mut failure = None;
        while let Some(Ok((mut target, given))) = joins.join_next().await {
            self.remember(&target);
            match given {
                Ok(_) => joined.push(target),
                Err(error) => {
                    if matches!(error, OrderError::Elsewhere(_))
                        && let Ok(report) = order_client::report(self.cx, &mut target).await
                    {
                        self.hear(&target.id, &report);
                    }
                    failure = Some(StepError::Order { member: target.id, error });
                }
            }
        }
        if let Some(failure) = failure {
            return Err(failure);
        }
        let expected = self.join_time(&assembly.model, assembly.loads);
        joined.sort_by_key(|target| members.iter().position(|id| *id == target.id));
        self.wait_until_ready(group, epoch, &mut joined, expected, assembly.loads > 0).await?;
        self.open(group, epoch, joined).await
    }

    /// Returns the shortest time that a join may take.
    fn join_time(&self, model: &str, loads: usize) -> Duration {
        let model = self.engine.model(model);
        match (model, loads) {
            (Some(model), 1..) => model.load_time / 10,
            _ => REJOIN_TIME,
        }
    }

    /// Asks the members until each has said that it is ready in its place.
    async fn wait_until_ready(
        &mut self,
        group: &str,
        epoch: GroupEpoch,
        members: &mut [OrderTarget],
        expected: Duration,
        has_loads: bool,
    ) -> Result<(), StepError> {
        let started = Instant::now();
        let longest = expected.max(self.longest_warm_time()) * MAX_JOIN_FACTOR + JOIN_SLACK;
        sleep(expected).await;
        for (rank, member) in members.iter_mut().enumerate() {
            loop {
                let report = order_client::report(self.cx, member).await;
                let id = member.id.clone();
                let report = report.map_err(|error| StepError::Order { member: id, error })?;
                self.hear(&member.id, &report);
                let place = report.engine.membership.as_ref();
                let is_placed =
                    place.is_some_and(|m| m.group == group && m.epoch == epoch && m.rank == rank);
                let may_be_old = started.elapsed() < REPORT_LAG * 2;
                match state(&report) {
                    _ if !is_placed && may_be_old => {}
                    _ if !is_placed => return Err(StepError::Misplaced(member.id.clone())),
                    Some(MembershipState::Ready | MembershipState::Open) => break,
                    Some(MembershipState::Joining) if started.elapsed() < longest => {}
                    _ => return Err(StepError::NotReady(member.id.clone())),
                }
                if self.cx.lease.term().is_none() {
                    return Err(StepError::NoLease);
                }
                sleep(if has_loads { LOAD_PERIOD } else { READY_PERIOD }).await;
            }
        }
        Ok(())
    }

    fn longest_warm_time(&self) -> Duration {
        self.engine.models.iter().map(|model| model.warm_time).max().unwrap_or_default()
    }

    /// Orders the head to serve; all members have said that they are ready.
    async fn open(
        &mut self,
        group: &str,
        epoch: GroupEpoch,
        members: Vec<OrderTarget>,
    ) -> Result<(), StepError> {
        let Some(mut head) = members.into_iter().next() else { return Ok(()) };
        let order = OrderKind::Open { group: group.to_string(), epoch };
        let is_open = |report: &InstanceReport| {
            order_client::is_in(report, group, epoch)
                && state(report) == Some(MembershipState::Open)
        };
        let opened = order_client::give(self.cx, &mut head, &order, None, is_open).await;
        self.remember(&head);
        opened.map_err(|error| StepError::Order { member: head.id.clone(), error })?;
        let started = Instant::now();
        sleep(self.engine.open_delay).await;
        while started.elapsed() < self.engine.open_delay + OPEN_SLACK {
            if let Ok(report) = order_client::report(self.cx, &mut head).await {
                self.hear(&head.id, &report);
                if is_open(&report) {
                    return Ok(());
                }
            }
            sleep(READY_PERIOD).await;
        }
        Err(StepError::NotReady(head.id))
    }

    /// Loads weights onto an instance's host and waits until they are there.
    async fn stage(&mut self, model: String, mut target: OrderTarget) {
        let order = OrderKind::Stage { model: model.clone() };
        let is_staged = |report: &InstanceReport| report.engine.staged.contains(&model);
        // An earlier holder of the lease may have ordered a load, which a second one would slow down.
        let is_busy = order_client::report(self.cx, &mut target).await.is_ok_and(|r| r.is_busy);
        let given = match is_busy {
            true => Ok(()),
            false => {
                order_client::give(self.cx, &mut target, &order, None, is_staged).await.map(|_| ())
            }
        };
        self.remember(&target);
        let outcome = match &given {
            Ok(()) if is_busy => "under way".to_string(),
            Ok(()) => "begun".to_string(),
            Err(e) => e.to_string(),
        };
        let instance = target.id.clone();
        self.cx.log.record(Event::WeightsStaged { instance, model: model.clone(), outcome });
        if given.is_err() {
            self.outcome.silent.push(target.id);
            return;
        }
        let load_time = self.engine.model(&model).map_or(Duration::ZERO, |m| m.load_time);
        let started = Instant::now();
        while started.elapsed() < load_time * MAX_JOIN_FACTOR {
            sleep(LOAD_PERIOD).await;
            // The instance registers anew as soon as its weights are there.
            let entry = self.cx.fleet.instance(&target.id);
            let Some(entry) = entry else { return };
            if entry.engine.staged.contains(&model) || self.cx.lease.term().is_none() {
                return;
            }
        }
    }

    fn hear(&mut self, id: &str, report: &InstanceReport) {
        self.outcome.own_words.retain(|(known, _)| known != id);
        self.outcome.own_words.push((id.to_string(), report.engine.clone()));
    }
}

/// Where an instance is believed to be.
struct Believed {
    place: Option<Membership>,
    /// Whether it is in no group, or in one whose head has left.
    is_free: bool,
}

/// Orders an instance to join a group. Unless it is known to be free it leaves its place first: the
/// head may be open, also when the order to open had no answer. Where this holder of the lease has
/// given it no order yet, its own report has to show the place that it is believed to have.
async fn join_member(
    cx: &ServingCx,
    target: &mut OrderTarget,
    join: &OrderKind,
    group: &str,
    epoch: GroupEpoch,
    believed: Believed,
) -> Result<Given, OrderError> {
    let mut place = believed.place.clone().filter(|_| !believed.is_free);
    if target.accepted.is_none() {
        let report = order_client::report(cx, target).await?;
        order_client::check_place(&report, believed.place.as_ref())?;
        place = report.engine.membership;
    }
    if let Some(place) = place {
        let leave = OrderKind::Leave { group: place.group.clone(), epoch: place.epoch };
        let has_left =
            |report: &InstanceReport| !order_client::is_in(report, &place.group, place.epoch);
        let given = order_client::give(cx, target, &leave, None, has_left).await?;
        if let Given::Reported(report) = given {
            order_client::check_place(&report, None)?;
        }
    }
    let holds = |report: &InstanceReport| order_client::is_in(report, group, epoch);
    order_client::give(cx, target, join, believed.place.as_ref(), holds).await
}

fn state(report: &InstanceReport) -> Option<MembershipState> {
    report.engine.membership.as_ref().map(|membership| membership.state)
}
