//! Tests of argument errors and help texts.

use crate::node_fixture::run_with;
use rstest::rstest;

async fn run(command_line: &str) -> crate::node_fixture::RunOutput {
    let args = command_line.split(' ').filter(|arg| !arg.is_empty()).map(str::to_string).collect();
    run_with(args, Some("token")).await
}

#[rstest]
#[case::unknown_first_word("stauts", "did you mean `status`?")]
#[case::unknown_second_word("config put", "use one of: config get, config diff")]
#[case::group_without_subcommand(
    "service",
    "use one of: service create, service list, service show"
)]
#[case::nothing_similar("frobnicate", "see `guavaladder help`")]
#[case::unknown_option("status --verbose", "Unrecognized option: 'verbose'")]
#[case::option_of_another_subcommand("status --kind engine", "`status` takes no --kind")]
#[case::missing_argument("why", "`why` needs ID")]
#[case::extra_argument("status now", "unexpected argument \"now\"")]
#[case::missing_value("status --endpoint", "Argument to option 'endpoint' missing")]
#[case::no_endpoint("status", "give --endpoint IP:PORT")]
#[case::bad_endpoint("status --endpoint entry:1", "allowed: `ip:port`")]
#[case::config_without_reason("config apply f --endpoint 127.0.0.1:1", "--reason is required")]
#[case::exception_without_reason("exception add x --endpoint 127.0.0.1:1", "--reason is required")]
#[case::no_file("config diff /no/file --endpoint 127.0.0.1:1", "/no/file: No such file")]
#[case::no_token_file("status --endpoint 127.0.0.1:1 --token-file /no/file", "/no/file")]
#[case::bad_number("config history --limit x --endpoint 127.0.0.1:1", "allowed: a whole number")]
#[case::two_kinds(
    "exception add x --reason why --cordon-domain a --cordon-instance b --endpoint 127.0.0.1:1",
    "found 2 kinds of exception"
)]
#[tokio::test]
async fn wrong_arguments_exit_with_hint(#[case] command_line: &str, #[case] expected: &str) {
    let run = run(command_line).await;
    assert_eq!((run.status, run.stdout.as_str()), (2, ""), "{run:?}");
    assert!(run.stderr.starts_with("error: "), "{run:?}");
    assert!(run.stderr.contains(expected) && run.stderr.contains("hint: "), "{run:?}");
}

#[rstest]
#[case::nothing("", "Subcommands:")]
#[case::help("help", "exception remove ID")]
#[case::help_subcommand("help config apply", "Usage: guavaladder config apply FILE [OPTIONS]")]
#[case::help_option("exception add --help", "--expires-in SECONDS")]
#[case::version("--version", "guavaladder 0.")]
#[tokio::test]
async fn help_and_version(#[case] command_line: &str, #[case] expected: &str) {
    let run = run(command_line).await;
    assert_eq!((run.status, run.stderr.as_str()), (0, ""));
    assert!(run.stdout.contains(expected), "{run:?}");
}

#[tokio::test]
async fn missing_token() {
    let args = ["status", "--endpoint", "127.0.0.1:1"].map(str::to_string).to_vec();
    let run = run_with(args, None).await;
    assert_eq!(run.status, 2);
    assert!(run.stderr.contains("no token given; hint: give --token-file FILE"), "{run:?}");
}
