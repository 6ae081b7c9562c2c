//! Fault injection for the fake instances.

use crate::engine_options::EngineOptions;
use crate::fake_instances::FakeInstances;
use crate::fake_state::Instance;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::generated::platform::InstanceState;
use guavaladder_lib::ids::Address;
use std::time::Duration;

impl FakeInstances {
    /// Kills an instance: its group fails and its in-memory state is lost.
    pub fn kill(&self, address: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.fail_group(address, true, "a member of the group died");
        let Some(instance) = state.instances.get_mut(address) else { return };
        instance.reset();
        instance.is_alive = false;
        instance.is_paused = false;
        instance.wake.notify_waiters();
        state.record_list(now);
    }

    /// Restarts a dead instance with an idle engine.
    pub fn revive(&self, address: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(instance) = state.instances.get_mut(address) else { return };
        instance.is_alive = true;
        instance.leaving_since = None;
        instance.info.state = InstanceState::Live;
        state.record_list(now);
    }

    /// Kills all instances of a fabric domain.
    pub fn kill_domain(&self, domain: &str) {
        self.addresses_in(domain).iter().for_each(|address| self.kill(address));
    }

    /// Restarts all instances of a fabric domain.
    pub fn revive_domain(&self, domain: &str) {
        self.addresses_in(domain).iter().for_each(|address| self.revive(address));
    }

    /// Suspends an instance until it is resumed; its connections stay open.
    pub fn pause(&self, address: &str) {
        self.update(address, |instance| instance.is_paused = true);
    }

    /// Makes an instance refuse all requests and ask for time, or ends that.
    pub fn set_deferral(&self, address: &str, deferral: Option<Duration>) {
        self.update(address, |instance| instance.deferral = deferral);
    }

    /// Returns the number of requests that an instance refused while it asked for time.
    pub fn deferred(&self, address: &str) -> usize {
        self.lock().instances.get(address).map_or(0, |instance| instance.deferred)
    }

    /// Refuses a request if the instance asks for time.
    pub(crate) fn check_deferral(&self, address: &str) -> Result<(), UpstreamError> {
        let mut state = self.lock();
        let Some(instance) = state.instances.get_mut(address) else { return Ok(()) };
        let Some(retry_after) = instance.deferral else { return Ok(()) };
        instance.deferred += 1;
        Err(UpstreamError::Deferred { reason: "overloaded".to_string(), retry_after })
    }

    /// Resumes a paused instance.
    pub fn resume(&self, address: &str) {
        let mut state = self.lock();
        let Some(instance) = state.instances.get_mut(address) else { return };
        instance.is_paused = false;
        instance.wake.notify_waiters();
        let members = state.group_of(address);
        for stream in state.streams.values().filter(|s| members.contains(&s.address)) {
            stream.wake.notify_one();
        }
    }

    /// Multiplies the duration of all work of the instance's group by `factor`; 1 restores full speed.
    pub fn set_slowdown(&self, address: &str, factor: f64) {
        self.update(address, |instance| instance.slowdown = factor);
    }

    /// Stalls the open streams of an instance permanently; new streams work.
    pub fn stall_streams(&self, address: &str) {
        for stream in self.lock().streams.values_mut().filter(|s| s.address == address) {
            stream.is_stalled = true;
            stream.wake.notify_one();
        }
    }

    /// Delays the effect of all orders to an instance.
    pub fn delay_orders(&self, address: &str, delay: Duration) {
        self.update(address, |instance| instance.order_delay = delay);
    }

    /// Announces that the platform will remove an instance: its own responses report it immediately,
    /// the instance list after its lag.
    pub fn set_leaving(&self, address: &str) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(instance) = state.instances.get_mut(address) else { return };
        instance.leaving_since.get_or_insert(now);
        instance.info.state = InstanceState::Leaving;
        state.record_list(now);
    }

    /// Resets and refuses the connections to all instances while `is_partitioned` is set; the instances go on.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        let mut state = self.lock();
        state.is_partitioned = is_partitioned;
        for stream in state.streams.values_mut().filter(|_| is_partitioned) {
            stream.interruption = Some("the connection was reset".to_string());
            stream.wake.notify_one();
        }
    }

    /// Makes the instance list refuse reads while `is_unavailable` is set.
    pub fn set_list_unavailable(&self, is_unavailable: bool) {
        self.lock().is_list_unavailable = is_unavailable;
    }

    /// Replaces the options of an instance.
    pub fn set_options(&self, address: &str, options: EngineOptions) {
        self.update(address, |instance| instance.options = options);
    }

    fn update(&self, address: &str, change: impl FnOnce(&mut Instance)) {
        if let Some(instance) = self.lock().instances.get_mut(address) {
            change(instance);
        }
    }

    fn addresses_in(&self, domain: &str) -> Vec<Address> {
        let state = self.lock();
        let inside = state.instances.values().filter(|instance| instance.info.domain == domain);
        inside.map(|instance| instance.info.address.clone()).collect()
    }
}
