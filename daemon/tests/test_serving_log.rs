//! Tests of the log of a node on the users' platform as a process: what it never holds, and readers
//! that stop or go away.

use crate::process::Folder;
use crate::process::ServingDaemon;
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

/// Text that stands in keys and bodies only.
const MARKER: &str = "marker-7c1e";
/// Requests that fail while nobody reads the log.
const FAILING: usize = 2000;
/// Requests that are under way at a time.
const AT_ONCE: usize = 50;
/// Longest wait for something that a test expects to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// The stand-ins for a platform with one plain instance.
struct Platform {
    fake_platform: FakePlatform,
    folder: Folder,
    settings: String,
    callers: SocketAddr,
}

impl Platform {
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
        let folder = Folder::new(test);
        let mut settings = folder.serving_settings(&fake_platform.store.address.to_string());
        settings["log"] = log;
        let callers = settings["listen"]["callers"].as_str().unwrap().parse().unwrap();
        let settings = folder.write("settings.json", &settings.to_string());
        Self { fake_platform, folder, settings, callers }
    }

    async fn wait_until_serving(&self) {
        let start = Instant::now();
        while Call::new(Method::GET, "/look/a").status(self.callers).await != 200 {
            assert!(start.elapsed() < PATIENCE, "the node does not serve");
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
    let platform = Platform::new(&name, log).await;
    let out = platform.folder.write("log", "");
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
    let refused = call("known");
    assert!(refused.status(platform.callers).await >= 500);
    let start = Instant::now();
    let told = [&unknown.id, &lost.id, &refused.id];
    loop {
        let text = fs::read_to_string(&out).unwrap();
        if told.iter().all(|id| text.contains(*id)) {
            assert!(!text.contains(MARKER), "{text}");
            return;
        }
        assert!(start.elapsed() < PATIENCE, "the log does not tell of {told:?}: {text}");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Nobody reads the log, or its reader ends, while requests fail by the thousand.
#[rstest]
#[case::never_read(false)]
#[case::reader_gone(true)]
#[tokio::test]
async fn node_serves_on_without_a_reader_of_its_log(#[case] is_gone: bool) {
    let platform = Platform::new(&format!("reader-{is_gone}"), json!({"level": "debug"})).await;
    let mut daemon = ServingDaemon::start(&platform.settings, Stdio::piped());
    if is_gone {
        daemon.close_stdout();
    }
    platform.wait_until_serving().await;
    let mut answers = tokio::task::JoinSet::new();
    let mut refused = 0;
    for _ in 0..FAILING {
        let callers = platform.callers;
        answers.spawn(async move {
            let call = Call::new(Method::POST, "/book/a").with_key(Some("unknown"));
            call.status(callers).await
        });
        if answers.len() >= AT_ONCE {
            refused += usize::from(answers.join_next().await.unwrap().unwrap() == 401);
        }
    }
    while let Some(status) = answers.join_next().await {
        refused += usize::from(status.unwrap() == 401);
    }
    assert_eq!(refused, FAILING);
    assert_eq!(Call::new(Method::GET, "/look/a").status(platform.callers).await, 200);
    assert!(daemon.is_running());
}
