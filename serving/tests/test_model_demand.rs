//! Tests of the measured demand by model.

use guavaladder_serving::model_demand::DemandCounter;
use guavaladder_serving::model_demand::DemandEvent;
use guavaladder_serving::model_demand::DemandNews;
use guavaladder_serving::model_demand::FleetDemand;
use guavaladder_serving::model_demand::model_hash;
use guavaladder_serving::peer_codec;
use guavaladder_serving::peer_codec::PeerMessage;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const SERVICE: &str = "drafting";

/// What the callers of each node send in each second: arrivals of a model, whether they are refused, and
/// the work of one.
struct Load {
    model: &'static str,
    per_second: u32,
    is_refused: bool,
    work: Duration,
    /// Repeats of refused callers.
    repeats: u32,
}

impl Load {
    fn served(model: &'static str, per_second: u32, work_ms: u64) -> Self {
        let work = Duration::from_millis(work_ms);
        Self { model, per_second, is_refused: false, work, repeats: 0 }
    }
}

struct Fleet {
    counters: Vec<DemandCounter>,
    holder: FleetDemand,
    now: Instant,
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let now = Instant::now();
        let counters = (0..nodes).map(|_| DemandCounter::new(now)).collect();
        Self { counters, holder: FleetDemand::new(), now }
    }

    /// Runs for some seconds, in which the first `heard` nodes are heard.
    fn run(&mut self, seconds: usize, heard: usize, loads: &[Load]) {
        for _ in 0..seconds {
            for counter in &mut self.counters {
                for load in loads {
                    let model = model_hash(SERVICE, load.model);
                    let mut count = |event| counter.count(model, 1, event, self.now);
                    for _ in 0..load.per_second {
                        count(DemandEvent::Arrived { is_repeat: false });
                        count(match load.is_refused {
                            true => DemandEvent::Refused,
                            false => DemandEvent::Ended { took: load.work },
                        });
                    }
                    for _ in 0..load.repeats {
                        count(DemandEvent::Arrived { is_repeat: true });
                    }
                }
            }
            self.now += Duration::from_secs(1);
            let nodes = self.counters.len();
            for (node, counter) in self.counters.iter_mut().enumerate() {
                let news = counter.next_news(&format!("n{node}"), 1, self.now);
                if node < heard {
                    self.holder.record(news, self.now);
                }
            }
            self.holder.update(nodes, self.now);
        }
    }

    fn needed(&self) -> Option<BTreeMap<String, f64>> {
        let models = ["large", "small"].map(str::to_string);
        self.holder.needed_slots(SERVICE, models.into_iter())
    }

    fn needed_by(&self, model: &str) -> f64 {
        self.needed().expect("known demand")[model]
    }
}

fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() < 0.06 * expected, "{found}, not {expected}");
}

/// Guards against an estimate that counts less than all nodes' requests, or work in another unit: 60 nodes
/// with 6 requests of 1 s each need 360 slots.
#[test]
fn needed_slots_are_rate_times_work_over_all_nodes() {
    let mut fleet = Fleet::new(60);
    fleet.run(12, 60, &[Load::served("small", 6, 1000), Load::served("large", 1, 900)]);
    assert_near(fleet.needed_by("small"), 360.0);
    assert_near(fleet.needed_by("large"), 54.0);
}

/// Under overload most requests of a model are refused. Guards against measuring only what is served, and
/// against counting callers that come back after a refusal as further demand.
#[test]
fn refused_requests_count_once_with_the_mean_work_of_their_kind() {
    let mut fleet = Fleet::new(10);
    fleet.run(6, 10, &[Load::served("small", 10, 800)]);
    let refused = Load { is_refused: true, repeats: 10, ..Load::served("small", 10, 800) };
    fleet.run(21, 10, &[refused]);
    assert_near(fleet.needed_by("small"), 80.0);
}

/// Guards against ignoring callers whose deadlines are always short, which look like repeats.
#[test]
fn repeats_without_refusals_are_demand() {
    let mut fleet = Fleet::new(10);
    let load = [Load { repeats: 10, ..Load::served("small", 10, 1000) }];
    fleet.run(12, 10, &load);
    assert_near(fleet.needed_by("small"), 200.0);
}

/// A wave of demand has a period of 15 s. Guards against a need that falls in each trough.
#[test]
fn need_is_the_peak_of_the_last_seconds() {
    let mut fleet = Fleet::new(10);
    fleet.run(10, 10, &[Load::served("small", 20, 1000)]);
    fleet.run(12, 10, &[Load::served("small", 5, 1000)]);
    assert_near(fleet.needed_by("small"), 200.0);
    fleet.run(16, 10, &[Load::served("small", 5, 1000)]);
    assert_near(fleet.needed_by("small"), 50.0);
}

/// A holder that hears half of the nodes would see half of the demand. Guards against a plan by that: it keeps
/// what it knew, and one that never heard most nodes uses the shares.
#[test]
fn half_of_the_nodes_say_nothing_about_demand() {
    let mut fleet = Fleet::new(10);
    fleet.run(10, 5, &[Load::served("small", 10, 1000)]);
    assert_eq!(fleet.needed(), None);
    fleet.run(8, 10, &[Load::served("small", 10, 1000)]);
    assert_near(fleet.needed_by("small"), 100.0);
    fleet.run(8, 5, &[Load::served("small", 10, 1000)]);
    assert_near(fleet.needed_by("small"), 100.0);
}

/// Guards against demand that stays unknown after most of the registered nodes were lost for good.
#[test]
fn few_nodes_decide_after_a_while() {
    let mut fleet = Fleet::new(10);
    fleet.run(16, 4, &[Load::served("small", 10, 1000)]);
    assert_near(fleet.needed_by("small"), 40.0);
}

/// Guards against shares being given up before most nodes were heard for some seconds, and before any
/// request arrived.
#[test]
fn demand_is_unknown_at_the_start() {
    let mut fleet = Fleet::new(10);
    fleet.run(2, 10, &[Load::served("small", 10, 1000)]);
    assert_eq!(fleet.needed(), None);
    let mut idle = Fleet::new(10);
    idle.run(10, 10, &[]);
    assert_eq!(idle.needed(), None);
}

/// Guards against sums of a node that has died, or that arrive late or twice, counting on.
#[test]
fn old_sums_do_not_count() {
    let mut fleet = Fleet::new(10);
    fleet.run(6, 10, &[Load::served("small", 10, 1000)]);
    fleet.run(30, 8, &[Load::served("small", 10, 1000)]);
    assert_near(fleet.needed_by("small"), 80.0);
    let late = DemandNews {
        node: "n9".to_string(),
        incarnation: 1,
        sequence: 1000,
        age_ms: 60_000,
        kinds: vec![],
    };
    let (mut with, now) = (FleetDemand::new(), Instant::now());
    with.record(late, now);
    with.update(1, now + Duration::from_secs(1));
    assert_eq!(with.needed_slots(SERVICE, ["small".to_string()].into_iter()), None);
}

/// Guards against messages beyond 1 KB where a service has many routes, and against losing their sum.
#[test]
fn message_of_many_kinds_fits_one_kilobyte() {
    let start = Instant::now();
    let mut counter = DemandCounter::new(start);
    let model = model_hash(SERVICE, "small");
    for kind in 0..200 {
        let took = Duration::from_secs(900);
        counter.count(model, u64::MAX - kind, DemandEvent::Ended { took }, start);
        counter.count(model, u64::MAX - kind, DemandEvent::Arrived { is_repeat: false }, start);
    }
    let news = counter.next_news(
        "node-with-a-long-name-0123456789",
        u64::MAX,
        start + Duration::from_secs(1),
    );
    assert_eq!(news.kinds.iter().map(|kind| kind.arrivals).sum::<u32>(), 200);
    let message = peer_codec::encode(&PeerMessage::Demand(news), &[7; 32]).unwrap();
    assert!(message.len() <= 1024, "{} bytes", message.len());
}
