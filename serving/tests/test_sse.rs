//! Tests of the decoder of event streams.

use guavaladder_serving::sse::EventDecoder;
use guavaladder_serving::sse::StreamError;
use proptest::prelude::*;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nx: 4\nid: 2\ndata: b\n\n: no id\n\nid:3\r\ndata: c\r\n\r\n";

fn events(parts: &[&[u8]]) -> (Vec<Option<u64>>, Vec<u8>, Result<(), StreamError>) {
    let mut decoder = EventDecoder::new();
    let (mut ids, mut bytes) = (vec![], vec![]);
    for part in parts {
        decoder.push(part).unwrap();
        while let Some(event) = decoder.next_event() {
            ids.push(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
    }
    (ids, bytes, decoder.finish())
}

proptest! {
    #[test]
    fn events_are_the_same_however_the_bytes_come(cuts in prop::collection::vec(0..STREAM.len(), 0..9)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut parts: Vec<&[u8]> = vec![];
        let mut from = 0;
        for cut in cuts {
            parts.push(&STREAM.as_bytes()[from..cut]);
            from = cut;
        }
        parts.push(&STREAM.as_bytes()[from..]);
        let (ids, bytes, end) = events(&parts);
        prop_assert_eq!(ids, vec![Some(1), Some(2), None, Some(3)]);
        prop_assert_eq!(bytes, STREAM.as_bytes());
        prop_assert_eq!(end, Ok(()));
    }
}

#[rstest]
#[case::within_event("id: 1\ndata: a\n\nid: 2\nda", Err(StreamError::Torn))]
#[case::before_blank_line("id: 1\ndata: a\n", Err(StreamError::Torn))]
#[case::after_event("id: 1\ndata: a\n\n", Ok(()))]
fn finish_torn_stream(#[case] stream: &str, #[case] expected: Result<(), StreamError>) {
    assert_eq!(events(&[stream.as_bytes()]).2, expected);
}

#[test]
fn push_too_long_event() {
    let mut decoder = EventDecoder::new();
    assert_eq!(decoder.push(&vec![b'x'; (1 << 20) + 1]), Err(StreamError::TooLong));
}
