//! Shapes of the simulated fleets and generation of their failures from a seed.

use guavaladder_lib::generated::platform::InstanceInfo;
use guavaladder_testutils::control_fleet::engine_info;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3600);
const DAY: Duration = Duration::from_secs(86_400);

/// Time until the platform has replaced a failed instance.
const REPLACEMENT_TIME: Duration = Duration::from_secs(30 * 60);
/// Duration of a restart of an instance.
const RESTART_TIME: Duration = Duration::from_secs(60);

/// Domains and services of a simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetShape {
    /// Name of the shape in the report.
    pub name: &'static str,
    /// Numbers of instances of the domains, repeated cyclically for all `domains`.
    pub domain_sizes: &'static [usize],
    /// Number of fabric domains.
    pub domains: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of wanted groups and instances per group of the two services.
    pub services: [(u32, u32); 2],
}

/// The present size: 50 replicas of 4 instances and 3 replicas of 1 instance.
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

/// A failure in the simulated fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// An instance fails and returns without an assignment.
    Instance {
        /// Index of the domain.
        domain: usize,
        /// Index of the instance in the domain.
        index: usize,
        /// Time until the instances return.
        downtime: Duration,
    },
    /// All instances of a domain fail.
    Domain {
        /// Index of the domain.
        domain: usize,
        /// Time until the instances return.
        downtime: Duration,
    },
    /// All instances of a data centre fail.
    DataCentre {
        /// Index of the data centre.
        data_centre: usize,
        /// Time until the instances return.
        downtime: Duration,
    },
    /// The platform's store accepts no writes.
    Store {
        /// Length of the outage.
        length: Duration,
    },
}

/// Returns the failures of `days` days in order of time.
///
/// The mean rates are, for 6,182 instances, 9 instance failures and 120 restarts per day, which
/// scale with the number of instances, and for every fleet one loss of a domain in 45 days, one
/// loss of a data centre in 60 days and three store outages of 5 minutes to 2 hours in 30 days.
pub fn trace(shape: &FleetShape, days: u32, seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let sizes: Vec<usize> = shape.instances().iter().map(Vec::len).collect();
    let scale = sizes.iter().sum::<usize>() as f64 / 6182.0;
    let duration = DAY * days;
    let mut faults = vec![];
    let times = |rng: &mut StdRng, per_day: f64| -> Vec<Duration> {
        let mut at = Duration::ZERO;
        let mut times = vec![];
        loop {
            let days_until_next = -rng.random_range(f64::EPSILON..1.0f64).ln() / per_day;
            at += DAY.mul_f64(days_until_next);
            if at >= duration {
                return times;
            }
            times.push(at);
        }
    };
    for (per_day, downtime) in [(9.0 * scale, REPLACEMENT_TIME), (120.0 * scale, RESTART_TIME)] {
        for at in times(&mut rng, per_day) {
            let domain = rng.random_range(0..sizes.len());
            let index = rng.random_range(0..sizes[domain]);
            faults.push((at, Fault::Instance { domain, index, downtime }));
        }
    }
    for at in times(&mut rng, 1.0 / 45.0) {
        let domain = rng.random_range(0..sizes.len());
        let downtime = MINUTE * rng.random_range(10..90);
        faults.push((at, Fault::Domain { domain, downtime }));
    }
    for at in times(&mut rng, 1.0 / 60.0) {
        let data_centre = rng.random_range(0..shape.data_centres);
        let downtime = MINUTE * rng.random_range(10..60);
        faults.push((at, Fault::DataCentre { data_centre, downtime }));
    }
    for at in times(&mut rng, 0.1) {
        let length = (MINUTE * rng.random_range(5..120)).min(2 * HOUR);
        faults.push((at, Fault::Store { length }));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}
