//! Tests of the decoder for server-sent events.

use guavaladder_serving::sse::EventDecoder;
use guavaladder_serving::sse::StreamError;
use proptest::prelude::*;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nx: 4\nid: 2\ndata: b\n\n: no id\n\nid:3\r\ndata: c\r\n\r\n";

fn decode(chunks: &[&[u8]]) -> (Vec<Option<u64>>, Vec<u8>, Result<(), StreamError>) {
    let mut decoder = EventDecoder::new();
    let (mut ids, mut bytes) = (vec![], vec![]);
    for chunk in chunks {
        decoder.push(chunk).unwrap();
        while let Some(event) = decoder.next_event() {
            ids.push(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
    }
    (ids, bytes, decoder.finish())
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
        prop_assert_eq!(ids, vec![Some(1), Some(2), None, Some(3)]);
        prop_assert_eq!(bytes, STREAM.as_bytes());
        prop_assert_eq!(end, Ok(()));
    }
}

#[rstest]
#[case::within_event("id: 1\ndata: a\n\nid: 2\nda", Err(StreamError::Truncated))]
#[case::before_blank_line("id: 1\ndata: a\n", Err(StreamError::Truncated))]
#[case::after_event("id: 1\ndata: a\n\n", Ok(()))]
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
