//! The burn report: how fast the error budgets of the objectives are used up, over the data of all
//! nodes.
//!
//! A burn rate is the part of bad events over the part that the objective allows. An alert needs both
//! a long window, so that a blip does not raise it, and a short one, so that it ends soon after the
//! cause (Google SRE workbook, chapter 5).

use crate::cx::Cx;
use crate::generated::burn::BurnAlert;
use crate::generated::burn::BurnPoint;
use crate::generated::burn::BurnReport;
use crate::generated::burn::BurnWindow;
use crate::generated::burn::LatencySummary;
use crate::generated::burn::Objective;
use crate::generated::burn::ObjectiveBurn;
use crate::generated::burn::ServiceBurn;
use crate::generated::config::Defaults;
use crate::ids::ServiceId;
use crate::nodes::Nodes;
use crate::service_levels::Latencies;
use crate::service_levels::LevelSlot;
use crate::service_levels::LevelSnapshot;
use crate::service_levels::SLOT;
use crate::service_levels::ServiceWindow;
use std::collections::BTreeMap;
use std::time::Duration;

/// Windows in minutes: two for the fast alert, two for the slow one.
const WINDOW_MINUTES: [u32; 4] = [5, 30, 60, 360];
/// Burn rate in the 5 and 60 minute windows that uses 2% of a month's budget in an hour.
const FAST_RATE: f64 = 14.4;
/// Burn rate in the 30 and 360 minute windows that uses 5% of a month's budget in six hours.
const SLOW_RATE: f64 = 6.0;
/// Minutes that one plotted point stands for.
const POINT_MINUTES: u64 = 10;
/// All objectives in the order of the report.
const OBJECTIVES: [Objective; 5] = [
    Objective::FirstToken,
    Objective::BetweenTokens,
    Objective::WholeAnswers,
    Objective::GroupDowntime,
    Objective::StrandedAccelerators,
];

/// Targets of the objectives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnTargets {
    /// Part of the requests that must meet the latency objectives.
    pub latency: f64,
    /// Part of the requests that must get a whole answer.
    pub whole_answers: f64,
    /// Part of the time that groups must serve, and of the accelerators that must be in use.
    pub availability: f64,
}

impl BurnTargets {
    /// Returns the targets of a configuration.
    pub fn new(defaults: &Defaults) -> Self {
        Self {
            latency: defaults.latency_target,
            whole_answers: defaults.whole_answer_target,
            availability: defaults.availability_target,
        }
    }

    fn of(&self, objective: Objective) -> f64 {
        match objective {
            Objective::FirstToken | Objective::BetweenTokens => self.latency,
            Objective::WholeAnswers => self.whole_answers,
            Objective::GroupDowntime | Objective::StrandedAccelerators => self.availability,
        }
    }
}

/// Asks all nodes and makes the report; `None` while no configuration is known.
pub async fn collect(cx: &Cx, nodes: &Nodes) -> Option<BurnReport> {
    let record = cx.config.get()?;
    let (snapshots, missing) = nodes.collect_levels().await;
    let targets = BurnTargets::new(&record.config.defaults);
    Some(merge(&snapshots, missing, &targets, cx.clock.unix()))
}

/// Merges the nodes' levels into a report.
pub fn merge(
    snapshots: &[LevelSnapshot],
    missing: Vec<String>,
    targets: &BurnTargets,
    now: Duration,
) -> BurnReport {
    let minute = now.as_secs() / SLOT.as_secs();
    let longest = u64::from(WINDOW_MINUTES[WINDOW_MINUTES.len() - 1]);
    let is_thin = |snapshot: &&LevelSnapshot| snapshot.since_minute + longest > minute;
    let mut windows: BTreeMap<&ServiceId, Vec<&ServiceWindow>> = BTreeMap::new();
    for (service, window) in snapshots.iter().flat_map(|snapshot| &snapshot.services) {
        windows.entry(service).or_default().push(window);
    }
    let services = windows
        .into_iter()
        .map(|(service, windows)| ServiceBurn {
            service: service.clone(),
            objectives: objectives(&windows, snapshots, missing.len(), targets, minute),
            first_token: summary(windows.iter().map(|window| &window.first_token)),
            between_tokens: summary(windows.iter().map(|window| &window.between_tokens)),
        })
        .collect();
    BurnReport {
        unix: now,
        nodes: snapshots.iter().map(|snapshot| snapshot.node.clone()).collect(),
        thin: snapshots.iter().filter(is_thin).map(|snapshot| snapshot.node.clone()).collect(),
        missing,
        services,
    }
}

fn objectives(
    windows: &[&ServiceWindow],
    snapshots: &[LevelSnapshot],
    missing: usize,
    targets: &BurnTargets,
    minute: u64,
) -> Vec<ObjectiveBurn> {
    let mut burns = vec![];
    for objective in OBJECTIVES {
        let target = targets.of(objective);
        let slots = || windows.iter().flat_map(|window| &window.slots);
        let window = |minutes: u32| {
            let first = (minute + 1).saturating_sub(u64::from(minutes));
            let (bad, total) = sum(objective, slots().filter(|slot| slot.minute >= first));
            let coverage = coverage(snapshots, missing, minutes, minute);
            BurnWindow { minutes, total, bad, burn_rate: rate(bad, total, target), coverage }
        };
        let windows: Vec<BurnWindow> = WINDOW_MINUTES.into_iter().map(window).collect();
        if windows.iter().all(|window| window.total == 0) {
            continue;
        }
        let alert = alert(&windows);
        let points = points(objective, slots(), target, minute);
        burns.push(ObjectiveBurn { objective, target, windows, alert, points });
    }
    burns
}

/// Returns the course of the burn over the longest window.
fn points<'a>(
    objective: Objective,
    slots: impl Iterator<Item = &'a LevelSlot>,
    target: f64,
    minute: u64,
) -> Vec<BurnPoint> {
    let longest = u64::from(WINDOW_MINUTES[WINDOW_MINUTES.len() - 1]);
    let first = (minute + 1).saturating_sub(longest);
    let mut parts: BTreeMap<u64, Vec<&LevelSlot>> = BTreeMap::new();
    for slot in slots.filter(|slot| slot.minute >= first) {
        parts.entry(slot.minute / POINT_MINUTES).or_default().push(slot);
    }
    let point = |(part, slots): (u64, Vec<&LevelSlot>)| {
        let (bad, total) = sum(objective, slots.into_iter());
        let minute = part * POINT_MINUTES;
        (total > 0).then(|| BurnPoint { minute, burn_rate: rate(bad, total, target) })
    };
    parts.into_iter().filter_map(point).collect()
}

/// Returns the bad events and all events of an objective.
fn sum<'a>(objective: Objective, slots: impl Iterator<Item = &'a LevelSlot>) -> (u64, u64) {
    slots.fold((0, 0), |(bad, total), slot| {
        let (good, all) = match objective {
            Objective::FirstToken => (slot.first_tokens_met, slot.first_tokens),
            Objective::BetweenTokens => (slot.token_intervals_met, slot.token_intervals),
            Objective::WholeAnswers => (slot.whole_answers, slot.answers),
            Objective::GroupDowntime => (slot.groups_serving, slot.groups_wanted),
            Objective::StrandedAccelerators => {
                let used = slot.accelerators.saturating_sub(slot.accelerators_stranded);
                (used, slot.accelerators)
            }
        };
        (bad + u64::from(all.saturating_sub(good)), total + u64::from(all))
    })
}

fn rate(bad: u64, total: u64, target: f64) -> f64 {
    let allowed = 1.0 - target;
    match total {
        0 => 0.0,
        total => bad as f64 / total as f64 / allowed,
    }
}

/// Returns the part of a window for which the nodes have history; a missing node has none.
fn coverage(snapshots: &[LevelSnapshot], missing: usize, minutes: u32, minute: u64) -> f64 {
    let nodes = snapshots.len() + missing;
    let length = f64::from(minutes);
    let covered = snapshots.iter().map(|snapshot| {
        let age = (minute + 1).saturating_sub(snapshot.since_minute) as f64;
        (age / length).min(1.0)
    });
    covered.sum::<f64>() / nodes.max(1) as f64
}

fn alert(windows: &[BurnWindow]) -> BurnAlert {
    let exceeds = |minutes: u32, limit: f64| {
        windows.iter().any(|window| window.minutes == minutes && window.burn_rate >= limit)
    };
    if exceeds(5, FAST_RATE) && exceeds(60, FAST_RATE) {
        BurnAlert::Fast
    } else if exceeds(30, SLOW_RATE) && exceeds(360, SLOW_RATE) {
        BurnAlert::Slow
    } else {
        BurnAlert::None
    }
}

fn summary<'a>(latencies: impl Iterator<Item = &'a Latencies>) -> LatencySummary {
    let mut merged = Latencies::default();
    for part in latencies {
        merged.merge(part);
    }
    let quantile = |part: f64| merged.quantile(part).unwrap_or_default();
    LatencySummary { p50: quantile(0.5), p95: quantile(0.95), p99: quantile(0.99) }
}
