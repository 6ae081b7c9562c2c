//! Reads a whole HTTP body with a limit on its size.
//!
//! The bytes are copied into one buffer. Collected as they arrive, a body in chunks of one byte would
//! occupy many times its size: each frame costs its handle, and keeps the block alive that it was
//! received in.

use crate::byte_budget::ByteBudget;
use crate::byte_budget::ByteUse;
use crate::byte_budget::NoRoom;
use crate::byte_budget::Receipt;
use crate::byte_budget::SMALL_BYTES;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

/// Smallest buffer of a body whose length is not announced, in bytes.
const MIN_CAPACITY: usize = 4 << 10;
/// Factor by which such a buffer grows.
const CAPACITY_GROWTH: usize = 4;

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

/// Errors of reading a body within an account of bytes.
#[derive(Debug, thiserror::Error)]
pub enum ReadError<E> {
    /// The body cannot be read.
    #[error(transparent)]
    Body(#[from] BodyError<E>),
    /// There is no room for the body.
    #[error("there is no room for the body: {0}")]
    NoRoom(#[from] NoRoom),
}

/// Account of the bytes of bodies, and the terms on which one of them is kept.
#[derive(Debug, Clone, Copy)]
pub struct BodyRoom<'a> {
    /// Account.
    pub budget: &'a ByteBudget,
    /// Use of the body.
    pub byte_use: ByteUse,
    /// Time until which room is waited for.
    pub until: Instant,
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

/// Like `read_with`, but reserves the bytes in an account before they are kept. They are released when the last clone
/// of the body is dropped.
pub async fn read_within<B>(
    mut body: B,
    limit: usize,
    room: BodyRoom<'_>,
    mut received: impl FnMut(usize),
) -> Result<Bytes, ReadError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit }.into());
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint().exact().map(|len| len as usize);
    let mut buf = ReservedBuf::new(room, limit, announced);
    buf.begin().await?;
    loop {
        let frame = tokio::select! {
            biased;
            reason = buf.receipt.ended() => return Err(ReadError::NoRoom(reason)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return Ok(buf.complete()) };
        let Ok(bytes) = frame.map_err(BodyError::Failed)?.into_data() else { continue };
        if bytes.len() > limit - buf.bytes.len() {
            return Err(BodyError::TooLarge { limit }.into());
        }
        received(bytes.len());
        buf.push(&bytes).await?;
    }
}

/// Buffer whose capacity is reserved in an account.
struct ReservedBuf<'a> {
    room: BodyRoom<'a>,
    limit: usize,
    announced: Option<usize>,
    receipt: Receipt,
    bytes: Vec<u8>,
}

impl<'a> ReservedBuf<'a> {
    fn new(room: BodyRoom<'a>, limit: usize, announced: Option<usize>) -> Self {
        let receipt = Receipt::new(room.budget, room.byte_use);
        Self { room, limit, announced, receipt, bytes: Vec::new() }
    }

    /// Reserves the first bytes, without waiting for a large body whose sender may never send them.
    async fn begin(&mut self) -> Result<(), NoRoom> {
        match self.announced {
            Some(len) if len > SMALL_BYTES => {
                if self.receipt.try_grow(SMALL_BYTES) {
                    self.bytes.reserve_exact(SMALL_BYTES);
                    return Ok(());
                }
                self.grow_to(len).await
            }
            Some(len) => self.grow_to(len).await,
            None => Ok(()),
        }
    }

    async fn push(&mut self, part: &[u8]) -> Result<(), NoRoom> {
        let needed = self.bytes.len() + part.len();
        if needed > self.bytes.capacity() {
            // With the whole length reserved, bodies that have been received in part do not wait for each other.
            let capacity = self.announced.unwrap_or_else(|| self.next_capacity(needed));
            self.grow_to(capacity.max(needed)).await?;
        }
        self.bytes.extend_from_slice(part);
        self.receipt.record_received(part.len());
        Ok(())
    }

    fn next_capacity(&self, needed: usize) -> usize {
        let mut capacity = MIN_CAPACITY;
        while capacity < needed {
            capacity *= CAPACITY_GROWTH;
        }
        capacity.min(self.limit)
    }

    /// Moves the bytes to a larger buffer; both exist for a while.
    async fn grow_to(&mut self, capacity: usize) -> Result<(), NoRoom> {
        self.receipt.grow(capacity, self.room.until).await?;
        let mut larger = Vec::with_capacity(capacity);
        larger.extend_from_slice(&self.bytes);
        self.bytes = larger;
        self.receipt.shrink_to(capacity);
        Ok(())
    }

    fn complete(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.receipt.shrink_to(self.bytes.capacity());
        self.receipt.complete().hold(self.bytes)
    }
}
