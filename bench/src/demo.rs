//! `demo`: the whole path once, with a killed member, a changed default and a stopped entry.

use crate::call_oracle::CallOracle;
use crate::call_record::CallRecord;
use crate::call_record::Outcome;
use crate::caller::Caller;
use crate::daemon_process::DaemonProcess;
use crate::daemon_process::RunDirectory;
use crate::fleet_plan;
use crate::fleet_plan::CUSTOMERS;
use crate::fleet_plan::MODEL_VERSION;
use crate::fleet_plan::NODES;
use crate::fleet_plan::model_of;
use crate::operator::Operator;
use crate::standin_fleet::StandinFleet;
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

/// Longest time for a change to be in force on every node.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Longest time for the nodes to know each other.
const JOIN_BOUND: Duration = Duration::from_secs(10);

/// Longest time for the first groups to serve.
const ASSEMBLY_BOUND: Duration = Duration::from_secs(20);

/// Longest time for a call, retries included.
const PATIENCE: Duration = Duration::from_secs(20);

/// Bound on the graceful shutdown of a daemon.
const SHUTDOWN_BOUND: Duration = Duration::from_secs(10);

/// Time after which streams are surely running.
const INTO_STREAMS: Duration = Duration::from_millis(400);

/// Generations and calls of each customer in one round.
const ROUND: usize = 12;

/// Pause between two looks at the stand-ins.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Weight loading time of the stand-ins.
const LOAD_TIME: Duration = Duration::from_secs(1);

struct Demo {
    fleet: StandinFleet,
    daemons: Vec<DaemonProcess>,
    operator: Operator,
    callers: Vec<Arc<Caller>>,
    timeline: Timeline,
    records: Vec<CallRecord>,
    faults: Vec<String>,
}

/// Runs the demo.
pub async fn run(_args: &[String]) -> Result<ExitCode> {
    let mut directory = RunDirectory::new("demo")?;
    let mut demo = start(&directory).await?;
    let outcome = demo.play().await;
    if let Err(e) = &outcome {
        demo.faults.push(format!("{e:#}"));
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
    let fleet = fleet_plan::start_standins(&options).await?;
    let upstreams = fleet.fake_instances.all_instances().len();
    timeline.note(format!("stand-ins: platform and {upstreams} upstreams in two data centres"));
    let mut daemons = fleet_plan::make_daemons(&fleet, directory, &NODES, SHUTDOWN_BOUND)?;
    for daemon in &mut daemons {
        daemon.start().await?;
    }
    timeline.note(format!("{} entry daemons listen", daemons.len()));
    let endpoints = daemons.iter().map(|d| d.settings.operator_listen.clone()).collect();
    let operator = Operator::new(endpoints, "demo");
    let known: Vec<String> = daemons.iter().map(|d| d.settings.caller_listen.clone()).collect();
    let callers = CUSTOMERS.map(|c| Arc::new(Caller::new(known.clone(), c.token, PATIENCE)));
    Ok(Demo {
        fleet,
        daemons,
        operator,
        callers: callers.into(),
        timeline,
        records: vec![],
        faults: vec![],
    })
}

/// Waits until a service has all its groups whole again and returns the time since the kill.
async fn wait_whole(
    fake_instances: FakeInstances,
    service: String,
    since: Instant,
) -> Result<Duration> {
    while fake_instances.complete_groups(&service) < fleet_plan::REPLICAS as usize {
        if since.elapsed() > ASSEMBLY_BOUND {
            bail!("{service} has no whole groups {ASSEMBLY_BOUND:?} after the kill");
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(since.elapsed())
}

impl Demo {
    async fn play(&mut self) -> Result<()> {
        self.wait_nodes().await?;
        self.create_services().await?;
        self.round("first", ROUND, 60).await;
        self.kill_a_member().await?;
        self.change_a_default().await?;
        self.stop_an_entry().await?;
        self.round("last", ROUND, 60).await;
        self.check_outcomes();
        Ok(())
    }

    async fn wait_nodes(&mut self) -> Result<()> {
        let mut slowest = Duration::ZERO;
        for daemon in &self.daemons {
            let operator = Operator::new(vec![daemon.settings.operator_listen.clone()], "demo");
            slowest += operator.wait_nodes(self.daemons.len(), JOIN_BOUND).await?;
        }
        let took = slowest.as_secs_f64();
        self.timeline.note(format!("the daemons know each other after {took:.2} s"));
        Ok(())
    }

    async fn create_services(&mut self) -> Result<()> {
        let reason = "both users' services";
        let accepted = self.operator.apply(0, &fleet_plan::config(), reason).await?;
        let nodes = self.daemons.len() as u32;
        let in_force = self.operator.wait_in_force(accepted.version, nodes, IN_FORCE_BOUND);
        let (report, took) = in_force.await?;
        self.timeline.note(format!(
            "services created, in force on {} of {} after {:.2} s",
            report.in_force,
            report.members,
            took.as_secs_f64()
        ));
        let took = self.operator.wait_serving(ASSEMBLY_BOUND).await?;
        let groups = self.groups().await?.len();
        self.timeline.note(format!("{groups} groups serve after {:.2} s", took.as_secs_f64()));
        Ok(())
    }

    async fn groups(&self) -> Result<Vec<GroupRecord>> {
        let reply = self.operator.services().await?;
        Ok(reply.services.into_iter().flat_map(|service| service.groups).collect())
    }

    /// Sends generations and calls of all customers at once and waits for them.
    async fn round(&mut self, name: &str, count: usize, tokens: u32) {
        let records = join_all(self.calls(name, count, tokens)).await;
        self.note_round(name, records);
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
                let own = caller.clone();
                let prompt = format!("{name} {index} of {} length:{tokens}", plan.customer);
                let generation =
                    async move { own.generate(plan.generates, &prompt, 2 * tokens).await };
                calls.push(tokio::spawn(generation));
                let own = caller.clone();
                let body = format!("{{\"{name}\":{index}}}");
                let call = async move { own.call(plan.calls, plan.path, &body, true).await };
                calls.push(tokio::spawn(call));
            }
        }
        calls
    }

    fn note_round(&mut self, name: &str, records: Vec<Result<CallRecord, tokio::task::JoinError>>) {
        let records: Vec<CallRecord> = records.into_iter().flatten().collect();
        let whole = records.iter().filter(|r| matches!(r.outcome, Outcome::Whole(_))).count();
        let resumes: u32 = records.iter().map(|record| record.resumes + record.moves).sum();
        let gap = records.iter().map(|record| record.longest_gap).max().unwrap_or_default();
        let first = records.iter().filter_map(|record| record.first_token).max();
        self.timeline.note(format!(
            "{name}: {whole} of {} whole, {resumes} sent again by callers, slowest first token \
             {:.0} ms, longest gap {:.0} ms",
            records.len(),
            first.unwrap_or_default().as_secs_f64() * 1000.0,
            gap.as_secs_f64() * 1000.0
        ));
        self.records.extend(records);
    }

    async fn kill_a_member(&mut self) -> Result<()> {
        let name = "killed-member";
        let calls = self.calls(name, ROUND, 120);
        tokio::time::sleep(INTO_STREAMS).await;
        let groups = self.groups().await?;
        let busy = groups.iter().max_by_key(|group| {
            let first = group.members.first();
            first.map_or(0, |member| self.fleet.fake_instances.open_streams(&member.address))
        });
        let busy = busy.context("no group")?.clone();
        let victim = busy.members.last().context("the group has no members")?.clone();
        let streams = self.fleet.fake_instances.open_streams(&busy.members[0].address);
        self.fleet.kill(&victim.address);
        self.timeline.note(format!(
            "killed {} of group {} under {streams} streams",
            victim.instance, busy.group
        ));
        if streams == 0 {
            bail!("no stream was running on the killed group");
        }
        let killed_at = Instant::now();
        let fake_instances = self.fleet.fake_instances.clone();
        let repair = tokio::spawn(wait_whole(fake_instances, busy.service.clone(), killed_at));
        let records = join_all(calls).await;
        self.note_round(name, records);
        let took = repair.await??;
        self.operator.wait_serving(ASSEMBLY_BOUND).await?;
        self.timeline.note(format!(
            "{}: whole groups again {:.2} s after the kill",
            busy.service,
            took.as_secs_f64()
        ));
        Ok(())
    }

    async fn change_a_default(&mut self) -> Result<()> {
        let (version, mut config) = self.operator.config().await?;
        config["defaults"]["between_tokens_ms"] = 60.into();
        let reason = "slower tokens are good enough";
        let accepted = self.operator.apply(version, &config, reason).await?;
        let nodes = self.daemons.len() as u32;
        let in_force = self.operator.wait_in_force(accepted.version, nodes, IN_FORCE_BOUND);
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

    async fn stop_an_entry(&mut self) -> Result<()> {
        let name = "stopped-entry";
        let calls = self.calls(name, ROUND, 120);
        tokio::time::sleep(INTO_STREAMS).await;
        let daemon = &mut self.daemons[0];
        let began = Instant::now();
        daemon.signal(Signal::SIGTERM)?;
        let status = daemon.wait(SHUTDOWN_BOUND + Duration::from_secs(2)).await?;
        let node = daemon.settings.node.clone();
        let took = began.elapsed().as_secs_f64();
        self.timeline.note(format!("{node} stopped gracefully after {took:.2} s, {status}"));
        if !status.success() {
            self.faults.push(format!("{node} ended with {status}"));
        }
        let records = join_all(calls).await;
        self.note_round(name, records);
        Ok(())
    }

    /// Nothing in the demo excuses an answer that is not whole.
    fn check_outcomes(&mut self) {
        for record in &self.records {
            if !matches!(record.outcome, Outcome::Whole(_)) {
                self.faults.push(format!("{:?} ended as {:?}", record.asked, record.outcome));
            }
        }
    }

    fn violations(&self) -> Vec<String> {
        let mut oracle = CallOracle::new(&self.fleet.fake_instances.executions());
        for plan in CUSTOMERS {
            oracle = oracle.with_model(plan.generates, &model_of(plan.generates), MODEL_VERSION);
        }
        let mut violations = self.faults.clone();
        violations.extend(oracle.check(&self.records).iter().map(ToString::to_string));
        let broken = self.fleet.fake_instances.violations();
        violations.extend(broken.iter().map(ToString::to_string));
        violations
    }
}
