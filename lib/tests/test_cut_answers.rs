//! Tests of upstreams and of a store that stop in the middle of an answer and close or reset the connection:
//! what was received of it is no success, and the request may have run.

use futures_util::StreamExt;
use guavaladder_lib::engine::Engine;
use guavaladder_lib::engine::UpstreamError;
use guavaladder_lib::engine_http::HttpEngine;
use guavaladder_lib::generated::engine::GenerateRequest;
use guavaladder_lib::generated::engine::PlainRequest;
use guavaladder_lib::generated::engine::Priority;
use guavaladder_lib::generated::engine::StreamRecord;
use guavaladder_lib::generated::platform::PutObject;
use guavaladder_lib::plain_service::PlainService;
use guavaladder_lib::plain_service_http::HttpPlainService;
use guavaladder_lib::platform::ObjectStore;
use guavaladder_lib::platform::PlatformError;
use guavaladder_lib::platform_http::HttpPlatform;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time before the connection ends, so that the bytes before have been read.
const PAUSE: Duration = Duration::from_millis(40);
const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n";
/// A record of tokens and the end record.
const RECORDS: &str = "{\"tokens\":{\"attempt\":1,\"offset\":0,\"tokens\":[\"a\",\"b\"]}}\n\
    {\"end\":{\"attempt\":1,\"length\":2,\"reason\":\"stop\",\"load\":null}}\n";
/// Length of the first record with its line end.
const FIRST_RECORD: usize = 55;

/// Which part of an answer an upstream sends.
#[derive(Debug, Clone, Copy)]
enum Cut {
    /// This many bytes of the head.
    Head(usize),
    /// The head without its last bytes.
    HeadWithout(usize),
    /// The head and this many bytes of the body.
    Body(usize),
    /// The head and all but the last bytes of the body and of the framing behind it.
    Without(usize),
    /// The whole answer.
    Nothing,
}

/// How a body is framed.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunks,
}

/// How an upstream answers.
#[derive(Debug, Clone, Copy)]
struct Plan {
    framing: Framing,
    cut: Cut,
    is_reset: bool,
    pause: Duration,
    /// Whether the first answer on each connection is whole.
    is_kept: bool,
}

impl Plan {
    fn answer(&self, body: &str, cut: Cut) -> Vec<u8> {
        let (head, tail) = match self.framing {
            Framing::Length => (LENGTH, ""),
            Framing::Chunks => (CHUNKED, "\r\n0\r\n\r\n"),
        };
        let head = head.replace("{length}", &body.len().to_string());
        let head = head.replace("{length:x}", &format!("{:x}", body.len()));
        let whole = format!("{head}{body}{tail}");
        let length = match cut {
            Cut::Head(length) => length,
            Cut::HeadWithout(missing) => head.len() - missing,
            Cut::Body(length) => head.len() + length,
            Cut::Without(missing) => whole.len() - missing,
            Cut::Nothing => whole.len(),
        };
        whole.as_bytes()[..length].to_vec()
    }
}

/// Starts an upstream whose answers have this body; returns its address and the number of cut answers.
async fn serve(plan: Plan, body: &'static str) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let cuts = Arc::new(AtomicUsize::new(0));
    let counter = cuts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_requests(stream, plan, body, counter.clone()));
        }
    });
    (address, cuts)
}

async fn answer_requests(
    mut stream: TcpStream,
    plan: Plan,
    body: &'static str,
    cuts: Arc<AtomicUsize>,
) {
    let mut buf = [0; 65536];
    if plan.is_kept {
        let Ok(1..) = stream.read(&mut buf).await else { return };
        let _ = stream.write_all(&plan.answer(body, Cut::Nothing)).await;
    }
    let Ok(1..) = stream.read(&mut buf).await else { return };
    cuts.fetch_add(1, Ordering::Relaxed);
    let _ = stream.write_all(&plan.answer(body, plan.cut)).await;
    sleep(plan.pause).await;
    if plan.is_reset {
        stream.set_zero_linger().unwrap();
    }
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        request: "r".to_string(),
        attempt: 1,
        group: "g".to_string(),
        epoch: 1,
        prompt: "p".to_string(),
        max_tokens: 2,
        priority: Priority::Normal,
        adapter: None,
        offset: 0,
        emitted: vec![],
        idempotency_key: None,
    }
}

async fn generate(engine: &HttpEngine, address: &str) -> Result<(), UpstreamError> {
    let mut records = engine.generate(address, &generate_request()).await?;
    while let Some(record) = records.next().await {
        if let StreamRecord::End(_) = record? {
            return Ok(());
        }
    }
    panic!("the stream ended without an end record or an error");
}

/// Sends a request until its answer was cut, and returns the outcome.
async fn until_cut<T>(cuts: &AtomicUsize, mut send: impl AsyncFnMut() -> T) -> T {
    for _ in 0..10 {
        let outcome = send().await;
        if cuts.load(Ordering::Relaxed) > 0 {
            return outcome;
        }
    }
    panic!("no answer was cut");
}

#[rstest]
#[case::empty(Cut::Head(0))]
#[case::in_version(Cut::Head(6))]
#[case::in_status(Cut::Head(11))]
#[case::after_status(Cut::Head(12))]
#[case::in_end_of_status_line(Cut::Head(16))]
#[case::after_status_line(Cut::Head(17))]
#[case::in_header_name(Cut::Head(24))]
#[case::in_end_of_head(Cut::HeadWithout(1))]
#[case::after_head(Cut::HeadWithout(0))]
#[case::in_body(Cut::Without(12))]
#[case::last_byte(Cut::Without(1))]
#[case::last_line_end(Cut::Without(2))]
#[case::last_chunk(Cut::Without(5))]
#[tokio::test]
async fn cut_answer_is_an_error_that_may_have_run(
    #[case] cut: Cut,
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values(false, true)] is_reset: bool,
    #[values(Duration::ZERO, PAUSE)] pause: Duration,
    #[values(false, true)] is_kept: bool,
) {
    let plan = Plan { framing, cut, is_reset, pause, is_kept };
    let check = |outcome: Result<(), UpstreamError>, what: &str| {
        let error = outcome.expect_err(what);
        assert!(error.may_have_run(), "{what}, {plan:?}: {error:?}");
    };
    let (address, cuts) = serve(plan, "[]").await;
    let engine = HttpEngine::new();
    let outcome = until_cut(&cuts, async || engine.cache_events(&address, 0).await).await;
    check(outcome.map(drop), "cache events");

    let (address, cuts) = serve(plan, "{\"status\":200,\"body\":\"whole\"}").await;
    let service = HttpPlainService::new();
    let call = PlainRequest {
        request: "r".to_string(),
        path: "p".to_string(),
        body: String::new(),
        idempotency_key: None,
        epoch: 0,
    };
    let outcome = until_cut(&cuts, async || service.call(&address, &call).await).await;
    check(outcome.map(drop), "call");

    let platform_plan = Plan { is_kept: false, ..plan };
    let (address, _) = serve(platform_plan, "{\"written\":3}").await;
    let put = PutObject { key: "k".to_string(), if_version: 0, value: "1".to_string() };
    let written = HttpPlatform::new(address).put(&put).await;
    assert!(matches!(written, Err(PlatformError::ResponseLost { .. })), "{plan:?}: {written:?}");
}

/// The end record states the length, so bytes behind it do not matter to a stream.
#[rstest]
#[case::empty(Cut::Head(0))]
#[case::in_status(Cut::Head(11))]
#[case::after_status_line(Cut::Head(17))]
#[case::in_header_name(Cut::Head(24))]
#[case::in_end_of_head(Cut::HeadWithout(1))]
#[case::after_head(Cut::HeadWithout(0))]
#[case::in_first_record(Cut::Body(20))]
#[case::before_end_record(Cut::Body(FIRST_RECORD))]
#[case::in_end_record(Cut::Body(FIRST_RECORD + 30))]
#[case::before_line_end(Cut::Body(RECORDS.len() - 1))]
#[tokio::test]
async fn cut_stream_is_an_error_that_may_have_run(
    #[case] cut: Cut,
    #[values(Framing::Length, Framing::Chunks)] framing: Framing,
    #[values(false, true)] is_reset: bool,
    #[values(Duration::ZERO, PAUSE)] pause: Duration,
    #[values(false, true)] is_kept: bool,
) {
    let plan = Plan { framing, cut, is_reset, pause, is_kept };
    let (address, cuts) = serve(plan, RECORDS).await;
    let engine = HttpEngine::new();
    let outcome = until_cut(&cuts, async || generate(&engine, &address).await).await;
    let error = outcome.expect_err("a cut stream");
    assert!(error.may_have_run(), "{plan:?}: {error:?}");
}
