//! Execution of orders on a fake engine.

use crate::fake_instances::FakeInstances;
use crate::fake_state::FakeState;
use crate::fake_state::Instance;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::engine::OrderReply;
use std::time::Duration;

/// Asynchronous work that an accepted order starts.
enum Effect {
    Done,
    /// Load weights from the weight store, which takes this time.
    Load(Duration),
    /// Join a changed group with the loaded weights, which takes this time.
    Rejoin(Duration),
}

impl FakeInstances {
    /// Applies an order and returns the instance's reply.
    pub(crate) fn apply_order(
        &self,
        address: &str,
        order: &Order,
    ) -> Result<OrderReply, UpstreamError> {
        let now = self.clock.now();
        let is_late = self.clock.unix() > order.deadline_unix;
        let mut state = self.lock();
        let Some(instance) = state.instances.get_mut(address).filter(|instance| instance.is_alive)
        else {
            return Err(UpstreamError::Interrupted { reason: "the instance died".to_string() });
        };
        if instance.options.checks_fencing {
            if order.epoch < instance.highest_epoch {
                return Ok(OrderReply::Fenced(instance.highest_epoch));
            }
            instance.highest_epoch = order.epoch;
        }
        if instance.orders.contains(&order.order) {
            return Ok(reply(&mut state, address, now));
        }
        if is_late {
            return Ok(OrderReply::Refused("the order's deadline has passed".to_string()));
        }
        let effect = match execute(&mut state, address, &order.action, now) {
            Ok(effect) => effect,
            Err(reason) => return Ok(OrderReply::Refused(reason)),
        };
        if let Some(instance) = state.instances.get_mut(address) {
            instance.record_order(&order.order);
            let generation = instance.generation;
            match effect {
                Effect::Done => {}
                Effect::Load(time) => self.start_load(address, generation, time, true),
                Effect::Rejoin(time) => self.start_load(address, generation, time, false),
            }
        }
        Ok(reply(&mut state, address, now))
    }

    fn start_load(&self, address: &str, generation: u64, time: Duration, is_weight_load: bool) {
        let fake_instances = self.clone();
        let address = address.to_string();
        tokio::spawn(async move {
            // The semaphore is never closed, so `acquire` does not fail.
            let permit = if is_weight_load {
                fake_instances.weight_store.acquire().await.ok()
            } else {
                None
            };
            if !fake_instances.is_current_load(&address, generation) {
                return;
            }
            tokio::time::sleep(time).await;
            drop(permit);
            fake_instances.finish_load(&address, generation);
        });
    }

    fn is_current_load(&self, address: &str, generation: u64) -> bool {
        let state = self.lock();
        state.instances.get(address).is_some_and(|instance| instance.generation == generation)
    }

    fn finish_load(&self, address: &str, generation: u64) {
        let mut state = self.lock();
        let Some(instance) = state.instances.get_mut(address) else { return };
        if instance.generation == generation && instance.state == MemberState::Loading {
            instance.state = MemberState::Ready;
            instance.is_loaded = true;
        }
    }
}

fn reply(state: &mut FakeState, address: &str, now: Duration) -> OrderReply {
    match state.status(address, now) {
        Some(status) => OrderReply::Accepted(status),
        None => OrderReply::Refused("unknown instance".to_string()),
    }
}

fn execute(
    state: &mut FakeState,
    address: &str,
    action: &OrderAction,
    now: Duration,
) -> Result<Effect, String> {
    match action {
        OrderAction::Join(wanted) => join(state, address, wanted),
        OrderAction::Drain(group) => drain(state, address, group, now),
        OrderAction::Release(group) => release(state, address, group),
        OrderAction::Regroup(wanted) => regroup(state, address, wanted),
        OrderAction::Reload(wanted) => reload(state, address, wanted),
    }
}

fn instance_mut<'a>(state: &'a mut FakeState, address: &str) -> Result<&'a mut Instance, String> {
    state.instances.get_mut(address).ok_or_else(|| "unknown instance".to_string())
}

/// Checks that the assignment's shard belongs to this instance.
///
/// A shard beyond the member list denotes a standby that keeps its weights loaded for promotion.
fn check_shard(instance: &Instance, wanted: &Assignment) -> Result<(), String> {
    let own = &instance.info.instance;
    match wanted.members.get(wanted.shard as usize) {
        Some(member) if member != own => Err(format!("shard {} is {member}", wanted.shard)),
        _ => Ok(()),
    }
}

fn assign(instance: &mut Instance, wanted: &Assignment) {
    instance.assignment = Some(wanted.clone());
    instance.state = MemberState::Loading;
    instance.generation += 1;
    instance.retained.clear();
}

fn join(state: &mut FakeState, address: &str, wanted: &Assignment) -> Result<Effect, String> {
    let instance = instance_mut(state, address)?;
    check_shard(instance, wanted)?;
    if instance.state != MemberState::Idle {
        return Err(format!("the instance is {}", instance.state.name()));
    }
    assign(instance, wanted);
    Ok(Effect::Load(instance.options.load_time.mul_f64(instance.slowdown)))
}

fn drain(
    state: &mut FakeState,
    address: &str,
    group: &str,
    now: Duration,
) -> Result<Effect, String> {
    let instance = instance_mut(state, address)?;
    check_group(instance, group)?;
    if instance.state == MemberState::Ready {
        instance.state = MemberState::Draining;
        let drain_deadline = instance.options.drain_grace.map(|grace| now + grace);
        for stream in state.streams.values_mut().filter(|s| s.address == address) {
            stream.drain_deadline = drain_deadline;
            stream.wake.notify_one();
        }
    }
    Ok(Effect::Done)
}

fn release(state: &mut FakeState, address: &str, group: &str) -> Result<Effect, String> {
    let instance = instance_mut(state, address)?;
    if instance.state == MemberState::Idle {
        return Ok(Effect::Done);
    }
    check_group(instance, group)?;
    let was_ready = matches!(instance.state, MemberState::Ready | MemberState::Draining);
    let is_member = instance.assignment.as_ref().is_some_and(|a| is_member_of(instance, a));
    if was_ready && is_member {
        state.fail_group(address, true, "a member of the group was released");
    }
    let instance = instance_mut(state, address)?;
    let highest_epoch = instance.highest_epoch;
    let orders = std::mem::take(&mut instance.orders);
    instance.reset();
    instance.highest_epoch = highest_epoch;
    instance.orders = orders;
    Ok(Effect::Done)
}

fn is_member_of(instance: &Instance, assignment: &Assignment) -> bool {
    assignment.members.contains(&instance.info.instance)
}

fn regroup(state: &mut FakeState, address: &str, wanted: &Assignment) -> Result<Effect, String> {
    let instance = instance_mut(state, address)?;
    check_shard(instance, wanted)?;
    let Some(current) = instance.assignment.clone().filter(|_| instance.is_loaded) else {
        return Err("no weights are loaded".to_string());
    };
    let is_same_model = (&current.model, &current.version, &current.adapter)
        == (&wanted.model, &wanted.version, &wanted.adapter);
    if !is_same_model {
        return Err(format!("the weights are of {} {}", current.model, current.version));
    }
    let was_standby = current.shard as usize >= current.members.len();
    if !was_standby && current.shard != wanted.shard {
        return Err(format!("the weights are of shard {}", current.shard));
    }
    state.interrupt_group_streams(address, "the group's members changed");
    let instance = instance_mut(state, address)?;
    assign(instance, wanted);
    Ok(Effect::Rejoin(instance.options.regroup_time.mul_f64(instance.slowdown)))
}

fn reload(state: &mut FakeState, address: &str, wanted: &Assignment) -> Result<Effect, String> {
    let instance = instance_mut(state, address)?;
    check_shard(instance, wanted)?;
    check_group(instance, &wanted.group)?;
    let is_ready = matches!(instance.state, MemberState::Ready | MemberState::Draining);
    if !is_ready {
        return Err(format!("the instance is {}", instance.state.name()));
    }
    let current = instance.assignment.clone();
    let is_same_model = current
        .as_ref()
        .is_some_and(|a| (&a.model, &a.version) == (&wanted.model, &wanted.version));
    state.interrupt_group_streams(address, "the group reloads");
    let instance = instance_mut(state, address)?;
    assign(instance, wanted);
    if is_same_model {
        return Ok(Effect::Rejoin(instance.options.regroup_time.mul_f64(instance.slowdown)));
    }
    Ok(Effect::Load(instance.options.load_time.mul_f64(instance.slowdown)))
}

fn check_group(instance: &Instance, group: &str) -> Result<(), String> {
    match &instance.assignment {
        Some(current) if current.group == group => Ok(()),
        Some(current) => Err(format!("the instance is in group {}", current.group)),
        None => Err("the instance is in no group".to_string()),
    }
}
