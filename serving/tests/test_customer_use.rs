//! Tests of the counts of customers over all nodes and of the division of the slots.

use guavaladder_serving::admission_stats::AdmissionStats;
use guavaladder_serving::admission_stats::Outcome;
use guavaladder_serving::admission_stats::RequestKeys;
use guavaladder_serving::customer_use::CustomerReport;
use guavaladder_serving::customer_use::ModelReport;
use guavaladder_serving::customer_use::UseReport;
use guavaladder_serving::customer_use::max_min_share;
use guavaladder_serving::peer_codec;
use guavaladder_serving::peer_codec::PeerMessage;
use std::time::Duration;
use tokio::time::Instant;

fn keys(customer: u32) -> RequestKeys<'static> {
    let (model, urgency, route, size) = (1, 1, "notes", 1000.0);
    RequestKeys { model, customer, urgency, route, size, fingerprint: u64::from(customer) }
}

fn report(node: &str, running: u32) -> UseReport {
    let customer = CustomerReport { customer: 1, running, asked: 320, served: 320 };
    let customers = vec![customer];
    let model = ModelReport { model: 1, asked: 320, refused: 160, on_time: 16, late: 0, customers };
    UseReport { node: node.to_string(), models: vec![model] }
}

#[test]
fn max_min_share_divides_what_small_customers_leave() {
    assert_eq!(max_min_share(vec![10.0, 20.0, 100.0, 200.0], 150.0), 60.0);
    assert_eq!(max_min_share(vec![10.0, 20.0], 30.0), f64::INFINITY);
    assert_eq!(max_min_share(vec![], 30.0), f64::INFINITY);
}

/// Guards against a customer that uses many slots through other nodes and counts as one with few, and against the
/// requests of a node that died, which must not count for longer than 4 s.
#[test]
fn use_at_other_nodes_counts_until_their_reports_are_void() {
    let (stats, start) = (AdmissionStats::new(), Instant::now());
    let outcome = Outcome { is_served: true, is_unreserved: true };
    assert_eq!(stats.record(&keys(1), outcome, start), None);
    let guard = stats.begin(1, 1, start);
    for node in ["n2", "n3"] {
        stats.apply(report(node, 40), start);
    }
    // The last report of a node replaces the one before.
    stats.apply(report("n3", 50), start);
    let measured = stats.measure(&keys(1), 60, start);
    assert_eq!(measured.customer_running, 91.0);
    assert!(measured.customer_use > 1.0 && measured.shortage > 0.4, "{measured:?}");
    drop(guard);
    let measured = stats.measure(&keys(1), 60, start + Duration::from_millis(4100));
    assert_eq!((measured.customer_running, measured.shortage), (0.0, 0.0));
}

/// Guards against a faulty sender whose counts make every customer exceed its share, or never end.
#[test]
fn implausible_counts_are_limited() {
    let (stats, now) = (AdmissionStats::new(), Instant::now());
    stats.record(&keys(1), Outcome { is_served: true, is_unreserved: true }, now);
    let mut faulty = report("n2", u32::MAX);
    faulty.models[0].refused = u32::MAX;
    faulty.models[0].customers = vec![faulty.models[0].customers[0].clone(); 60_000];
    stats.apply(faulty, now);
    let measured = stats.measure(&keys(2), 60, now);
    assert!(measured.shortage <= 1.0 && measured.customer_use == 0.0, "{measured:?}");
}

/// Guards against messages that grow with the number of customers, and against any while there is capacity.
#[test]
fn reports_are_small_and_end_with_the_shortage() {
    let (stats, now) = (AdmissionStats::new(), Instant::now());
    for customer in 0..500u32 {
        let served = Outcome { is_served: true, is_unreserved: true };
        stats.record(&keys(customer.wrapping_mul(0x9e37_79b9)), served, now);
    }
    assert_eq!(stats.report("n1", now), None);
    let refused = Outcome { is_served: false, is_unreserved: true };
    assert!(stats.record(&keys(3), refused, now).is_some());
    let message = PeerMessage::CustomerUse(stats.report("n1", now).unwrap());
    let bytes = peer_codec::encode(&message, &[7; 32]).unwrap();
    assert!(bytes.len() <= 1024, "{} bytes", bytes.len());
    assert_eq!(peer_codec::decode(&bytes, &[7; 32]).unwrap(), message);
    assert_eq!(stats.report("n1", now + Duration::from_secs(5)), None);
}

/// Guards against a caller that comes back at once and counts as one that waited.
#[test]
fn refused_request_is_early_until_its_time_is_over() {
    let (stats, now) = (AdmissionStats::new(), Instant::now());
    stats.record_refused(3, Duration::from_secs(1), now);
    let is_early = |ms| stats.measure(&keys(3), 60, now + Duration::from_millis(ms)).is_early;
    assert!(is_early(20) && !is_early(1000));
}
