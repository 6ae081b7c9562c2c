//! Tests of the callers' oracle with deliberately broken records.

use guavaladder_bench::call_oracle::CallOracle;
use guavaladder_bench::call_oracle::CallPromise;
use guavaladder_bench::call_record::Asked;
use guavaladder_bench::call_record::CallRecord;
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

fn record(asked: Asked, key: Option<&str>, outcome: Outcome) -> CallRecord {
    CallRecord {
        asked,
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
    let asked = Asked::Generate {
        service: "drafting".to_string(),
        prompt: PROMPT.to_string(),
        max_tokens: 50,
    };
    record(asked, None, outcome)
}

fn call(outcome: Outcome) -> CallRecord {
    let asked = Asked::Plain {
        service: "filing".to_string(),
        path: "pay".to_string(),
        body: "{}".to_string(),
    };
    record(asked, Some(KEY), outcome)
}

fn whole_text() -> String {
    ModelOutput::new("m", "1", None, PROMPT, 50).text()
}

fn check(executions: &[Execution], record: CallRecord) -> Vec<CallPromise> {
    let oracle = CallOracle::new(executions).with_model("drafting", "m", "1");
    oracle.check(&[record]).into_iter().map(|violation| violation.promise).collect()
}

#[rstest]
#[case::right(whole_text(), vec![])]
#[case::cut(whole_text()[..20].to_string(), vec![CallPromise::WholeAnswer])]
#[case::of_another(ModelOutput::new("m", "1", None, "other", 50).text(), vec![CallPromise::WholeAnswer])]
#[case::of_another_version(
    ModelOutput::new("m", "2", None, PROMPT, 50).text(), vec![CallPromise::WholeAnswer])]
fn check_whole_answer(#[case] text: String, #[case] expected: Vec<CallPromise>) {
    let executions = [execution(1, PROMPT, None, 0)];
    assert_eq!(check(&executions, generation(Outcome::Whole(text))), expected);
}

#[rstest]
#[case::cut(Outcome::Cut("gone".to_string()), CallPromise::ClearOutcome)]
#[case::malformed(Outcome::Malformed("gap".to_string()), CallPromise::WholeAnswer)]
fn check_unclear_outcome(#[case] outcome: Outcome, #[case] expected: CallPromise) {
    assert_eq!(check(&[], generation(outcome)), [expected]);
}

#[rstest]
#[case::never(&[], vec![CallPromise::AtMostOnce])]
#[case::once(&[1], vec![])]
#[case::twice(&[1, 2], vec![CallPromise::AtMostOnce])]
fn check_runs_of_answered_key(#[case] at: &[u64], #[case] expected: Vec<CallPromise>) {
    let executions: Vec<Execution> =
        at.iter().map(|at| execution(*at, "pay {}", Some(KEY), 0)).collect();
    let outcome = Outcome::Whole(plain_response("filing", "pay", "{}"));
    assert_eq!(check(&executions, call(outcome)), expected);
}

#[rstest]
#[case::never(&[], vec![])]
#[case::before_the_answer(&[2], vec![CallPromise::NotRunWasNotRun])]
#[case::long_after_the_answer(&[8], vec![CallPromise::NotRunWasNotRun])]
fn check_refused_key(#[case] at: &[u64], #[case] expected: Vec<CallPromise>) {
    let executions: Vec<Execution> =
        at.iter().map(|at| execution(*at, "pay {}", Some(KEY), 0)).collect();
    let mut record = call(Outcome::NotRun("ledger_away".to_string()));
    record.refusals.push(Refusal {
        sent: seconds(1),
        told: seconds(3),
        code: "ledger_away".to_string(),
        key: Some(KEY.to_string()),
        emitted: 0,
    });
    assert_eq!(check(&executions, record), expected);
}

#[rstest]
#[case::during(2, vec![CallPromise::NotRunWasNotRun])]
#[case::at_a_later_attempt(5, vec![])]
fn check_refused_generation(#[case] at: u64, #[case] expected: Vec<CallPromise>) {
    let executions = [execution(at, PROMPT, None, 0)];
    let mut record = generation(Outcome::Whole(whole_text()));
    record.refusals.push(Refusal {
        sent: seconds(1),
        told: seconds(3),
        code: "no_replica".to_string(),
        key: None,
        emitted: 0,
    });
    assert_eq!(check(&executions, record), expected);
}
