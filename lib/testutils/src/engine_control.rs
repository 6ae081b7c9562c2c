//! Faults that tests and stand-ins cause in the fake world.

use crate::engine_options::EngineOptions;
use crate::engine_world::EngineWorld;
use crate::world_state::Instance;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::ids::Address;
use std::time::Duration;

impl EngineWorld {
    /// Kills an instance: its group breaks and its memory is lost.
    pub fn kill(&self, address: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.break_group(address, true, "a member of the group died");
        let Some(known) = state.instances.get_mut(address) else { return };
        known.reset();
        known.is_alive = false;
        known.is_paused = false;
        known.wake.notify_waiters();
        state.note_list(now);
    }

    /// Starts a dead instance again, idle.
    pub fn revive(&self, address: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(address) else { return };
        known.is_alive = true;
        known.leaving_since = None;
        known.info.state = InstanceState::Live;
        state.note_list(now);
    }

    /// Kills every instance of a fabric domain.
    pub fn kill_domain(&self, domain: &str) {
        self.addresses_in(domain).iter().for_each(|address| self.kill(address));
    }

    /// Starts every instance of a fabric domain again.
    pub fn revive_domain(&self, domain: &str) {
        self.addresses_in(domain).iter().for_each(|address| self.revive(address));
    }

    /// Stops an instance from doing anything until it is resumed; connections stay open.
    pub fn pause(&self, address: &str) {
        self.update(address, |known| known.is_paused = true);
    }

    /// Lets a paused instance go on.
    pub fn resume(&self, address: &str) {
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(address) else { return };
        known.is_paused = false;
        known.wake.notify_waiters();
        let members = state.group_of(address);
        for stream in state.streams.values().filter(|s| members.contains(&s.address)) {
            stream.wake.notify_one();
        }
    }

    /// Slows all work of the instance's group by a factor; 1 ends it.
    pub fn straggle(&self, address: &str, factor: f64) {
        self.update(address, |known| known.slowdown = factor);
    }

    /// Lets the open streams of an instance go silent for good; new ones work.
    pub fn go_silent(&self, address: &str) {
        for stream in self.lock().streams.values_mut().filter(|s| s.address == address) {
            stream.is_silent = true;
            stream.wake.notify_one();
        }
    }

    /// Lets orders to an instance take effect after a delay.
    pub fn delay_orders(&self, address: &str, delay: Duration) {
        self.update(address, |known| known.order_delay = delay);
    }

    /// Announces that the platform will take an instance away: its own answers tell it at once and
    /// the instance list after its lag.
    pub fn set_leaving(&self, address: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(known) = state.instances.get_mut(address) else { return };
        known.leaving_since.get_or_insert(now);
        known.info.state = InstanceState::Leaving;
        state.note_list(now);
    }

    /// Makes the instance list refuse reads.
    pub fn set_list_away(&self, is_away: bool) {
        self.lock().is_list_away = is_away;
    }

    /// Changes the options of an instance.
    pub fn set_options(&self, address: &str, options: EngineOptions) {
        self.update(address, |known| known.options = options);
    }

    fn update(&self, address: &str, change: impl FnOnce(&mut Instance)) {
        if let Some(known) = self.lock().instances.get_mut(address) {
            change(known);
        }
    }

    fn addresses_in(&self, domain: &str) -> Vec<Address> {
        let state = self.lock();
        let inside = state.instances.values().filter(|known| known.info.domain == domain);
        inside.map(|known| known.info.address.clone()).collect()
    }
}
