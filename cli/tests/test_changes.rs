//! Tests of configuration changes.

use crate::node_fixture::TestNode;
use guavaladder_lib::config_change::publish_in_force;
use guavaladder_lib::generated::config::ConfigRecord;
use guavaladder_lib::member_view::Member;
use guavaladder_lib::member_view::MemberState;
use guavaladder_lib::member_view::Members;
use guavaladder_lib::operator_api::OperatorApi;
use guavaladder_lib::store_client::StoreClient;
use guavaladder_testutils::fake_store::FakeStore;
use guavaladder_testutils::fake_store::StoreFaults;
use std::path::PathBuf;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A fleet of one node with a store, and a directory for the files of a test.
struct Fleet {
    node: TestNode,
    store: FakeStore,
    directory: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Fleet {
    async fn new(test: &str) -> Self {
        let mut store = None;
        let node = TestNode::with_api(|cx| {
            let fake = store.insert(FakeStore::new(cx.clock.clone()));
            OperatorApi::new(cx.clone())
                .with_store(StoreClient::new(cx.clone(), Arc::new(fake.clone())))
        })
        .await;
        tokio::spawn(publish_in_force(node.cx.clone(), CancellationToken::new()));
        let directory =
            std::env::temp_dir().join(format!("guavaladder-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        let fleet = Self { node, store: store.unwrap(), directory };
        fleet.set_members(&["entry-1"]);
        fleet
    }

    fn set_members(&self, nodes: &[&str]) {
        let member = |node: &&str| Member {
            node: node.to_string(),
            incarnation: self.node.cx.incarnation,
            state: MemberState::Live,
            data_centre: "dc-1".to_string(),
            region: "agreste".to_string(),
            peer_address: "127.0.0.1:1".to_string(),
            caller_address: "127.0.0.1:1".to_string(),
            operator_address: "127.0.0.1:1".to_string(),
        };
        let members: Members = nodes.iter().map(|node| (node.to_string(), member(node))).collect();
        self.node.cx.members.replace(members);
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn apply_first_config(&self) {
        let file = self.write("first.json", "{\"defaults\": {}}");
        let run = self.node.run(&["config", "apply", &file, "--reason", "first"]).await;
        assert_eq!(run.status, 0, "{run:?}");
        assert!(run.stdout.starts_with("version 1 accepted, in force on 1 of 1"), "{run:?}");
    }

    async fn get(&self) -> String {
        self.node.run(&["config", "get"]).await.stdout
    }
}

#[tokio::test]
async fn apply_edited_output_of_get() {
    let fleet = Fleet::new("edited").await;
    fleet.apply_first_config().await;
    let create = ["service", "create", "drafting", "--model", "guava"];
    assert_eq!(fleet.node.run(&create).await.status, 0);
    let text = fleet.get().await;
    assert!(!text.contains("null"), "{text}");
    let file =
        fleet.write("edited.json", &text.replace("\"crash_limit\": 2", "\"crash_limit\": 3"));
    let diff = fleet.node.run(&["config", "diff", &file]).await;
    assert_eq!(
        diff.stdout,
        "/defaults/crash_limit: 2 -> 3\n1 differences from version 2, 0 problems\n"
    );
    let run = fleet.node.run(&["config", "apply", &file, "--reason", "stricter"]).await;
    assert_eq!(run.status, 0, "{run:?}");
    let record: ConfigRecord = serde_json::from_str(&fleet.get().await).unwrap();
    assert_eq!((record.version, record.config.defaults.crash_limit), (3, 3));
    assert_eq!((record.author.as_str(), record.reason.as_str()), ("tester", "stricter"));
}

#[tokio::test]
async fn apply_conflict_lists_differences() {
    let fleet = Fleet::new("conflict").await;
    fleet.apply_first_config().await;
    let text = fleet.get().await;
    let ours = fleet.write("ours.json", &text.replace("\"crash_limit\": 2", "\"crash_limit\": 3"));
    let theirs =
        fleet.write("theirs.json", &text.replace("\"crash_limit\": 2", "\"crash_limit\": 1"));
    assert_eq!(fleet.node.run(&["config", "apply", &theirs, "--reason", "b"]).await.status, 0);
    let run = fleet.node.run(&["config", "apply", &ours, "--reason", "a"]).await;
    assert_eq!(run.status, 4, "{run:?}");
    assert!(run.stderr.contains("version 2 by tester is in force"), "{run:?}");
    assert!(run.stderr.contains("/defaults/crash_limit: 1 -> 3"), "{run:?}");
    assert!(run.stderr.contains("hint: read the configuration again"), "{run:?}");
}

#[tokio::test]
async fn apply_invalid_lists_all_problems() {
    let fleet = Fleet::new("invalid").await;
    let text = "{\"defaults\": {\"crash_limit\": 9, \"drian_ms\": 1}}";
    let file = fleet.write("bad.json", text);
    let run = fleet.node.run(&["config", "apply", &file, "--reason", "a"]).await;
    assert_eq!(run.status, 3, "{run:?}");
    assert!(run.stderr.contains("/defaults/crash_limit: found 9; allowed: 3 or less"), "{run:?}");
    assert!(run.stderr.contains("did you mean \"drain_ms\"?"), "{run:?}");
    assert_eq!(fleet.store.writes().len(), 0);
}

#[tokio::test]
async fn apply_file_without_version_needs_based_on() {
    let fleet = Fleet::new("bare").await;
    fleet.apply_first_config().await;
    let file = fleet.write("bare.json", "{\"defaults\": {\"crash_limit\": 3}}");
    let run = fleet.node.run(&["config", "apply", &file, "--reason", "a"]).await;
    assert_eq!(run.status, 2, "{run:?}");
    assert!(run.stderr.contains("give --based-on 1"), "{run:?}");
    let args = ["config", "apply", &file, "--reason", "a", "--based-on", "1"];
    assert_eq!(fleet.node.run(&args).await.status, 0);
}

#[tokio::test]
async fn resend_with_same_change_id_is_recognized() {
    let fleet = Fleet::new("again").await;
    let file = fleet.write("first.json", "{\"defaults\": {}}");
    let args = ["config", "apply", &file, "--reason", "a", "--change-id", "x", "--based-on", "0"];
    assert_eq!(fleet.node.run(&args).await.status, 0);
    let run = fleet.node.run(&args).await;
    assert_eq!(run.status, 0, "{run:?}");
    assert!(run.stdout.contains("version 1") && run.stdout.contains("accepted before"), "{run:?}");
}

#[tokio::test]
async fn apply_lists_nodes_without_change() {
    let fleet = Fleet::new("missing").await;
    fleet.set_members(&["entry-1", "entry-2"]);
    let file = fleet.write("first.json", "{\"defaults\": {}}");
    let run = fleet.node.run(&["config", "apply", &file, "--reason", "a", "--wait", "0"]).await;
    assert_eq!(run.status, 5, "{run:?}");
    assert!(run.stderr.contains("in force on 1 of 2"), "{run:?}");
    assert!(run.stderr.contains("entry-2: version 0, the node has not yet confirmed"), "{run:?}");
}

#[tokio::test]
async fn apply_with_store_unavailable() {
    let fleet = Fleet::new("unavailable").await;
    fleet.store.set_faults(StoreFaults { is_unavailable: true, ..StoreFaults::default() });
    let file = fleet.write("first.json", "{\"defaults\": {}}");
    let run = fleet.node.run(&["config", "apply", &file, "--reason", "a"]).await;
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.stderr.contains("the change was not accepted"), "{run:?}");
}

#[tokio::test]
async fn exceptions_add_list_remove() {
    let fleet = Fleet::new("exceptions").await;
    fleet.apply_first_config().await;
    let add = ["exception", "add", "x1", "--cordon-domain", "fabric-0", "--reason", "bad switch"];
    assert_eq!(fleet.node.run(&add).await.status, 0);
    let again = fleet.node.run(&add).await;
    assert_eq!(again.status, 2);
    assert!(again.stderr.contains("exception x1 already exists"), "{again:?}");
    let list = fleet.node.run(&["exception", "list"]).await;
    assert!(
        list.stdout.contains("x1         cordon domain fabric-0  -           bad switch"),
        "{list:?}"
    );
    assert_eq!(fleet.node.run(&["exception", "remove", "x1"]).await.status, 0);
    let run = fleet.node.run(&["exception", "remove", "x1"]).await;
    assert_eq!(run.status, 2);
    assert!(run.stderr.contains("exception x1 does not exist"), "{run:?}");
    let history = fleet.node.run(&["config", "history"]).await;
    assert!(history.stdout.contains("remove exception x1"), "{history:?}");
    assert!(history.stdout.contains("add exception x1: bad switch"), "{history:?}");
}

#[tokio::test]
async fn services_create_list_show() {
    let fleet = Fleet::new("services").await;
    let create = ["service", "create", "drafting", "--model", "guava", "--replicas", "2"];
    assert_eq!(fleet.node.run(&create).await.status, 0);
    let again = fleet.node.run(&create).await;
    assert!(again.stderr.contains("service drafting already exists"), "{again:?}");
    let list = fleet.node.run(&["service", "list"]).await;
    assert!(list.stdout.contains("drafting  engine  2       0"), "{list:?}");
    let run = fleet.node.run(&["service", "show", "other"]).await;
    assert_eq!(run.status, 2);
    assert!(run.stderr.contains("the services are: drafting"), "{run:?}");
}
