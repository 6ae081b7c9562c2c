//! Tests of the log of a daemon on the users' platform: secrets that must not be logged, and standard
//! output that is never read or is closed.

use crate::process::ServingDaemon;
use crate::process::TestDir;
use guavaladder_platform_testutils::Call;
use guavaladder_platform_testutils::FakePlatform;
use guavaladder_platform_testutils::FakeStore;
use guavaladder_platform_testutils::InstanceMode;
use guavaladder_platform_testutils::InstanceSpec;
use guavaladder_platform_testutils::config;
use guavaladder_platform_testutils::spawn_instance;
use http::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// Text that only occurs in API keys and request bodies.
const MARKER: &str = "marker-7c1e";
/// Number of rejected requests while the log is not read.
const REJECTED_REQUESTS: usize = 2000;
/// Maximum number of concurrent requests.
const MAX_CONCURRENT: usize = 50;
/// Timeout for conditions that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A fake platform with one instance of a plain service, and settings for a daemon that uses it.
struct TestPlatform {
    fake_platform: FakePlatform,
    dir: TestDir,
    settings: String,
    callers: SocketAddr,
}

impl TestPlatform {
    async fn new(test: &str, log: Value) -> Self {
        let store = FakeStore::start().await;
        let mut configuration = config(5);
        configuration["tenants"][0]["apiKeys"] = json!(["key-1", format!("{MARKER}-known")]);
        store.put("config", "main", configuration);
        let fake_platform = FakePlatform::new(store);
        let (id, service) = ("p-00".to_string(), "orders".to_string());
        let data_centre = "east".to_string();
        spawn_instance(&fake_platform, InstanceSpec { id, service, domain: None, data_centre })
            .await;
        let dir = TestDir::new(test);
        let mut settings = dir.serving_settings(&fake_platform.store.address.to_string());
        settings["log"] = log;
        let callers = settings["listen"]["callers"].as_str().unwrap().parse().unwrap();
        let settings = dir.write("settings.json", &settings.to_string());
        Self { fake_platform, dir, settings, callers }
    }

    async fn wait_until_serving(&self) {
        let start = Instant::now();
        while Call::new(Method::GET, "/look/a").status(self.callers).await != 200 {
            assert!(start.elapsed() < WAIT_TIMEOUT, "the node did not start serving");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[rstest]
#[case::text("text")]
#[case::json("json")]
#[tokio::test]
async fn keys_and_bodies_are_not_logged(#[case] format: &str) {
    let name = format!("markers-{format}");
    let log = json!({"format": format, "level": "debug"});
    let platform = TestPlatform::new(&name, log).await;
    let out = platform.dir.write("log", "");
    let _daemon =
        ServingDaemon::start(&platform.settings, Stdio::from(File::create(&out).unwrap()));
    platform.wait_until_serving().await;
    let call = |key: &str| {
        let call = Call::new(Method::POST, "/book/a").with_body(&format!("{MARKER}-body"));
        call.with_key(Some(&format!("{MARKER}-{key}")))
    };
    let (served, unknown) = (call("known"), call("unknown"));
    assert_eq!(served.status(platform.callers).await, 200);
    assert_eq!(unknown.status(platform.callers).await, 401);
    platform.fake_platform.set_mode("p-00", InstanceMode::LosesResponses);
    let lost = call("known");
    assert!(lost.status(platform.callers).await >= 500);
    platform.fake_platform.set_mode("p-00", InstanceMode::Refuses);
    let rejected = call("known");
    assert!(rejected.status(platform.callers).await >= 500);
    let start = Instant::now();
    let logged = [&unknown.id, &lost.id, &rejected.id];
    loop {
        let text = fs::read_to_string(&out).unwrap();
        if logged.iter().all(|id| text.contains(*id)) {
            assert!(!text.contains(MARKER), "{text}");
            return;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the log does not contain all of {logged:?}: {text}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Thousands of rejected requests fill the log while standard output is never read or was closed.
/// Blocking on the full pipe, or an error from the closed one, must not stop the daemon.
#[rstest]
#[case::never_read(false)]
#[case::reader_closed(true)]
#[tokio::test]
async fn node_keeps_serving_when_log_is_not_read(#[case] is_closed: bool) {
    let platform =
        TestPlatform::new(&format!("reader-{is_closed}"), json!({"level": "debug"})).await;
    let mut daemon = ServingDaemon::start(&platform.settings, Stdio::piped());
    if is_closed {
        daemon.close_stdout();
    }
    platform.wait_until_serving().await;
    let mut responses = tokio::task::JoinSet::new();
    let mut rejected = 0;
    for _ in 0..REJECTED_REQUESTS {
        let callers = platform.callers;
        responses.spawn(async move {
            let call = Call::new(Method::POST, "/book/a").with_key(Some("unknown"));
            call.status(callers).await
        });
        if responses.len() >= MAX_CONCURRENT {
            rejected += usize::from(responses.join_next().await.unwrap().unwrap() == 401);
        }
    }
    while let Some(status) = responses.join_next().await {
        rejected += usize::from(status.unwrap() == 401);
    }
    assert_eq!(rejected, REJECTED_REQUESTS);
    assert_eq!(Call::new(Method::GET, "/look/a").status(platform.callers).await, 200);
    assert!(daemon.is_running());
}
