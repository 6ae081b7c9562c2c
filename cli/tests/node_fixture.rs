//! Runs the program against an in-process operator API.

use guavaladder_lib::clock::Clock;
use guavaladder_lib::cx::Cx;
use guavaladder_lib::generated::settings::DaemonSettings;
use guavaladder_lib::http_server::HttpListener;
use guavaladder_lib::http_server::HttpServer;
use guavaladder_lib::metrics::Metrics;
use guavaladder_lib::operator_api::OperatorApi;
use guavaladder_lib::token_hash::hash_token;
use serde_json::json;
use std::process::Command;
use std::process::Stdio;

/// Bearer token that the API accepts.
pub const TOKEN: &str = "first";

/// Exit status and output of a finished run of the program.
#[derive(Debug)]
pub struct RunOutput {
    /// Exit status.
    pub status: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs the program with `token` in its environment and the endpoints variable removed.
pub async fn run_with(args: Vec<String>, token: Option<&str>) -> RunOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_guavaladder"));
    command.args(args).env_remove("GUAVALADDER_ENDPOINTS").env_remove("GUAVALADDER_TOKEN");
    command.env("USER", "tester").stdin(Stdio::null());
    if let Some(token) = token {
        command.env("GUAVALADDER_TOKEN", token);
    }
    let output = tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap();
    RunOutput {
        status: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A node that serves the operator API.
pub struct TestNode {
    /// Context of the node.
    pub cx: Cx,
    /// Address of the operator API.
    pub endpoint: String,
    _server: HttpServer,
}

impl TestNode {
    /// Starts a node without a store.
    pub async fn new() -> Self {
        Self::with_api(|cx| OperatorApi::new(cx.clone())).await
    }

    /// Starts a node that serves the API returned by `build`.
    pub async fn with_api(build: impl FnOnce(&Cx) -> OperatorApi) -> Self {
        let settings: DaemonSettings = serde_json::from_value(json!({
            "node": "entry-1", "data_centre": "dc-1", "region": "agreste",
            "platform": "127.0.0.1:1", "fleet_key_file": "/dev/null",
            "caller_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0", "bootstrap_operator": hash_token(TOKEN),
        }))
        .unwrap();
        let cx = Cx::new(settings, Clock::new(), Metrics::new());
        let listener = HttpListener::bind("operator_listen", "127.0.0.1:0").await.unwrap();
        let endpoint = listener.local_addr().unwrap().to_string();
        let server = listener.serve(build(&cx).router(), 64);
        Self { cx, endpoint, _server: server }
    }

    /// Runs the program against the node, with the accepted token.
    pub async fn run(&self, args: &[&str]) -> RunOutput {
        self.run_as(args, TOKEN).await
    }

    /// Runs the program against the node, with the given token.
    pub async fn run_as(&self, args: &[&str], token: &str) -> RunOutput {
        let mut all_args: Vec<String> = args.iter().map(|arg| arg.to_string()).collect();
        all_args.extend(["--endpoint".to_string(), self.endpoint.clone()]);
        run_with(all_args, Some(token)).await
    }
}
