//! Decoder of an engine's stream: one JSON record per line, with a limit on the length of a line.

use crate::engine::RecordStream;
use crate::engine::UpstreamError;
use crate::generated::engine::StreamRecord;
use crate::http_client;
use crate::http_client::DiscardIdleOnDrop;
use crate::limited_body;
use crate::metered_stream::ReadAllowance;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Maximum length of a record in bytes, without its newline.
pub const MAX_RECORD_BYTES: usize = 256 << 10;

/// Maximum size of the body of a refusal in bytes.
const MAX_REFUSAL_BYTES: usize = 4096;

/// Maximum number of bytes that are read after the last record.
const MAX_TAIL_BYTES: usize = 4096;

/// Timeout for reading the body of a refusal, and the rest of a stream after its last record.
const TAIL_TIMEOUT: Duration = Duration::from_secs(1);

/// Decoder of a response body, which reads only when the next record is polled.
///
/// Dropping it before its end record also closes the idle connections to the upstream, since the
/// reader may have given up on an unresponsive connection.
struct Decoder {
    body: Option<Incoming>,
    allowance: ReadAllowance,
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that were searched and hold no newline.
    scanned: usize,
    is_ended: bool,
    guard: DiscardIdleOnDrop,
}

/// Returns the stream of the records of a response body.
pub(crate) fn new(response: Response<Incoming>, guard: DiscardIdleOnDrop) -> RecordStream {
    let buf = BytesMut::new();
    let allowance = http_client::read_allowance(&response);
    let body = Some(response.into_body());
    let decoder = Decoder { body, allowance, buf, scanned: 0, is_ended: false, guard };
    let records = futures_util::stream::unfold(decoder, |mut decoder| async move {
        decoder.next_record().await.map(|record| (record, decoder))
    });
    records.boxed()
}

/// Reads the body of a refusal; empty if it is too large or does not arrive in time.
pub(crate) async fn read_refusal(body: Incoming) -> Bytes {
    let reading = limited_body::read(body, MAX_REFUSAL_BYTES);
    match tokio::time::timeout(TAIL_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) | Err(_) => Bytes::new(),
    }
}

impl Decoder {
    async fn next_record(&mut self) -> Option<Result<StreamRecord, UpstreamError>> {
        if self.is_ended {
            return None;
        }
        loop {
            if let Some(line) = self.take_line() {
                let record = parse(&line);
                self.is_ended = matches!(record, Ok(StreamRecord::End(_)) | Err(_));
                if matches!(record, Ok(StreamRecord::End(_))) {
                    self.guard.disarm();
                }
                return Some(record);
            }
            if self.buf.len() > MAX_RECORD_BYTES {
                let reason = format!("a record is longer than {MAX_RECORD_BYTES} bytes");
                return self.fail(UpstreamError::Malformed { reason });
            }
            match self.body.as_mut()?.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.allowance.record_data(data.len());
                        self.buf.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => {
                    return self.fail(UpstreamError::Interrupted { reason: e.to_string() });
                }
                None => {
                    let reason = "the stream ended without an end record".to_string();
                    return self.fail(UpstreamError::Interrupted { reason });
                }
            }
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let newline = self.buf[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(newline) = newline else {
            self.scanned = self.buf.len();
            return None;
        };
        let line = self.buf.split_to(self.scanned + newline);
        self.buf.advance(1);
        self.scanned = 0;
        Some(line.freeze())
    }

    fn fail(&mut self, e: UpstreamError) -> Option<Result<StreamRecord, UpstreamError>> {
        self.is_ended = true;
        self.body = None;
        Some(Err(e))
    }
}

fn parse(line: &[u8]) -> Result<StreamRecord, UpstreamError> {
    if line.len() > MAX_RECORD_BYTES {
        let reason = format!("a record is longer than {MAX_RECORD_BYTES} bytes");
        return Err(UpstreamError::Malformed { reason });
    }
    serde_json::from_slice(line).map_err(|e| UpstreamError::Malformed { reason: e.to_string() })
}

impl Drop for Decoder {
    /// Reads the rest of a finished body in the background, so that its connection can be reused. The
    /// connection is closed if the rest is long.
    fn drop(&mut self) {
        let Some(mut body) = self.body.take().filter(|_| self.is_ended) else { return };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        runtime.spawn(tokio::time::timeout(TAIL_TIMEOUT, async move {
            let mut len = 0;
            while let Some(Ok(frame)) = body.frame().await {
                len += frame.data_ref().map_or(0, Bytes::len);
                if len > MAX_TAIL_BYTES {
                    return;
                }
            }
        }));
    }
}
