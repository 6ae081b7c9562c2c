//! Carries the planned steps out while this node holds the lease on the groups.
//!
//! Each step is a task of its own that reserves its instances. What the instances say of themselves
//! while it runs is newer than their entries, and is remembered until the entries have followed.

use crate::fleet_config::Engine;
use crate::group_plan;
use crate::group_plan::PlanInput;
use crate::group_plan::PlanInstance;
use crate::group_plan::PlanStep;
use crate::group_steps;
use crate::group_steps::KnownState;
use crate::group_steps::StepOutcome;
use crate::instance::EngineStatus;
use crate::instance::GroupEpoch;
use crate::instance::GroupName;
use crate::instance::Instance;
use crate::instance::InstanceId;
use crate::instance::Membership;
use crate::instance::MembershipState;
use crate::key_hash::key_hash;
use crate::lapsed_members::LapsedMembers;
use crate::newcomers::Newcomers;
use crate::order_client;
use crate::order_client::AcceptedOrders;
use crate::replica_set::group_key;
use crate::serving_cx::ServingCx;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// Longest time from one plan to the next.
const PLAN_PERIOD: Duration = Duration::from_millis(100);
/// Time for which an instance that did not answer gets no place.
const SUSPECT_PERIOD: Duration = Duration::from_secs(5);
/// Time for which an instance's own words are weighed against an entry that changed after them.
const OWN_WORDS_PERIOD: Duration = Duration::from_secs(6);
/// Dissolved groups that are remembered.
const MAX_DISSOLVED: usize = 512;
/// Time in which an instance's entry follows a change of its state.
const ENTRY_LAG: Duration = Duration::from_millis(500);

/// Control of the groups on one node.
#[derive(Debug)]
pub struct GroupControl {
    cx: ServingCx,
    /// Term of the lease and when this node began to act on it.
    term: Option<(u64, Instant)>,
    /// Instances that a running step involves.
    reserved: HashSet<InstanceId>,
    /// What instances said of themselves, with the time.
    own_words: HashMap<InstanceId, (Instant, EngineStatus)>,
    /// Models that are being staged, by instance.
    staging: HashMap<InstanceId, String>,
    /// Orders that instances have accepted, as far as this node knows.
    accepted: HashMap<InstanceId, AcceptedOrders>,
    /// Groups that this node has dissolved.
    dissolved: BTreeSet<(GroupName, GroupEpoch)>,
    /// Instances that did not answer, with the time until which they get no place.
    suspects: HashMap<InstanceId, Instant>,
    newcomers: Newcomers,
    /// Groups that are being assembled or opened, as domain and model, by the head.
    assembling: HashMap<InstanceId, (String, String)>,
    loads_under_way: usize,
    /// Members whose entries were removed, and the questions to them.
    lapsed: LapsedMembers,
    questions: JoinSet<(InstanceId, bool)>,
    /// Steps under way, with the term in which each began.
    steps: JoinSet<(Option<u64>, StepOutcome)>,
}

impl GroupControl {
    /// Returns the control of a node that holds no lease.
    pub fn new(cx: ServingCx) -> Self {
        Self {
            cx,
            term: None,
            reserved: HashSet::new(),
            own_words: HashMap::new(),
            staging: HashMap::new(),
            accepted: HashMap::new(),
            dissolved: BTreeSet::new(),
            suspects: HashMap::new(),
            newcomers: Newcomers::new(),
            assembling: HashMap::new(),
            loads_under_way: 0,
            lapsed: LapsedMembers::new(),
            questions: JoinSet::new(),
            steps: JoinSet::new(),
        }
    }

    /// Plans and carries steps out until the task is ended.
    pub async fn run(mut self) {
        let mut changes = self.cx.fleet.subscribe();
        loop {
            tokio::select! {
                Some(Ok((term, outcome))) = self.steps.join_next() => self.finish(term, outcome),
                Some(Ok((id, is_in_place))) = self.questions.join_next() => {
                    self.lapsed.answered(&id, is_in_place);
                }
                _ = changes.changed() => {}
                () = self.cx.down_reports.group_control_woken() => {}
                () = sleep(PLAN_PERIOD) => {}
            }
            while let Some(Ok((term, outcome))) = self.steps.try_join_next() {
                self.finish(term, outcome);
            }
            match self.cx.lease.term() {
                Some(term) if self.has_fresh_list(term) => self.plan(),
                Some(_) => {}
                None => self.forget(),
            }
        }
    }

    /// Tells whether the instance list was read since this term began, and has it read if not: what an
    /// earlier holder ordered last may not have reached this node's view.
    fn has_fresh_list(&mut self, term: u64) -> bool {
        let since = match self.term {
            Some((known, since)) if known == term => since,
            _ => {
                let now = Instant::now();
                self.term = Some((term, now));
                // Another node may have given orders since.
                self.forget_knowledge();
                self.cx.fleet.request_relist();
                now
            }
        };
        self.cx.fleet.is_listed_since(since)
    }

    /// Returns the term that this node acts on, or did last.
    fn current_term(&self) -> Option<u64> {
        self.term.map(|(term, _)| term)
    }

    /// Forgets what only the holder of the lease needs.
    fn forget(&mut self) {
        if self.steps.is_empty() {
            self.reserved.clear();
            self.staging.clear();
            self.assembling.clear();
            self.loads_under_way = 0;
            self.forget_knowledge();
        }
    }

    /// Forgets what instances told this node and what it ordered.
    fn forget_knowledge(&mut self) {
        self.own_words.clear();
        self.accepted.clear();
        self.dissolved.clear();
    }

    /// Takes in how a step ended that began in a term.
    fn finish(&mut self, term: Option<u64>, outcome: StepOutcome) {
        let now = Instant::now();
        for id in &outcome.reserved {
            self.reserved.remove(id);
            self.staging.remove(id);
            self.assembling.remove(id);
        }
        self.loads_under_way = self.loads_under_way.saturating_sub(outcome.loads);
        for id in outcome.silent {
            self.suspects.insert(id, now + SUSPECT_PERIOD);
        }
        if term != self.current_term() {
            return;
        }
        for (id, status) in outcome.own_words {
            self.own_words.insert(id, (now, status));
        }
        self.accepted.extend(outcome.accepted);
        self.dissolved.extend(outcome.dissolved);
        while self.dissolved.len() > MAX_DISSOLVED {
            self.dissolved.pop_first();
        }
    }

    fn plan(&mut self) {
        let Some(table) = self.cx.config.get() else { return };
        let now = Instant::now();
        self.suspects.retain(|_, until| *until > now);
        let mut instances = self.cx.fleet.instances();
        for member in self.lapsed_members(now) {
            instances.entry(member.id.clone()).or_insert(member);
        }
        let changes = self.cx.fleet.status_changed_at();
        // While the watch is cut off entries stay as they were, however long ago the words were heard.
        self.own_words.retain(|id, (heard_at, _)| {
            let has_followed = changes.get(id).is_some_and(|changed_at| changed_at > heard_at);
            instances.contains_key(id) && (!has_followed || now - *heard_at < OWN_WORDS_PERIOD)
        });
        self.newcomers.note(instances.keys(), now);
        for (service, engine) in &table.config.services {
            let Some(engine) = &engine.engine else { continue };
            let of_service: Vec<Instance> =
                instances.values().filter(|i| i.service == *service).cloned().collect();
            self.plan_service(engine, of_service, &changes, now);
        }
    }

    /// Returns the members whose entries were removed and that are in their place, as far as known, and
    /// asks them from time to time.
    fn lapsed_members(&mut self, now: Instant) -> Vec<Instance> {
        let lapsed = self.cx.fleet.expired_members();
        for index in self.lapsed.review(&lapsed, now) {
            let (cx, instance) = (self.cx.clone(), lapsed[index].1.clone());
            self.questions.spawn(async move {
                let is_in_place = order_client::is_in_place(&cx, &instance).await;
                (instance.id, is_in_place)
            });
        }
        let is_there = |instance: &Instance| {
            let is_suspect = self.suspects.contains_key(&instance.id);
            !is_suspect && self.lapsed.lapse(&instance.id).is_some()
        };
        lapsed.into_iter().map(|(_, instance)| instance).filter(is_there).collect()
    }

    fn plan_service(
        &mut self,
        engine: &Engine,
        mut instances: Vec<Instance>,
        changes: &HashMap<InstanceId, Instant>,
        now: Instant,
    ) {
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        for instance in &mut instances {
            if let Some((heard_at, own)) = self.own_words.get(&instance.id) {
                let changed_at = changes.get(&instance.id).copied();
                let is_later = changed_at.is_some_and(|at| at > *heard_at + ENTRY_LAG);
                instance.engine = newer(own, &instance.engine, is_later).clone();
            }
        }
        let down = self.down_groups(&instances, now);
        let planned: Vec<PlanInstance> =
            instances.iter().map(|instance| self.plan_instance(instance)).collect();
        let assembling: Vec<(String, String)> = self.assembling.values().cloned().collect();
        let input = PlanInput {
            engine,
            instances: &planned,
            down: &down,
            dissolved: &self.dissolved,
            assembling: &assembling,
            loads_under_way: self.loads_under_way,
            is_absence_trusted: self
                .cx
                .fleet
                .is_absence_trusted(self.cx.store.health().regained_at, now),
            is_settled: self.newcomers.is_settled(),
        };
        for step in group_plan::plan(&input) {
            self.start(engine, step, &instances);
        }
    }

    fn plan_instance(&self, instance: &Instance) -> PlanInstance {
        let is_suspect = self.suspects.contains_key(&instance.id);
        let membership = instance.engine.membership.as_ref();
        PlanInstance {
            id: instance.id.clone(),
            domain: instance.engine.domain.clone().unwrap_or_default(),
            is_suspect,
            is_draining: instance.is_draining,
            lapse: self.lapsed.lapse(&instance.id),
            is_reserved: self.reserved.contains(&instance.id),
            staging: self.staging.get(&instance.id).cloned(),
            staged: instance.engine.staged.clone(),
            last_model: instance.engine.model.clone(),
            membership: membership.map(|m| (m.group.clone(), m.epoch, m.rank, m.state)),
        }
    }

    /// Returns the groups that were found to be down; the member that was missing is suspected.
    fn down_groups(
        &mut self,
        instances: &[Instance],
        now: Instant,
    ) -> BTreeSet<(GroupName, GroupEpoch)> {
        let found = self.cx.loads.down_members(now);
        let mut down = BTreeSet::new();
        if found.is_empty() {
            return down;
        }
        for instance in instances {
            let Some(membership) = &instance.engine.membership else { continue };
            let key = group_key(&membership.group, membership.epoch);
            let Some(member) = found.get(&key_hash(key.as_bytes())) else { continue };
            down.insert(membership.group_and_epoch());
            if !member.is_empty() {
                self.suspects.entry(member.clone()).or_insert(now + SUSPECT_PERIOD);
            }
        }
        down
    }

    fn start(&mut self, engine: &Engine, step: PlanStep, instances: &[Instance]) {
        let ids = step.instances();
        let involved: Vec<Instance> = ids
            .iter()
            .filter_map(|id| instances.iter().find(|instance| instance.id == *id).cloned())
            .collect();
        match &step {
            PlanStep::Dissolve { .. } => {}
            PlanStep::Open { .. } => {
                self.assembling.extend(involved.first().map(|head| {
                    let domain = head.engine.domain.clone().unwrap_or_default();
                    (head.id.clone(), (domain, head.engine.model.clone().unwrap_or_default()))
                }));
            }
            PlanStep::Assemble { model, domain, loads, .. } => {
                self.loads_under_way += loads;
                let place = (domain.clone(), model.clone());
                self.assembling.extend(ids.first().map(|head| (head.clone(), place)));
            }
            PlanStep::Stage { instance, model } => {
                self.loads_under_way += 1;
                self.staging.insert(instance.clone(), model.clone());
            }
        }
        self.reserved.extend(ids.iter().cloned());
        let (cx, engine) = (self.cx.clone(), engine.clone());
        let known = involved.iter().filter_map(|i| self.accepted.get_key_value(&i.id));
        let accepted = known.map(|(id, accepted)| (id.clone(), *accepted)).collect();
        let memberships = involved.iter().filter_map(|i| i.engine.membership.as_ref());
        let dissolved = memberships
            .map(Membership::group_and_epoch)
            .filter(|place| self.dissolved.contains(place))
            .collect();
        let known = KnownState { accepted, dissolved };
        let term = self.current_term();
        self.steps.spawn(async move {
            (term, group_steps::carry_out(&cx, &engine, step, involved, known).await)
        });
    }
}

/// Returns the newer of an instance's own words and its entry; `is_later` tells whether the entry
/// changed after the words were heard.
fn newer<'a>(own: &'a EngineStatus, entry: &'a EngineStatus, is_later: bool) -> &'a EngineStatus {
    if own.born_ms != entry.born_ms {
        return if own.born_ms > entry.born_ms { own } else { entry };
    }
    let (Some(own_place), Some(entry_place)) = (&own.membership, &entry.membership) else {
        return if is_later { entry } else { own };
    };
    if own_place.epoch != entry_place.epoch {
        return if own_place.epoch > entry_place.epoch { own } else { entry };
    }
    // Within an assignment a state only moves on.
    if progress(own_place.state) > progress(entry_place.state) { own } else { entry }
}

/// Returns the place of a state in the order in which a member passes through them.
fn progress(state: MembershipState) -> u8 {
    match state {
        MembershipState::Joining => 0,
        MembershipState::Ready => 1,
        MembershipState::Open => 2,
        MembershipState::Closing => 3,
        MembershipState::Broken => 4,
    }
}
