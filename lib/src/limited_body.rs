//! Reads a whole HTTP body with a limit on its size.
//!
//! The bytes are copied into one buffer. Collected as they arrive, a body in chunks of one byte would
//! occupy many times its size: each frame costs its handle, and keeps the block alive that it was
//! received in.

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Errors of reading a body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// The body exceeds its limit, or announces a length beyond it.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The connection failed, or the body's framing is invalid.
    #[error("the body failed: {0}")]
    Failed(E),
}

/// Reads a body of at most `limit` bytes. Trailers are ignored.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    read_with(body, limit, |_| {}).await
}

/// Like `read`; calls `received` with the size of each part that has arrived.
pub async fn read_with<B>(
    mut body: B,
    limit: usize,
    mut received: impl FnMut(usize),
) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit });
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Failed)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if bytes.len() > limit - buf.len() {
            return Err(BodyError::TooLarge { limit });
        }
        received(bytes.len());
        buf.extend_from_slice(&bytes);
    }
    Ok(buf.freeze())
}
