//! The burn report: how fast the error budgets of the objectives are consumed, computed from the
//! measurements of all nodes.
//!
//! A burn rate is the fraction of bad events divided by the fraction that the objective allows. An
//! alert requires that both a long and a short window exceed a burn rate: the long window ignores
//! brief spikes, and the short one ends the alert soon after its cause (Google SRE workbook,
//! chapter 5).

use crate::cx::Cx;
use crate::fleet_handle::FleetHandle;
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
use crate::service_levels::CounterSlot;
use crate::service_levels::LatencyHistogram;
use crate::service_levels::SLOT_DURATION;
use crate::service_levels::ServiceLevelSnapshot;
use crate::service_levels::ServiceWindow;
use std::collections::BTreeMap;
use std::time::Duration;

/// Window lengths in minutes: 5 and 60 for the fast alert, 30 and 360 for the slow one.
const WINDOW_MINUTES: [u32; 4] = [5, 30, 60, 360];
/// Burn rate that raises the fast alert in the 5 and 60 minute windows; it consumes 2% of a month's
/// budget in an hour.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate that raises the slow alert in the 30 and 360 minute windows; it consumes 5% of a
/// month's budget in six hours.
const SLOW_BURN_RATE: f64 = 6.0;
/// Minutes that one plotted point covers.
const POINT_MINUTES: u64 = 10;
/// All objectives, in the order in which a report lists them.
const OBJECTIVES: [Objective; 5] = [
    Objective::FirstToken,
    Objective::BetweenTokens,
    Objective::WholeAnswers,
    Objective::GroupDowntime,
    Objective::StrandedAccelerators,
];

/// Targets of the objectives, as fractions of good events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnTargets {
    /// Fraction of requests that must meet the latency objectives.
    pub latency: f64,
    /// Fraction of requests that must get a complete response.
    pub whole_answers: f64,
    /// Fraction of the time that groups must serve, and of the accelerators that must be in use.
    pub availability: f64,
}

impl BurnTargets {
    /// Returns the targets that the configuration sets.
    pub fn new(defaults: &Defaults) -> Self {
        Self {
            latency: defaults.latency_target,
            whole_answers: defaults.whole_answer_target,
            availability: defaults.availability_target,
        }
    }

    fn target(&self, objective: Objective) -> f64 {
        match objective {
            Objective::FirstToken | Objective::BetweenTokens => self.latency,
            Objective::WholeAnswers => self.whole_answers,
            Objective::GroupDowntime | Objective::StrandedAccelerators => self.availability,
        }
    }
}

/// Collects the measurements of all nodes and computes the report; `None` if this node has no
/// configuration yet.
pub async fn collect(cx: &Cx, fleet: &FleetHandle) -> Option<BurnReport> {
    let record = cx.config.get()?;
    let (snapshots, missing) = fleet.collect_service_levels().await;
    let targets = BurnTargets::new(&record.config.defaults);
    Some(merge(&snapshots, missing, &targets, cx.clock.unix()))
}

/// Computes a report from the measurements of the nodes; `missing` names those that did not
/// respond.
pub fn merge(
    snapshots: &[ServiceLevelSnapshot],
    missing: Vec<String>,
    targets: &BurnTargets,
    now: Duration,
) -> BurnReport {
    let minute = now.as_secs() / SLOT_DURATION.as_secs();
    let longest = u64::from(WINDOW_MINUTES[WINDOW_MINUTES.len() - 1]);
    let has_short_history =
        |snapshot: &&ServiceLevelSnapshot| snapshot.since_minute + longest > minute;
    let mut windows: BTreeMap<&ServiceId, Vec<&ServiceWindow>> = BTreeMap::new();
    for (service, window) in snapshots.iter().flat_map(|snapshot| &snapshot.services) {
        windows.entry(service).or_default().push(window);
    }
    let services = windows
        .into_iter()
        .map(|(service, windows)| ServiceBurn {
            service: service.clone(),
            objectives: objective_burns(&windows, snapshots, missing.len(), targets, minute),
            first_token: latency_summary(windows.iter().map(|window| &window.first_token)),
            between_tokens: latency_summary(windows.iter().map(|window| &window.between_tokens)),
        })
        .collect();
    BurnReport {
        unix: now,
        nodes: snapshots.iter().map(|snapshot| snapshot.node.clone()).collect(),
        thin: snapshots
            .iter()
            .filter(has_short_history)
            .map(|snapshot| snapshot.node.clone())
            .collect(),
        missing,
        services,
    }
}

fn objective_burns(
    windows: &[&ServiceWindow],
    snapshots: &[ServiceLevelSnapshot],
    missing: usize,
    targets: &BurnTargets,
    minute: u64,
) -> Vec<ObjectiveBurn> {
    let mut burns = vec![];
    for objective in OBJECTIVES {
        let target = targets.target(objective);
        let slots = || windows.iter().flat_map(|window| &window.slots);
        let window = |minutes: u32| {
            let first = (minute + 1).saturating_sub(u64::from(minutes));
            let (bad, total) = count_events(objective, slots().filter(|slot| slot.minute >= first));
            let coverage = coverage(snapshots, missing, minutes, minute);
            BurnWindow { minutes, total, bad, burn_rate: burn_rate(bad, total, target), coverage }
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

/// Returns the burn rate over time within the longest window.
fn points<'a>(
    objective: Objective,
    slots: impl Iterator<Item = &'a CounterSlot>,
    target: f64,
    minute: u64,
) -> Vec<BurnPoint> {
    let longest = u64::from(WINDOW_MINUTES[WINDOW_MINUTES.len() - 1]);
    let first = (minute + 1).saturating_sub(longest);
    let mut buckets: BTreeMap<u64, Vec<&CounterSlot>> = BTreeMap::new();
    for slot in slots.filter(|slot| slot.minute >= first) {
        buckets.entry(slot.minute / POINT_MINUTES).or_default().push(slot);
    }
    let point = |(bucket, slots): (u64, Vec<&CounterSlot>)| {
        let (bad, total) = count_events(objective, slots.into_iter());
        let minute = bucket * POINT_MINUTES;
        (total > 0).then(|| BurnPoint { minute, burn_rate: burn_rate(bad, total, target) })
    };
    buckets.into_iter().filter_map(point).collect()
}

/// Returns the number of bad events and of all events of an objective.
fn count_events<'a>(
    objective: Objective,
    slots: impl Iterator<Item = &'a CounterSlot>,
) -> (u64, u64) {
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

fn burn_rate(bad: u64, total: u64, target: f64) -> f64 {
    let allowed = 1.0 - target;
    match total {
        0 => 0.0,
        total => bad as f64 / total as f64 / allowed,
    }
}

/// Returns the fraction of a window for which the nodes have data; a missing node counts as none.
fn coverage(snapshots: &[ServiceLevelSnapshot], missing: usize, minutes: u32, minute: u64) -> f64 {
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
    if exceeds(5, FAST_BURN_RATE) && exceeds(60, FAST_BURN_RATE) {
        BurnAlert::Fast
    } else if exceeds(30, SLOW_BURN_RATE) && exceeds(360, SLOW_BURN_RATE) {
        BurnAlert::Slow
    } else {
        BurnAlert::None
    }
}

fn latency_summary<'a>(histograms: impl Iterator<Item = &'a LatencyHistogram>) -> LatencySummary {
    let mut merged = LatencyHistogram::default();
    for histogram in histograms {
        merged.merge(histogram);
    }
    let quantile = |q: f64| merged.quantile(q).unwrap_or_default();
    LatencySummary { p50: quantile(0.5), p95: quantile(0.95), p99: quantile(0.99) }
}
