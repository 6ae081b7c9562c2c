//! Tests of calls to the operator API.

use crate::node_fixture::TOKEN;
use crate::node_fixture::TestNode;
use crate::node_fixture::run_with;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::operator::StatusReply;
use std::net::TcpListener;

/// Returns the address of a port that was just closed, so connections to it are refused.
fn unused_endpoint() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

#[tokio::test]
async fn status_json() {
    let node = TestNode::new().await;
    let run = node.run(&["status", "--json"]).await;
    let reply: StatusReply = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!((run.status, reply.node.as_str()), (0, "entry-1"));
}

#[tokio::test]
async fn status_text() {
    let node = TestNode::new().await;
    let run = node.run(&["status"]).await;
    assert!(run.stdout.starts_with("queried entry-1: configuration version -"), "{run:?}");
}

#[tokio::test]
async fn status_wrong_token() {
    let node = TestNode::new().await;
    let run = node.run_as(&["status"], "other").await;
    assert_eq!(run.status, 6);
    assert!(run.stderr.contains("bearer token is required"), "{run:?}");
}

#[tokio::test]
async fn endpoints_are_tried_in_order() {
    let node = TestNode::new().await;
    let mut args = vec!["status".to_string()];
    for endpoint in [unused_endpoint(), node.endpoint.clone()] {
        args.extend(["--endpoint".to_string(), endpoint]);
    }
    let run = run_with(args, Some(TOKEN)).await;
    assert_eq!(run.status, 0, "{run:?}");
}

#[tokio::test]
async fn endpoints_all_unreachable() {
    let unused = [unused_endpoint(), unused_endpoint()];
    let mut args = vec!["status".to_string()];
    for endpoint in &unused {
        args.extend(["--endpoint".to_string(), endpoint.clone()]);
    }
    let run = run_with(args, Some(TOKEN)).await;
    assert_eq!(run.status, 1);
    assert!(unused.iter().all(|endpoint| run.stderr.contains(endpoint.as_str())), "{run:?}");
    assert!(run.stderr.contains("hint: check --endpoint"), "{run:?}");
}

#[tokio::test]
async fn endpoint_of_another_protocol() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            use tokio::io::AsyncWriteExt;
            let _ = stream.write_all(b"220 mail ready\r\n").await;
        }
    });
    let args = vec!["status".to_string(), "--endpoint".to_string(), endpoint];
    let run = run_with(args, Some(TOKEN)).await;
    assert_eq!(run.status, 1, "{run:?}");
    assert!(run.stderr.contains("hint: "), "{run:?}");
}

#[tokio::test]
async fn config_get_without_configuration() {
    let node = TestNode::new().await;
    let run = node.run(&["config", "get"]).await;
    assert_eq!(run.status, 2);
    assert!(run.stderr.contains("hint: create one with"), "{run:?}");
}

#[tokio::test]
async fn why_percent_encodes_id() {
    let node = TestNode::new().await;
    let started = "gruppe é&=1".to_string();
    node.cx.record(Event::Started { node: started.clone(), version: "1".to_string() });
    let run = node.run(&["why", "é&=1"]).await;
    assert_eq!(run.status, 0);
    assert!(run.stdout.contains("entry-1 GL0001 started"), "{run:?}");
    let run = node.run(&["why", "other"]).await;
    assert_eq!(run.stdout, "no node has an event about other\n");
}
