//! Tests of reading bodies with a limit.

use bytes::Bytes;
use guavaladder_lib::limited_body;
use guavaladder_lib::limited_body::BodyError;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use rstest::rstest;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

/// A part of a body that counts how many of its kind are held in memory.
struct Part {
    bytes: Vec<u8>,
    held: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.held.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A body in parts of equal size.
#[derive(Default)]
struct Parts {
    count: usize,
    size: usize,
    announced: u64,
    held: Arc<AtomicUsize>,
    max_held: Arc<AtomicUsize>,
}

impl Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.count == 0 {
            return Poll::Ready(None);
        }
        self.count -= 1;
        let held = self.held.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_held.fetch_max(held, Ordering::Relaxed);
        let part = Part { bytes: vec![b'x'; self.size], held: self.held.clone() };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(part)))))
    }

    fn size_hint(&self) -> SizeHint {
        let mut hint = SizeHint::new();
        hint.set_lower(self.announced);
        hint
    }
}

#[tokio::test]
async fn body_in_tiny_parts_occupies_no_more_than_its_size() {
    let body = Parts { count: 100_000, size: 1, ..Parts::default() };
    let (held, max_held) = (body.held.clone(), body.max_held.clone());
    let bytes = limited_body::read(body, 1 << 20).await.expect("a body");
    assert_eq!(bytes.len(), 100_000);
    assert_eq!((max_held.load(Ordering::Relaxed), held.load(Ordering::Relaxed)), (1, 0));
}

#[rstest]
#[case::at_limit(4, 25, true)]
#[case::beyond_limit(4, 26, false)]
#[case::one_part_beyond_limit(101, 1, false)]
#[case::empty(1, 0, true)]
#[tokio::test]
async fn read_enforces_the_limit(
    #[case] size: usize,
    #[case] count: usize,
    #[case] is_allowed: bool,
) {
    let body = Parts { count, size, ..Parts::default() };
    match limited_body::read(body, 100).await {
        Ok(bytes) => assert!(is_allowed && bytes.len() == size * count),
        Err(BodyError::TooLarge { limit }) => assert!(!is_allowed && limit == 100),
        Err(BodyError::Failed(e)) => match e {},
    }
}

#[tokio::test]
async fn announced_length_beyond_the_limit_is_rejected_before_any_part() {
    let body = Parts { count: 1, size: 1, announced: 101, ..Parts::default() };
    let max_held = body.max_held.clone();
    assert!(matches!(limited_body::read(body, 100).await, Err(BodyError::TooLarge { .. })));
    assert_eq!(max_held.load(Ordering::Relaxed), 0);
}
