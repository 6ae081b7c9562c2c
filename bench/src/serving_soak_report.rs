//! Figures of a run of the serving soak.

use crate::serving_soak_callers::KINDS;
use crate::serving_soak_callers::Outcome;
use crate::serving_soak_callers::RequestRecord;
use crate::serving_soak_cuts;
use crate::serving_soak_cuts::CutKind;
use crate::serving_soak_oracle::Evidence;
use std::collections::BTreeMap;
use std::fmt;

/// Figures of a run, which are comparable between builds with the same seed, and its violations.
#[derive(Debug, Default)]
pub struct Report {
    /// Harmless requests by kind.
    pub kinds: BTreeMap<&'static str, KindFigures>,
    /// Harmless requests that were cut, by kind of cut.
    pub cuts: BTreeMap<CutKind, usize>,
    /// Crashes of instances, over all requests that cause them.
    pub crash_runs: usize,
    /// Number of connections that could not be opened.
    pub unconnected: usize,
    /// Number of times that a daemon had not exited in time.
    pub overdue: usize,
    /// Violations of the platform's rules.
    pub violations: Vec<String>,
}

/// Figures of a kind of harmless request.
#[derive(Debug, Default)]
pub struct KindFigures {
    /// Number of requests.
    pub sent: usize,
    /// Requests by outcome.
    pub outcomes: BTreeMap<Outcome, usize>,
    /// Arrivals at instances beyond the first of each request.
    pub resent: usize,
}

impl Report {
    /// Counts the requests of a run.
    pub fn new(
        evidence: &Evidence,
        violations: Vec<String>,
        unconnected: usize,
        overdue: usize,
    ) -> Self {
        let kinds = KINDS.iter().map(|(_, kind, _)| (*kind, figures_of(evidence, kind))).collect();
        let cuts = serving_soak_cuts::cuts(evidence);
        let cuts = cuts.into_iter().map(|(kind, requests)| (kind, requests.len())).collect();
        let crash_runs = evidence.crash_runs.len();
        Self { kinds, cuts, crash_runs, unconnected, overdue, violations }
    }

    /// Returns the number of harmless requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.kinds.values().filter_map(|figures| figures.outcomes.get(&outcome)).sum()
    }
}

fn figures_of(evidence: &Evidence, kind: &str) -> KindFigures {
    let mut figures = KindFigures::default();
    let is_meant = |r: &&RequestRecord| r.kind == kind && r.purpose.is_harmless();
    for request in evidence.requests.iter().filter(is_meant) {
        figures.sent += 1;
        *figures.outcomes.entry(request.outcome).or_default() += 1;
        figures.resent += evidence.arrivals_of(request).len().saturating_sub(1);
    }
    figures
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, KindFigures { sent, outcomes, resent }) in &self.kinds {
            write!(f, "\n{kind}: sent {sent}, {outcomes:?}, resent {resent}")?;
        }
        write!(f, "\ncut: {:?}", self.cuts)?;
        let (crashes, unconnected) = (self.crash_runs, self.unconnected);
        write!(f, "\ncrashes {crashes}, unconnected {unconnected}, overdue {}", self.overdue)?;
        for violation in &self.violations {
            write!(f, "\nviolation: {violation}")?;
        }
        Ok(())
    }
}
