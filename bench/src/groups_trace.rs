//! Seeded failures of a simulated month and the fleets that they hit.

use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_testutils::control_fleet::engine_info;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(86_400);

/// Time after which a failed instance is replaced by the platform.
const REPLACED_AFTER: Duration = Duration::from_secs(30 * 60);
/// Time that a restart takes.
const RESTART: Duration = Duration::from_secs(60);

/// Services of the simulated fleet: wanted groups and instances in each.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetShape {
    /// Name in the report.
    pub name: &'static str,
    /// Domain sizes, repeated until `domains` are made.
    pub domain_sizes: &'static [usize],
    /// Number of fabric domains.
    pub domains: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Wanted groups and group sizes of the two services.
    pub services: [(u32, u32); 2],
}

/// Today's size: 50 and 3 replicas of 4 instances.
pub const TODAY: FleetShape = FleetShape {
    name: "today",
    domain_sizes: &[17, 26, 25, 29, 24],
    domains: 9,
    data_centres: 3,
    services: [(50, 4), (3, 1)],
};

/// The target size: 780 replicas on 6,182 instances of one accelerator in 7 data centres.
pub const TARGET: FleetShape = FleetShape {
    name: "target",
    domain_sizes: &[25, 34, 41, 42, 50],
    domains: 161,
    data_centres: 7,
    services: [(696, 8), (84, 4)],
};

impl FleetShape {
    /// Returns the instances by domain.
    pub fn instances(&self) -> Vec<Vec<InstanceInfo>> {
        let domain = |index: usize| {
            let size = self.domain_sizes[index % self.domain_sizes.len()];
            let data_centre = format!("dc{}", index % self.data_centres);
            let id = format!("d{index:03}");
            (0..size).map(|i| engine_info(&id, &data_centre, i)).collect()
        };
        (0..self.domains).map(domain).collect()
    }
}

/// One failure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance is down for a time and comes back idle.
    Instance {
        /// Index of the domain.
        domain: usize,
        /// Index in the domain.
        index: usize,
        /// Time until it is back.
        back_after: Duration,
    },
    /// A whole domain is down.
    Domain {
        /// Index of the domain.
        domain: usize,
        /// Time until it is back.
        back_after: Duration,
    },
    /// A whole data centre is down.
    DataCentre {
        /// Index of the data centre.
        data_centre: usize,
        /// Time until it is back.
        back_after: Duration,
    },
    /// The platform's store takes no writes.
    Store {
        /// Length of the outage.
        length: Duration,
    },
}

/// Returns the failures of `days` days by time: at 6,182 instances 9 instance failures and 120
/// restarts a day, a domain lost every 45 days, a data centre every 60, and three store outages of
/// 5 minutes to 2 hours a month; instance failures scale with the fleet.
pub fn trace(shape: &FleetShape, days: u32, seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let sizes: Vec<usize> = shape.instances().iter().map(Vec::len).collect();
    let scale = sizes.iter().sum::<usize>() as f64 / 6182.0;
    let span = DAY * days;
    let mut faults = vec![];
    let times = |rng: &mut StdRng, per_day: f64| -> Vec<Duration> {
        let mut at = Duration::ZERO;
        let mut times = vec![];
        loop {
            let gap = -rng.random_range(f64::EPSILON..1.0f64).ln() / per_day;
            at += DAY.mul_f64(gap);
            if at >= span {
                return times;
            }
            times.push(at);
        }
    };
    for (per_day, back_after) in [(9.0 * scale, REPLACED_AFTER), (120.0 * scale, RESTART)] {
        for at in times(&mut rng, per_day) {
            let domain = rng.random_range(0..sizes.len());
            let index = rng.random_range(0..sizes[domain]);
            faults.push((at, Fault::Instance { domain, index, back_after }));
        }
    }
    for at in times(&mut rng, 1.0 / 45.0) {
        let domain = rng.random_range(0..sizes.len());
        let back_after = MINUTE * rng.random_range(10..90);
        faults.push((at, Fault::Domain { domain, back_after }));
    }
    for at in times(&mut rng, 1.0 / 60.0) {
        let data_centre = rng.random_range(0..shape.data_centres);
        let back_after = MINUTE * rng.random_range(10..60);
        faults.push((at, Fault::DataCentre { data_centre, back_after }));
    }
    for at in times(&mut rng, 0.1) {
        let length = (MINUTE * rng.random_range(5..120)).min(2 * HOUR);
        faults.push((at, Fault::Store { length }));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}
