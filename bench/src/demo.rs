//! `demo` subcommand: runs requests end to end while it kills a group member, changes a default and
//! stops an entry node.

use crate::call_oracle::CallOracle;
use crate::call_record::CallRecord;
use crate::call_record::Outcome;
use crate::caller::Caller;
use crate::daemon_process::DaemonProcess;
use crate::daemon_process::RunDirectory;
use crate::fake_fleet::FakeFleet;
use crate::fleet_plan;
use crate::fleet_plan::CUSTOMERS;
use crate::fleet_plan::MODEL_VERSION;
use crate::fleet_plan::NODES;
use crate::fleet_plan::model_of;
use crate::operator::Operator;
use crate::timeline::Timeline;
use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use futures_util::future::join_all;
use guavaladder_lib::generated::groups::GroupRecord;
use guavaladder_testutils::engine_options::EngineOptions;
use guavaladder_testutils::fake_instances::FakeInstances;
use nix::sys::signal::Signal;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout for a configuration change to be in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for every node to see all others as live.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for groups to be assembled and serving.
const ASSEMBLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit of a call, including retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a daemon's graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after sending requests at which their streams are running.
const STREAM_START_DELAY: Duration = Duration::from_millis(400);

/// Number of generations, and of plain calls, that each customer sends in one round.
const CALLS_PER_ROUND: usize = 12;

/// Interval between two polls of the fake instances.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Weight loading time of the fake engines.
const LOAD_TIME: Duration = Duration::from_secs(1);

struct Demo {
    fleet: FakeFleet,
    daemons: Vec<DaemonProcess>,
    operator: Operator,
    callers: Vec<Arc<Caller>>,
    timeline: Timeline,
    records: Vec<CallRecord>,
    failures: Vec<String>,
}

/// Runs the demo and returns a failure if any guarantee was violated.
pub async fn run(_args: &[String]) -> Result<ExitCode> {
    let mut directory = RunDirectory::new("demo")?;
    let mut demo = start(&directory).await?;
    let outcome = demo.run_steps().await;
    if let Err(e) = &outcome {
        demo.failures.push(format!("{e:#}"));
    }
    let violations = demo.violations();
    for violation in &violations {
        println!("violation: {violation}");
    }
    println!("demo: {} requests, {} violations", demo.records.len(), violations.len());
    if violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    directory.keep();
    println!("logs of the daemons are in {}", directory.path().display());
    Ok(ExitCode::FAILURE)
}

async fn start(directory: &RunDirectory) -> Result<Demo> {
    let mut timeline = Timeline::new(true);
    let options = EngineOptions::default().with_load_time(LOAD_TIME);
    let fleet = fleet_plan::start_fakes(&options).await?;
    let upstreams = fleet.fake_instances.all_instances().len();
    timeline.note(format!(
        "started a fake platform and {upstreams} fake upstreams in two data centres"
    ));
    let mut daemons = fleet_plan::make_daemons(&fleet, directory, &NODES, SHUTDOWN_TIMEOUT)?;
    for daemon in &mut daemons {
        daemon.start().await?;
    }
    timeline.note(format!("{} entry daemons accept connections", daemons.len()));
    let endpoints = daemons.iter().map(|d| d.settings.operator_listen.clone()).collect();
    let operator = Operator::new(endpoints, "demo");
    let known: Vec<String> = daemons.iter().map(|d| d.settings.caller_listen.clone()).collect();
    let callers = CUSTOMERS.map(|c| Arc::new(Caller::new(known.clone(), c.token, CALL_TIMEOUT)));
    Ok(Demo {
        fleet,
        daemons,
        operator,
        callers: callers.into(),
        timeline,
        records: vec![],
        failures: vec![],
    })
}

/// Waits until all groups of a service are complete and returns the time since the kill.
async fn wait_complete(
    fake_instances: FakeInstances,
    service: String,
    since: Instant,
) -> Result<Duration> {
    while fake_instances.complete_groups(&service) < fleet_plan::REPLICAS as usize {
        if since.elapsed() > ASSEMBLY_TIMEOUT {
            bail!("{service} still has incomplete groups {ASSEMBLY_TIMEOUT:?} after the kill");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(since.elapsed())
}

impl Demo {
    async fn run_steps(&mut self) -> Result<()> {
        self.wait_nodes().await?;
        self.create_services().await?;
        self.round("first", CALLS_PER_ROUND, 60).await;
        self.kill_member().await?;
        self.change_default().await?;
        self.stop_entry().await?;
        self.round("last", CALLS_PER_ROUND, 60).await;
        self.check_outcomes();
        Ok(())
    }

    async fn wait_nodes(&mut self) -> Result<()> {
        let mut slowest = Duration::ZERO;
        for daemon in &self.daemons {
            let operator = Operator::new(vec![daemon.settings.operator_listen.clone()], "demo");
            slowest += operator.wait_nodes(self.daemons.len(), JOIN_TIMEOUT).await?;
        }
        let took = slowest.as_secs_f64();
        self.timeline.note(format!("every daemon sees all others after {took:.2} s"));
        Ok(())
    }

    async fn create_services(&mut self) -> Result<()> {
        let reason = "both users' services";
        let accepted = self.operator.apply(0, &fleet_plan::config(), reason).await?;
        let nodes = self.daemons.len() as u32;
        let in_force = self.operator.wait_in_force(accepted.version, nodes, IN_FORCE_TIMEOUT);
        let (report, took) = in_force.await?;
        self.timeline.note(format!(
            "services created, in force on {} of {} after {:.2} s",
            report.in_force,
            report.members,
            took.as_secs_f64()
        ));
        let took = self.operator.wait_serving(ASSEMBLY_TIMEOUT).await?;
        let groups = self.groups().await?.len();
        self.timeline
            .note(format!("{groups} groups are serving after {:.2} s", took.as_secs_f64()));
        Ok(())
    }

    async fn groups(&self) -> Result<Vec<GroupRecord>> {
        let reply = self.operator.services().await?;
        Ok(reply.services.into_iter().flat_map(|service| service.groups).collect())
    }

    /// Sends the generations and plain calls of all customers concurrently and waits for them.
    async fn round(&mut self, name: &str, count: usize, tokens: u32) {
        let records = join_all(self.calls(name, count, tokens)).await;
        self.record_round(name, records);
    }

    fn calls(
        &self,
        name: &str,
        count: usize,
        tokens: u32,
    ) -> Vec<tokio::task::JoinHandle<CallRecord>> {
        let mut calls = vec![];
        for (plan, caller) in CUSTOMERS.into_iter().zip(&self.callers) {
            for index in 0..count {
                let sender = caller.clone();
                let prompt = format!("{name} {index} of {} length:{tokens}", plan.customer);
                let generation =
                    async move { sender.generate(plan.engine_service, &prompt, 2 * tokens).await };
                calls.push(tokio::spawn(generation));
                let sender = caller.clone();
                let body = format!("{{\"{name}\":{index}}}");
                let call =
                    async move { sender.call(plan.plain_service, plan.path, &body, true).await };
                calls.push(tokio::spawn(call));
            }
        }
        calls
    }

    fn record_round(
        &mut self,
        name: &str,
        records: Vec<Result<CallRecord, tokio::task::JoinError>>,
    ) {
        let records: Vec<CallRecord> = records.into_iter().flatten().collect();
        let complete = records.iter().filter(|r| matches!(r.outcome, Outcome::Complete(_))).count();
        let resumes: u32 = records.iter().map(|record| record.resumes + record.moves).sum();
        let gap = records.iter().map(|record| record.longest_gap).max().unwrap_or_default();
        let first = records.iter().filter_map(|record| record.first_token).max();
        self.timeline.note(format!(
            "{name}: {complete} of {} complete, {resumes} retried by callers, slowest first token \
             {:.0} ms, longest gap {:.0} ms",
            records.len(),
            first.unwrap_or_default().as_secs_f64() * 1000.0,
            gap.as_secs_f64() * 1000.0
        ));
        self.records.extend(records);
    }

    async fn kill_member(&mut self) -> Result<()> {
        let name = "killed-member";
        let calls = self.calls(name, CALLS_PER_ROUND, 120);
        tokio::time::sleep(STREAM_START_DELAY).await;
        let groups = self.groups().await?;
        let busy = groups.iter().max_by_key(|group| {
            let first = group.members.first();
            first.map_or(0, |member| self.fleet.fake_instances.open_streams(&member.address))
        });
        let busy = busy.context("there are no groups")?.clone();
        let victim = busy.members.last().context("the group has no members")?.clone();
        let streams = self.fleet.fake_instances.open_streams(&busy.members[0].address);
        self.fleet.kill(&victim.address);
        self.timeline.note(format!(
            "killed {} of group {} with {streams} open streams",
            victim.instance, busy.group
        ));
        if streams == 0 {
            bail!("the group of the killed member had no open streams");
        }
        let killed_at = Instant::now();
        let fake_instances = self.fleet.fake_instances.clone();
        let repair = tokio::spawn(wait_complete(fake_instances, busy.service.clone(), killed_at));
        let records = join_all(calls).await;
        self.record_round(name, records);
        let took = repair.await??;
        self.operator.wait_serving(ASSEMBLY_TIMEOUT).await?;
        self.timeline.note(format!(
            "{}: all groups complete again {:.2} s after the kill",
            busy.service,
            took.as_secs_f64()
        ));
        Ok(())
    }

    async fn change_default(&mut self) -> Result<()> {
        let (version, mut config) = self.operator.config().await?;
        config["defaults"]["between_tokens_ms"] = 60.into();
        let reason = "allow a longer time between tokens";
        let accepted = self.operator.apply(version, &config, reason).await?;
        let nodes = self.daemons.len() as u32;
        let in_force = self.operator.wait_in_force(accepted.version, nodes, IN_FORCE_TIMEOUT);
        let (report, took) = in_force.await?;
        self.timeline.note(format!(
            "default changed: version {} in force on {} of {} after {:.2} s",
            accepted.version,
            report.in_force,
            report.members,
            took.as_secs_f64()
        ));
        Ok(())
    }

    async fn stop_entry(&mut self) -> Result<()> {
        let name = "stopped-entry";
        let calls = self.calls(name, CALLS_PER_ROUND, 120);
        tokio::time::sleep(STREAM_START_DELAY).await;
        let daemon = &mut self.daemons[0];
        let began = Instant::now();
        daemon.signal(Signal::SIGTERM)?;
        let status = daemon.wait(SHUTDOWN_TIMEOUT + Duration::from_secs(2)).await?;
        let node = daemon.settings.node.clone();
        let took = began.elapsed().as_secs_f64();
        self.timeline.note(format!("{node} stopped gracefully after {took:.2} s, {status}"));
        if !status.success() {
            self.failures.push(format!("{node} exited with {status}"));
        }
        let records = join_all(calls).await;
        self.record_round(name, records);
        Ok(())
    }

    /// Records a failure for every call without a complete response; the faults of the demo justify
    /// none.
    fn check_outcomes(&mut self) {
        for record in &self.records {
            if !matches!(record.outcome, Outcome::Complete(_)) {
                self.failures.push(format!("{:?} ended as {:?}", record.request, record.outcome));
            }
        }
    }

    fn violations(&self) -> Vec<String> {
        let mut oracle = CallOracle::new(&self.fleet.fake_instances.executions());
        for plan in CUSTOMERS {
            oracle = oracle.with_model(
                plan.engine_service,
                &model_of(plan.engine_service),
                MODEL_VERSION,
            );
        }
        let mut violations = self.failures.clone();
        violations.extend(oracle.check(&self.records).iter().map(ToString::to_string));
        let found = self.fleet.fake_instances.violations();
        violations.extend(found.iter().map(ToString::to_string));
        violations
    }
}
