//! How a fake engine carries out orders.

use crate::engine_world::EngineWorld;
use crate::world_state::Instance;
use crate::world_state::WorldState;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::engine::Assignment;
use guavaladder_lib::generated::engine::MemberState;
use guavaladder_lib::generated::engine::Order;
use guavaladder_lib::generated::engine::OrderAction;
use guavaladder_lib::generated::engine::OrderReply;
use std::time::Duration;

/// What an accepted order starts.
enum Effect {
    Done,
    /// Loads weights for this time, by way of the weight store.
    Load(Duration),
    /// Joins a changed group with loaded weights for this time.
    Rejoin(Duration),
}

impl EngineWorld {
    /// Lets an order take effect now.
    pub(crate) fn take_order(
        &self,
        address: &str,
        order: &Order,
    ) -> Result<OrderReply, UpstreamError> {
        let now = self.clock.now();
        let is_late = self.clock.unix() > order.deadline_unix;
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(address).filter(|known| known.is_alive) else {
            return Err(UpstreamError::Interrupted { reason: "the instance died".to_string() });
        };
        if known.options.checks_fencing {
            if order.epoch < known.highest_epoch {
                return Ok(OrderReply::Fenced(known.highest_epoch));
            }
            known.highest_epoch = order.epoch;
        }
        if known.orders.contains(&order.order) {
            return Ok(reply(&mut state, address, now));
        }
        if is_late {
            return Ok(OrderReply::Refused("the order's deadline has passed".to_string()));
        }
        let effect = match carry_out(&mut state, address, &order.action, now) {
            Ok(effect) => effect,
            Err(reason) => return Ok(OrderReply::Refused(reason)),
        };
        if let Some(known) = state.instances.get_mut(address) {
            known.remember_order(&order.order);
            let generation = known.generation;
            match effect {
                Effect::Done => {}
                Effect::Load(time) => self.start_load(address, generation, time, true),
                Effect::Rejoin(time) => self.start_load(address, generation, time, false),
            }
        }
        Ok(reply(&mut state, address, now))
    }

    fn start_load(&self, address: &str, generation: u64, time: Duration, is_fetch: bool) {
        let world = self.clone();
        let address = address.to_string();
        tokio::spawn(async move {
            // The weight store is never closed.
            let permit = if is_fetch { world.weight_store.acquire().await.ok() } else { None };
            if !world.is_current_load(&address, generation) {
                return;
            }
            tokio::time::sleep(time).await;
            drop(permit);
            world.finish_load(&address, generation);
        });
    }

    fn is_current_load(&self, address: &str, generation: u64) -> bool {
        let state = self.lock();
        state.instances.get(address).is_some_and(|known| known.generation == generation)
    }

    fn finish_load(&self, address: &str, generation: u64) {
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(address) else { return };
        if known.generation == generation && known.state == MemberState::Loading {
            known.state = MemberState::Ready;
            known.is_loaded = true;
        }
    }
}

fn reply(state: &mut WorldState, address: &str, now: Duration) -> OrderReply {
    match state.status(address, now) {
        Some(status) => OrderReply::Accepted(status),
        None => OrderReply::Refused("unknown instance".to_string()),
    }
}

fn carry_out(
    state: &mut WorldState,
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

fn instance<'a>(state: &'a mut WorldState, address: &str) -> Result<&'a mut Instance, String> {
    state.instances.get_mut(address).ok_or_else(|| "unknown instance".to_string())
}

/// A shard beyond the member list is a standby that is kept loaded for promotion.
fn check_place(known: &Instance, wanted: &Assignment) -> Result<(), String> {
    let own = &known.info.instance;
    match wanted.members.get(wanted.shard as usize) {
        Some(member) if member != own => Err(format!("shard {} is {member}", wanted.shard)),
        _ => Ok(()),
    }
}

fn assign(known: &mut Instance, wanted: &Assignment) {
    known.assignment = Some(wanted.clone());
    known.state = MemberState::Loading;
    known.generation += 1;
    known.held.clear();
}

fn join(state: &mut WorldState, address: &str, wanted: &Assignment) -> Result<Effect, String> {
    let known = instance(state, address)?;
    check_place(known, wanted)?;
    if known.state != MemberState::Idle {
        return Err(format!("the instance is {}", known.state.name()));
    }
    assign(known, wanted);
    Ok(Effect::Load(known.options.load_time.mul_f64(known.slowdown)))
}

fn drain(
    state: &mut WorldState,
    address: &str,
    group: &str,
    now: Duration,
) -> Result<Effect, String> {
    let known = instance(state, address)?;
    check_group(known, group)?;
    if known.state == MemberState::Ready {
        known.state = MemberState::Draining;
        let drained_from = known.options.drain_grace.map(|grace| now + grace);
        for stream in state.streams.values_mut().filter(|s| s.address == address) {
            stream.drained_from = drained_from;
            stream.wake.notify_one();
        }
    }
    Ok(Effect::Done)
}

fn release(state: &mut WorldState, address: &str, group: &str) -> Result<Effect, String> {
    let known = instance(state, address)?;
    if known.state == MemberState::Idle {
        return Ok(Effect::Done);
    }
    check_group(known, group)?;
    let was_ready = matches!(known.state, MemberState::Ready | MemberState::Draining);
    let is_member = known.assignment.as_ref().is_some_and(|a| is_member_of(known, a));
    if was_ready && is_member {
        state.break_group(address, true, "a member of the group was released");
    }
    let known = instance(state, address)?;
    let highest_epoch = known.highest_epoch;
    let orders = std::mem::take(&mut known.orders);
    known.reset();
    known.highest_epoch = highest_epoch;
    known.orders = orders;
    Ok(Effect::Done)
}

fn is_member_of(known: &Instance, assignment: &Assignment) -> bool {
    assignment.members.contains(&known.info.instance)
}

fn regroup(state: &mut WorldState, address: &str, wanted: &Assignment) -> Result<Effect, String> {
    let known = instance(state, address)?;
    check_place(known, wanted)?;
    let Some(held) = known.assignment.clone().filter(|_| known.is_loaded) else {
        return Err("no weights are loaded".to_string());
    };
    let is_same_model = (&held.model, &held.version, &held.adapter)
        == (&wanted.model, &wanted.version, &wanted.adapter);
    if !is_same_model {
        return Err(format!("the weights are of {} {}", held.model, held.version));
    }
    let was_standby = held.shard as usize >= held.members.len();
    if !was_standby && held.shard != wanted.shard {
        return Err(format!("the weights are of shard {}", held.shard));
    }
    state.cut_group_streams(address, "the group's members changed");
    let known = instance(state, address)?;
    assign(known, wanted);
    Ok(Effect::Rejoin(known.options.regroup_time.mul_f64(known.slowdown)))
}

fn reload(state: &mut WorldState, address: &str, wanted: &Assignment) -> Result<Effect, String> {
    let known = instance(state, address)?;
    check_place(known, wanted)?;
    check_group(known, &wanted.group)?;
    let is_ready = matches!(known.state, MemberState::Ready | MemberState::Draining);
    if !is_ready {
        return Err(format!("the instance is {}", known.state.name()));
    }
    let held = known.assignment.clone();
    let is_same_model =
        held.as_ref().is_some_and(|a| (&a.model, &a.version) == (&wanted.model, &wanted.version));
    state.cut_group_streams(address, "the group reloads");
    let known = instance(state, address)?;
    assign(known, wanted);
    if is_same_model {
        return Ok(Effect::Rejoin(known.options.regroup_time.mul_f64(known.slowdown)));
    }
    Ok(Effect::Load(known.options.load_time.mul_f64(known.slowdown)))
}

fn check_group(known: &Instance, group: &str) -> Result<(), String> {
    match &known.assignment {
        Some(held) if held.group == group => Ok(()),
        Some(held) => Err(format!("the instance is in group {}", held.group)),
        None => Err("the instance is in no group".to_string()),
    }
}
