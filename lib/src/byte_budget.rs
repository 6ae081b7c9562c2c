//! Account of the bytes that a process holds for its callers.
//!
//! Bytes are reserved before they are kept, and a reservation is released when it is dropped. Where room is missing,
//! the bodies that have been received without progress for the longest time are ended, then requests for room are
//! granted in order of arrival. A body that has been received completely is never ended.

use bytes::Bytes;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// Time without progress after which a body that is being received can be ended for others.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Delay of a check of stalled bodies from which it is deferred once: the process did not run meanwhile, and what
/// has arrived is read first.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Time for which it is deferred, also the shortest time between two checks.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Number of received bytes that count as progress.
const PROGRESS_BYTES: usize = 16 << 10;
/// Largest reservation that does not wait behind larger ones, in bytes.
pub const SMALL_BYTES: usize = 16 << 10;
/// Multiple of the limit up to which requests for room can wait.
const MAX_QUEUE_RATIO: usize = 2;

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ByteUse {
    /// Bodies of requests, until their requests have ended.
    RequestBodies,
    /// Whole responses, until their callers have received them.
    Responses,
    /// Events of streams that their callers have not received.
    Events,
}

impl ByteUse {
    /// All uses.
    pub const ALL: [Self; 3] = [Self::RequestBodies, Self::Responses, Self::Events];

    /// Returns the value of the metrics label for this use.
    pub fn name(self) -> &'static str {
        match self {
            Self::RequestBodies => "request_bodies",
            Self::Responses => "responses",
            Self::Events => "events",
        }
    }
}

/// Why there is no room for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoRoom {
    /// More bytes are needed than may ever be held for this use.
    #[error("{need} bytes are more than the limit of {limit} bytes")]
    TooLarge {
        /// Bytes needed.
        need: usize,
        /// Bytes that may be held.
        limit: usize,
    },
    /// So many bytes are waited for that the wait would be in vain.
    #[error("{waiting} bytes are waited for already, with a limit of {limit} bytes")]
    QueueFull {
        /// Bytes that are waited for.
        waiting: usize,
        /// Bytes that may be held.
        limit: usize,
    },
    /// The wait for room ended without it.
    #[error("no room within the time limit")]
    TimedOut,
    /// The body was ended for others, since it made no progress.
    #[error("no progress for {stalled:?} while others needed room")]
    Stalled {
        /// Time without progress.
        stalled: Duration,
    },
    /// The body waited for room, and was ended since only bodies like it could have made room.
    #[error("all room is held by bodies that wait for more")]
    Deadlocked,
}

impl NoRoom {
    /// Returns the value of the metrics label for this reason.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooLarge { .. } => "too_large",
            Self::QueueFull { .. } => "queue_full",
            Self::TimedOut => "timed_out",
            Self::Stalled { .. } => "stalled",
            Self::Deadlocked => "deadlocked",
        }
    }
}

/// Account of the bytes that a process holds; clones share it.
#[derive(Clone)]
pub struct ByteBudget(Arc<Shared>);

struct Shared {
    limit: usize,
    state: Mutex<State>,
}

/// Priority of a request for room; a later lane leaves a part of the limit to the earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    Small,
    Responses,
    Bodies,
}

type Id = u64;

#[derive(Debug, Default)]
struct State {
    used: [usize; ByteUse::ALL.len()],
    /// Bytes of receipts that were ended and have not been released yet.
    ending: usize,
    ended_receipts: u64,
    receipts: HashMap<Id, OpenReceipt>,
    last_id: Id,
    /// When stalled bodies are to be checked next; `None` before the first check.
    next_check: Option<Instant>,
    is_check_deferred: bool,
    /// Requests for room by lane.
    waiters: [VecDeque<Waiter>; Lane::ALL.len()],
}

/// A body that is being received.
#[derive(Debug)]
struct OpenReceipt {
    byte_use: ByteUse,
    held: usize,
    progress_at: Instant,
    /// Whether it waits for room, and makes no progress for this reason.
    is_waiting: bool,
    /// Taken when the receipt is ended for others.
    end: Option<oneshot::Sender<NoRoom>>,
}

#[derive(Debug)]
struct Waiter {
    id: Id,
    byte_use: ByteUse,
    len: usize,
    granted: oneshot::Sender<Reservation>,
}

/// Bytes that are reserved until this is dropped.
pub struct Reservation {
    budget: ByteBudget,
    byte_use: ByteUse,
    len: usize,
}

/// A body that is being received. It can be ended for others until it is complete.
#[derive(Debug)]
pub struct Receipt {
    id: Id,
    reservation: Reservation,
    /// Received bytes since the last progress.
    received: usize,
    ended: oneshot::Receiver<NoRoom>,
}

/// Bytes with their reservation.
struct HeldBytes<T> {
    bytes: T,
    _reservation: Reservation,
}

/// Removes a request for room from its queue when it is dropped.
struct QueuedWaiter<'a> {
    budget: &'a ByteBudget,
    lane: Lane,
    id: Id,
}

impl Lane {
    const ALL: [Self; 3] = [Self::Small, Self::Responses, Self::Bodies];

    fn new(byte_use: ByteUse, len: usize) -> Self {
        match byte_use {
            _ if len <= SMALL_BYTES => Self::Small,
            ByteUse::Responses | ByteUse::Events => Self::Responses,
            ByteUse::RequestBodies => Self::Bodies,
        }
    }

    /// Returns the part of the limit that this lane can use.
    fn limit(self, limit: usize) -> usize {
        match self {
            Self::Small => limit,
            Self::Responses => limit - limit / 16,
            Self::Bodies => limit - limit / 8,
        }
    }
}

/// Returns the part of the limit that responses and events can use, other than small ones: callers that do not read
/// theirs do not keep out the bodies of others.
fn unsent_limit(limit: usize) -> usize {
    limit / 4 * 3
}

impl ByteBudget {
    /// Returns an account of which nothing is used. `limit` is in bytes.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Shared { limit, state: Mutex::default() }))
    }

    /// Returns the number of bytes that may be held.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the number of bytes that are held for a use.
    pub fn used(&self, byte_use: ByteUse) -> usize {
        self.lock().used[byte_use as usize]
    }

    /// Returns the number of bytes that are held in all.
    pub fn total(&self) -> usize {
        self.lock().total()
    }

    /// Returns the number of bytes that are waited for.
    pub fn waiting(&self) -> usize {
        self.lock().waiting(Lane::Bodies)
    }

    /// Returns the number of receipts that were ended for others.
    pub fn ended_receipts(&self) -> u64 {
        self.lock().ended_receipts
    }

    /// Reserves bytes if there is room for them now and nobody waits for it.
    pub fn try_reserve(&self, byte_use: ByteUse, len: usize) -> Option<Reservation> {
        let lane = Lane::new(byte_use, len);
        let is_granted = self.lock().take_first(lane, byte_use, len, self.0.limit);
        is_granted.then(|| self.reservation(byte_use, len))
    }

    /// Reserves bytes, and waits for room until `until` if there is none. Small reservations do not wait behind
    /// larger ones, nor responses and events behind bodies.
    pub async fn reserve(
        &self,
        byte_use: ByteUse,
        len: usize,
        until: Instant,
    ) -> Result<Reservation, NoRoom> {
        self.reserve_in(Lane::new(byte_use, len), byte_use, len, until).await
    }

    async fn reserve_in(
        &self,
        lane: Lane,
        byte_use: ByteUse,
        len: usize,
        until: Instant,
    ) -> Result<Reservation, NoRoom> {
        let limit = match lane {
            Lane::Responses => unsent_limit(self.0.limit),
            lane => lane.limit(self.0.limit),
        };
        if len > limit {
            return Err(NoRoom::TooLarge { need: len, limit });
        }
        let (queued, mut granted) = {
            let mut state = self.lock();
            if state.take_first(lane, byte_use, len, self.0.limit) {
                return Ok(self.reservation(byte_use, len));
            }
            let waiting = state.waiting_for(ByteUse::RequestBodies);
            if byte_use == ByteUse::RequestBodies && waiting + len > limit * MAX_QUEUE_RATIO {
                return Err(NoRoom::QueueFull { waiting, limit });
            }
            let (tx, rx) = oneshot::channel();
            let id = state.next_id();
            state.waiters[lane as usize].push_back(Waiter { id, byte_use, len, granted: tx });
            (QueuedWaiter { budget: self, lane, id }, rx)
        };
        let mut check_at = self.end_receipts(Instant::now());
        loop {
            tokio::select! {
                biased;
                granted = &mut granted => return granted.map_err(|_| NoRoom::TimedOut),
                () = sleep_until(check_at.min(until)) => {}
            }
            let now = Instant::now();
            if now >= until {
                drop(queued);
                // It may have been granted meanwhile.
                return granted.try_recv().map_err(|_| NoRoom::TimedOut);
            }
            check_at = match queued.is_first() {
                true => self.end_receipts(now),
                false => now + MIN_STALL,
            };
        }
    }

    /// Ends receipts until there will be room for all that wait; returns when to check again.
    fn end_receipts(&self, now: Instant) -> Instant {
        let mut state = self.lock();
        if state.defers_check(now) {
            return now + CHECK_DELAY;
        }
        while state.missing(self.0.limit) > 0 {
            if !state.end_stalled(now) && !state.end_deadlocked(self.0.limit) {
                break;
            }
        }
        let next_stall = state.stallable().map(|receipt| receipt.progress_at + MIN_STALL).min();
        let next_check = next_stall.unwrap_or(now + MIN_STALL);
        let next_check = next_check.clamp(now + CHECK_DELAY, now + MIN_STALL);
        state.next_check = Some(next_check);
        next_check
    }

    fn release(&self, byte_use: ByteUse, len: usize) {
        self.lock().used[byte_use as usize] -= len;
        self.grant();
    }

    /// Grants room to those that wait, in order.
    fn grant(&self) {
        loop {
            let granted = self.lock().pop_granted(self.0.limit);
            let Some(Waiter { byte_use, len, granted, .. }) = granted else { return };
            // If the waiter is gone, the reservation is dropped, which releases it.
            drop(granted.send(self.reservation(byte_use, len)));
        }
    }

    fn reservation(&self, byte_use: ByteUse, len: usize) -> Reservation {
        Reservation { budget: self.clone(), byte_use, len }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for ByteBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ByteBudget").field("limit", &self.0.limit).finish_non_exhaustive()
    }
}

impl QueuedWaiter<'_> {
    fn is_first(&self) -> bool {
        let state = self.budget.lock();
        let first = state.waiters.iter().find_map(VecDeque::front);
        first.is_some_and(|first| first.id == self.id)
    }
}

impl Drop for QueuedWaiter<'_> {
    fn drop(&mut self) {
        let is_removed = {
            let queue = &mut self.budget.lock().waiters[self.lane as usize];
            let found = queue.binary_search_by_key(&self.id, |waiter| waiter.id);
            found.ok().and_then(|i| queue.remove(i)).is_some()
        };
        // Others may have waited only because this one was before them.
        if is_removed {
            self.budget.grant();
        }
    }
}

impl State {
    fn total(&self) -> usize {
        self.used.iter().sum()
    }

    /// Returns the bytes that are waited for in a lane and those before it.
    fn waiting(&self, last: Lane) -> usize {
        self.waiters[..=last as usize].iter().flatten().map(|waiter| waiter.len).sum()
    }

    fn waiting_for(&self, byte_use: ByteUse) -> usize {
        let waiters = self.waiters.iter().flatten().filter(|waiter| waiter.byte_use == byte_use);
        waiters.map(|waiter| waiter.len).sum()
    }

    fn next_id(&mut self) -> Id {
        self.last_id += 1;
        self.last_id
    }

    /// Takes bytes out of the room that is left, unless others wait for it.
    fn take_first(&mut self, lane: Lane, byte_use: ByteUse, len: usize, limit: usize) -> bool {
        let waits_behind = match lane {
            Lane::Small => false,
            lane => self.queues(limit).any(|queue| queue <= lane as usize),
        };
        !waits_behind && self.take(lane, byte_use, len, limit)
    }

    fn take(&mut self, lane: Lane, byte_use: ByteUse, len: usize, limit: usize) -> bool {
        let is_full = lane == Lane::Responses && self.unsent() + len > unsent_limit(limit);
        let has_room = !is_full && self.total() + len <= lane.limit(limit);
        if has_room {
            self.used[byte_use as usize] += len;
        }
        has_room
    }

    /// Takes bytes for the first that waits; `None` if there is no room for it.
    fn pop_granted(&mut self, limit: usize) -> Option<Waiter> {
        let first = self.queues(limit).next()?;
        let lane = Lane::ALL[first];
        let (byte_use, len) = self.waiters[lane as usize].front().map(|w| (w.byte_use, w.len))?;
        let is_granted = self.take(lane, byte_use, len, limit);
        is_granted.then(|| self.waiters[lane as usize].pop_front()).flatten()
    }

    /// Returns the bytes that have to be released for all that wait, beyond those of ended receipts.
    fn missing(&self, limit: usize) -> usize {
        let lanes = self.queues(limit).map(|queue| Lane::ALL[queue]);
        let missing = lanes.map(|lane| {
            let before = self.queues(limit).filter(|queue| *queue <= lane as usize);
            let waiting = before.flat_map(|queue| &self.waiters[queue]).map(|waiter| waiter.len);
            let wanted = self.total() + waiting.sum::<usize>();
            wanted.saturating_sub(lane.limit(limit) + self.ending)
        });
        missing.max().unwrap_or(0)
    }

    /// Returns the bytes that wait for callers to read them.
    fn unsent(&self) -> usize {
        self.used[ByteUse::Responses as usize] + self.used[ByteUse::Events as usize]
    }

    /// Returns the lanes with requests for room, without that of responses while callers do not read theirs: bodies
    /// do not wait behind it then.
    fn queues(&self, limit: usize) -> impl Iterator<Item = usize> {
        (0..self.waiters.len()).filter(move |queue| {
            self.waiters[*queue].front().is_some_and(|waiter| {
                let is_response = *queue == Lane::Responses as usize;
                !is_response || self.unsent() + waiter.len <= unsent_limit(limit)
            })
        })
    }

    /// Returns the receipts that can be ended once they make no progress.
    fn stallable(&self) -> impl Iterator<Item = &OpenReceipt> {
        self.receipts.values().filter(|receipt| receipt.is_stallable())
    }

    /// Returns whether a check is so late that it has to be deferred. Only one of two in a row is.
    fn defers_check(&mut self, now: Instant) -> bool {
        let is_late = self.next_check.is_some_and(|at| now > at + MAX_CHECK_DELAY);
        self.is_check_deferred = is_late && !self.is_check_deferred;
        if self.is_check_deferred {
            self.next_check = Some(now + CHECK_DELAY);
        }
        self.is_check_deferred
    }

    /// Ends the receipt that has made no progress for the longest time, if that is long enough.
    fn end_stalled(&mut self, now: Instant) -> bool {
        let stallable = self.receipts.values_mut().filter(|receipt| receipt.is_stallable());
        let Some(longest) = stallable.min_by_key(|receipt| receipt.progress_at) else {
            return false;
        };
        let stalled = now.saturating_duration_since(longest.progress_at);
        if stalled < MIN_STALL {
            return false;
        }
        self.ending += longest.end(NoRoom::Stalled { stalled });
        self.ended_receipts += 1;
        true
    }

    /// Ends the last one of the receipts that wait for room while they hold so much that the first that waits gets
    /// no room even if all others release theirs.
    fn end_deadlocked(&mut self, limit: usize) -> bool {
        let first = self.queues(limit).find_map(|queue| {
            let waiter = self.waiters[queue].front()?;
            Some((Lane::ALL[queue].limit(limit), waiter.len))
        });
        let waiting = self.receipts.values().filter(|receipt| receipt.is_waiting());
        let held: usize = waiting.map(|receipt| receipt.held).sum();
        if first.is_none_or(|(limit, len)| held + len <= limit) {
            return false;
        }
        let waiting = self.receipts.iter_mut().filter(|(_, receipt)| receipt.is_waiting());
        let last =
            waiting.max_by_key(|(id, receipt)| (receipt.byte_use == ByteUse::RequestBodies, **id));
        let Some((_, last)) = last else { return false };
        self.ending += last.end(NoRoom::Deadlocked);
        self.ended_receipts += 1;
        true
    }
}

impl OpenReceipt {
    fn is_stallable(&self) -> bool {
        let is_open = self.end.is_some() && !self.is_waiting && self.held > 0;
        is_open && self.byte_use == ByteUse::RequestBodies
    }

    fn is_waiting(&self) -> bool {
        self.end.is_some() && self.is_waiting && self.held > 0
    }

    /// Ends the receipt and returns the number of bytes that it will release.
    fn end(&mut self, reason: NoRoom) -> usize {
        // The receiver is gone if the body has just failed.
        let _ = self.end.take().map(|end| end.send(reason));
        self.held
    }
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no bytes are reserved.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Releases all but `len` bytes.
    pub fn shrink_to(&mut self, len: usize) {
        let released = self.len.saturating_sub(len);
        self.len -= released;
        if released > 0 {
            self.budget.release(self.byte_use, released);
        }
    }

    /// Returns bytes that are reserved until their last clone is dropped.
    pub fn hold(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _reservation: self })
    }

    fn take(&mut self) -> Self {
        let len = std::mem::take(&mut self.len);
        self.budget.reservation(self.byte_use, len)
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Reservation").field(&self.byte_use).field(&self.len).finish()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

impl Receipt {
    /// Begins to receive a body, for which nothing is reserved yet.
    pub fn new(budget: &ByteBudget, byte_use: ByteUse) -> Self {
        let (end, ended) = oneshot::channel();
        let progress_at = Instant::now();
        let receipt =
            OpenReceipt { byte_use, held: 0, progress_at, is_waiting: false, end: Some(end) };
        let id = {
            let mut state = budget.lock();
            let id = state.next_id();
            state.receipts.insert(id, receipt);
            id
        };
        Self { id, reservation: budget.reservation(byte_use, 0), received: 0, ended }
    }

    /// Returns the number of bytes that are reserved for the body.
    pub fn reserved(&self) -> usize {
        self.reservation.len
    }

    /// Reserves `len` further bytes if there is room for them now, even if others wait.
    pub fn try_grow(&mut self, len: usize) -> bool {
        let budget = &self.reservation.budget;
        let (byte_use, limit) = (self.reservation.byte_use, budget.limit());
        let lane = Lane::new(byte_use, usize::MAX);
        let is_granted = budget.lock().take(lane, byte_use, len, limit);
        if is_granted {
            self.add(len);
        }
        is_granted
    }

    /// Reserves `len` further bytes, and waits until `until` for room.
    pub async fn grow(&mut self, len: usize, until: Instant) -> Result<(), NoRoom> {
        let (budget, byte_use) = (self.reservation.budget.clone(), self.reservation.byte_use);
        let all = self.reservation.len + len;
        let lane = Lane::new(byte_use, all);
        let limit = lane.limit(budget.limit());
        if all > limit {
            return Err(NoRoom::TooLarge { need: all, limit });
        }
        self.update(|receipt| receipt.is_waiting = true);
        let reserved = tokio::select! {
            biased;
            no_room = self.ended() => Err(no_room),
            reserved = budget.reserve_in(lane, byte_use, len, until) => reserved,
        };
        let reserved = reserved.map(|mut reserved| std::mem::take(&mut reserved.len));
        self.update(|receipt| {
            receipt.is_waiting = false;
            receipt.progress_at = Instant::now();
        });
        self.add(reserved?);
        Ok(())
    }

    /// Releases all but `len` bytes.
    pub fn shrink_to(&mut self, len: usize) {
        self.set_held(len.min(self.reservation.len));
        self.reservation.shrink_to(len);
    }

    /// Records that `len` bytes were received.
    pub fn record_received(&mut self, len: usize) {
        self.received += len;
        if self.received >= PROGRESS_BYTES {
            self.received = 0;
            self.update(|receipt| receipt.progress_at = Instant::now());
        }
    }

    /// Waits until the body is ended for others.
    pub async fn ended(&mut self) -> NoRoom {
        match (&mut self.ended).await {
            Ok(reason) => reason,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the reservation of the complete body, which is not ended for others any more.
    pub fn complete(mut self) -> Reservation {
        self.reservation.take()
    }

    fn add(&mut self, len: usize) {
        self.reservation.len += len;
        self.set_held(self.reservation.len);
    }

    fn set_held(&self, held: usize) {
        let mut state = self.reservation.budget.lock();
        let Some(receipt) = state.receipts.get_mut(&self.id) else { return };
        let before = std::mem::replace(&mut receipt.held, held);
        if receipt.end.is_none() {
            state.ending = state.ending + held - before;
        }
    }

    fn update(&self, change: impl FnOnce(&mut OpenReceipt)) {
        self.reservation.budget.lock().receipts.get_mut(&self.id).map(change);
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        let mut state = self.reservation.budget.lock();
        if let Some(receipt) = state.receipts.remove(&self.id)
            && receipt.end.is_none()
        {
            state.ending -= receipt.held;
        }
    }
}
