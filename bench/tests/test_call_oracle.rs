//! Tests that the call oracle detects violations in constructed call records.

use guavaladder_bench::call_oracle::CallOracle;
use guavaladder_bench::call_oracle::CallViolationKind;
use guavaladder_bench::call_record::CallRecord;
use guavaladder_bench::call_record::CallRequest;
use guavaladder_bench::call_record::Outcome;
use guavaladder_bench::call_record::Refusal;
use guavaladder_testutils::execution_oracle::Execution;
use guavaladder_testutils::token_text::ModelOutput;
use guavaladder_testutils::token_text::plain_response;
use rstest::rstest;
use std::time::Duration;

const PROMPT: &str = "a report";
const KEY: &str = "1-a";

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn execution(at: u64, input: &str, key: Option<&str>, offset: u32) -> Execution {
    Execution {
        at: seconds(at),
        instance: "i".to_string(),
        address: "a".to_string(),
        request: "r".to_string(),
        attempt: 1,
        group: "g".to_string(),
        epoch: 1,
        offset,
        idempotency_key: key.map(str::to_string),
        is_complete: true,
        leaving_for: None,
        input: input.to_string(),
    }
}

fn record(request: CallRequest, key: Option<&str>, outcome: Outcome) -> CallRecord {
    CallRecord {
        request,
        key: key.map(str::to_string),
        began: seconds(0),
        ended: seconds(9),
        outcome,
        refusals: vec![],
        first_token: None,
        longest_gap: Duration::ZERO,
        resumes: 0,
        moves: 0,
    }
}

fn generation(outcome: Outcome) -> CallRecord {
    let request = CallRequest::Generate {
        service: "drafting".to_string(),
        prompt: PROMPT.to_string(),
        max_tokens: 50,
    };
    record(request, None, outcome)
}

fn call(outcome: Outcome) -> CallRecord {
    let request = CallRequest::Plain {
        service: "filing".to_string(),
        path: "pay".to_string(),
        body: "{}".to_string(),
    };
    record(request, Some(KEY), outcome)
}

fn complete_text() -> String {
    ModelOutput::new("m", "1", None, PROMPT, 50).text()
}

fn check(executions: &[Execution], record: CallRecord) -> Vec<CallViolationKind> {
    let oracle = CallOracle::new(executions).with_model("drafting", "m", "1");
    oracle.check(&[record]).into_iter().map(|violation| violation.kind).collect()
}

#[rstest]
#[case::complete(complete_text(), vec![])]
#[case::truncated(complete_text()[..20].to_string(), vec![CallViolationKind::WholeAnswer])]
#[case::of_other_prompt(ModelOutput::new("m", "1", None, "other", 50).text(), vec![CallViolationKind::WholeAnswer])]
#[case::of_other_version(
    ModelOutput::new("m", "2", None, PROMPT, 50).text(), vec![CallViolationKind::WholeAnswer])]
fn check_complete_response(#[case] text: String, #[case] expected: Vec<CallViolationKind>) {
    let executions = [execution(1, PROMPT, None, 0)];
    assert_eq!(check(&executions, generation(Outcome::Complete(text))), expected);
}

#[rstest]
#[case::interrupted(Outcome::Interrupted("gone".to_string()), CallViolationKind::ClearOutcome)]
#[case::malformed(Outcome::Malformed("gap".to_string()), CallViolationKind::WholeAnswer)]
fn check_indefinite_outcome(#[case] outcome: Outcome, #[case] expected: CallViolationKind) {
    assert_eq!(check(&[], generation(outcome)), [expected]);
}

#[rstest]
#[case::never(&[], vec![CallViolationKind::AtMostOnce])]
#[case::once(&[1], vec![])]
#[case::twice(&[1, 2], vec![CallViolationKind::AtMostOnce])]
fn check_runs_of_completed_key(#[case] at: &[u64], #[case] expected: Vec<CallViolationKind>) {
    let executions: Vec<Execution> =
        at.iter().map(|at| execution(*at, "pay {}", Some(KEY), 0)).collect();
    let outcome = Outcome::Complete(plain_response("filing", "pay", "{}"));
    assert_eq!(check(&executions, call(outcome)), expected);
}

#[rstest]
#[case::never(&[], vec![])]
#[case::before_the_response(&[2], vec![CallViolationKind::NotRunWasNotRun])]
#[case::long_after_the_response(&[8], vec![CallViolationKind::NotRunWasNotRun])]
fn check_refused_key(#[case] at: &[u64], #[case] expected: Vec<CallViolationKind>) {
    let executions: Vec<Execution> =
        at.iter().map(|at| execution(*at, "pay {}", Some(KEY), 0)).collect();
    let mut record = call(Outcome::NotRun("ledger_away".to_string()));
    record.refusals.push(Refusal {
        sent: seconds(1),
        received: seconds(3),
        code: "ledger_away".to_string(),
        key: Some(KEY.to_string()),
        emitted: 0,
    });
    assert_eq!(check(&executions, record), expected);
}

#[rstest]
#[case::during(2, vec![CallViolationKind::NotRunWasNotRun])]
#[case::at_a_later_attempt(5, vec![])]
fn check_refused_generation(#[case] at: u64, #[case] expected: Vec<CallViolationKind>) {
    let executions = [execution(at, PROMPT, None, 0)];
    let mut record = generation(Outcome::Complete(complete_text()));
    record.refusals.push(Refusal {
        sent: seconds(1),
        received: seconds(3),
        code: "no_replica".to_string(),
        key: None,
        emitted: 0,
    });
    assert_eq!(check(&executions, record), expected);
}
