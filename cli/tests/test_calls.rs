//! Tests of calls to an operators' API.

use crate::world::TOKEN;
use crate::world::World;
use crate::world::run_with;
use guavaladder_lib::generated::events::Event;
use guavaladder_lib::generated::operator::StatusReply;
use std::net::TcpListener;

/// Returns an address at which nobody listens.
fn dead_endpoint() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

#[tokio::test]
async fn status_json() {
    let world = World::new().await;
    let run = world.run(&["status", "--json"]).await;
    let reply: StatusReply = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!((run.status, reply.node.as_str()), (0, "entry-1"));
}

#[tokio::test]
async fn status_text() {
    let world = World::new().await;
    let run = world.run(&["status"]).await;
    assert!(run.stdout.starts_with("asked entry-1: configuration version -"), "{run:?}");
}

#[tokio::test]
async fn status_wrong_token() {
    let world = World::new().await;
    let run = world.run_as(&["status"], "other").await;
    assert_eq!(run.status, 6);
    assert!(run.stderr.contains("bearer token is required"), "{run:?}");
}

#[tokio::test]
async fn endpoints_are_tried_in_turn() {
    let world = World::new().await;
    let mut args = vec!["status".to_string()];
    for endpoint in [dead_endpoint(), world.endpoint.clone()] {
        args.extend(["--endpoint".to_string(), endpoint]);
    }
    let run = run_with(args, Some(TOKEN)).await;
    assert_eq!(run.status, 0, "{run:?}");
}

#[tokio::test]
async fn endpoints_all_dead() {
    let dead = [dead_endpoint(), dead_endpoint()];
    let mut args = vec!["status".to_string()];
    for endpoint in &dead {
        args.extend(["--endpoint".to_string(), endpoint.clone()]);
    }
    let run = run_with(args, Some(TOKEN)).await;
    assert_eq!(run.status, 1);
    assert!(dead.iter().all(|endpoint| run.stderr.contains(endpoint.as_str())), "{run:?}");
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
    let world = World::new().await;
    let run = world.run(&["config", "get"]).await;
    assert_eq!(run.status, 2);
    assert!(run.stderr.contains("hint: apply a first one"), "{run:?}");
}

#[tokio::test]
async fn why_with_unusual_id() {
    let world = World::new().await;
    let node = "gruppe é&=1".to_string();
    world.cx.record(Event::Started { node: node.clone(), version: "1".to_string() });
    let run = world.run(&["why", "é&=1"]).await;
    assert_eq!(run.status, 0);
    assert!(run.stdout.contains("entry-1 GL0001 started"), "{run:?}");
    let run = world.run(&["why", "other"]).await;
    assert_eq!(run.stdout, "no node remembers an event about other\n");
}
