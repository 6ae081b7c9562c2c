//! Tests of the decoder for server-sent events.

use guavaladder_serving::sse::EventDecoder;
use guavaladder_serving::sse::StreamError;
use proptest::prelude::*;
use rstest::rstest;

const STREAM: &str =
    "id: 1\ndata: a\n\nx: 4\nid: 2\ndata: b\n\n: comment\n\nid:3\r\ndata: c\r\n\r\n\n: end\n\n";

fn decode(chunks: &[&[u8]]) -> (Vec<Option<u64>>, Vec<u8>, Result<(), StreamError>) {
    let mut decoder = EventDecoder::new();
    let (mut ids, mut bytes) = (vec![], vec![]);
    for chunk in chunks {
        decoder.push(chunk).unwrap();
        loop {
            match decoder.next_event() {
                Ok(Some(event)) => {
                    ids.push(event.id);
                    bytes.extend_from_slice(&event.bytes);
                }
                Ok(None) => break,
                Err(e) => return (ids, bytes, Err(e)),
            }
        }
    }
    let rest = decoder.finish().map(|rest| {
        let rest = rest.map(|rest| rest.bytes).unwrap_or_default();
        bytes.extend_from_slice(&rest);
    });
    (ids, bytes, rest)
}

proptest! {
    #[test]
    fn decoding_does_not_depend_on_chunk_boundaries(cuts in prop::collection::vec(0..STREAM.len(), 0..9)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut chunks: Vec<&[u8]> = vec![];
        let mut from = 0;
        for cut in cuts {
            chunks.push(&STREAM.as_bytes()[from..cut]);
            from = cut;
        }
        chunks.push(&STREAM.as_bytes()[from..]);
        let (ids, bytes, end) = decode(&chunks);
        prop_assert_eq!(ids, vec![Some(1), Some(2), Some(3)]);
        prop_assert_eq!(bytes, STREAM.as_bytes());
        prop_assert_eq!(end, Ok(()));
    }
}

#[rstest]
#[case::within_event("id: 1\ndata: a\n\nid: 2\nda", Err(StreamError::Truncated))]
#[case::before_blank_line("id: 1\ndata: a\n", Err(StreamError::Truncated))]
#[case::within_comment("id: 1\ndata: a\n\n: comm", Err(StreamError::Truncated))]
#[case::after_event("id: 1\ndata: a\n\n", Ok(()))]
#[case::after_comment("id: 1\ndata: a\n\n: end\n\n", Ok(()))]
#[case::without_event("", Ok(()))]
fn finish_detects_a_truncated_stream(
    #[case] stream: &str,
    #[case] expected: Result<(), StreamError>,
) {
    assert_eq!(decode(&[stream.as_bytes()]).2, expected);
}

#[test]
fn push_rejects_a_too_long_event() {
    let mut decoder = EventDecoder::new();
    assert_eq!(decoder.push(&vec![b'x'; (1 << 20) + 1]), Err(StreamError::TooLong));
}

#[rstest]
#[case::no_id("id: 1\ndata: a\n\ndata: b\n\n", StreamError::NoId)]
#[case::text_as_id("id: 1\ndata: a\n\nid: x\n\n", StreamError::NoId)]
#[case::same_id("id: 1\ndata: a\n\nid: 1\n\n", StreamError::NotIncreasing { id: 1, last: 1 })]
#[case::smaller_id("id: 1\ndata: a\n\nid: 0\n\n", StreamError::NotIncreasing { id: 0, last: 1 })]
fn next_event_rejects_what_is_no_event_with_an_increasing_id(
    #[case] stream: &str,
    #[case] expected: StreamError,
) {
    let (ids, bytes, end) = decode(&[stream.as_bytes()]);
    assert_eq!((ids, bytes), (vec![Some(1)], b"id: 1\ndata: a\n\n".to_vec()));
    assert_eq!(end, Err(expected));
}

#[rstest]
#[case::line_ends("\n")]
#[case::comments(": x\n\n")]
#[case::one_event("data: x\n")]
fn bytes_without_an_event_are_rejected_at_the_size_of_an_event(#[case] unit: &str) {
    let mut decoder = EventDecoder::new();
    let block = unit.repeat((16 << 10) / unit.len());
    let mut taken = 0;
    let error = loop {
        taken += block.len();
        if let Err(e) = decoder.push(block.as_bytes()) {
            break e;
        }
        assert_eq!(decoder.next_event(), Ok(None));
    };
    assert_eq!(error, StreamError::TooLong);
    assert!(taken <= (1 << 20) + (16 << 10));
}
