//! One attempt to run a request at a replica. Reads its stream, discards records of other attempts
//! and puts tokens in order.

use crate::admission::Slot;
use crate::engine::RecordStream;
use crate::engine::UpstreamError;
use crate::generated::engine::AcceptedRecord;
use crate::generated::engine::EndRecord;
use crate::generated::engine::FinishReason;
use crate::generated::engine::StreamRecord;
use crate::generated::engine::TokenRecord;
use crate::ids::AttemptId;
use futures_util::FutureExt;
use futures_util::StreamExt;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::time::Duration;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Number of tokens at which already received records are no longer added to the same event.
const MAX_BATCHED_TOKENS: usize = 64;
/// Maximum number of token records buffered while an earlier one is missing.
const MAX_OUT_OF_ORDER_RECORDS: usize = 64;

/// Why an attempt ended before the generation was complete.
///
/// The `Debug` text is part of error messages and of the event `stream_resumed`.
#[derive(Debug, Clone, PartialEq)]
pub enum Interruption {
    /// The replica did not accept the request.
    NotTaken(UpstreamError),
    /// The stream ended early.
    Cut(String),
    /// No record that belongs to the response arrived within the timeout.
    Silent,
    /// The replica is draining, and the rest has to run on another one.
    Drained,
    /// The response came from another group or epoch than the request was sent to.
    WrongGroup,
    /// The replica violated the protocol.
    Malformed(String),
    /// The deadline of the request has passed.
    Deadline,
}

/// Result of waiting for an attempt.
#[derive(Debug)]
pub enum Progress {
    /// Tokens were appended to the emitted ones.
    Tokens,
    /// The generation is complete.
    End(FinishReason),
    /// The attempt has ended early.
    Interrupted(Interruption),
}

/// Timeouts of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamTimeouts {
    /// Longest time before the first token without a record that belongs to the response.
    pub first_token: Duration,
    /// Longest time after the first token without a record that belongs to the response.
    pub between_tokens: Duration,
    /// Time by which the request must have ended.
    pub deadline: Instant,
}

/// A running attempt, whose stream has been opened.
pub struct Attempt {
    /// Id of the attempt, which each record of its stream carries.
    pub id: AttemptId,
    /// Slot at the replica.
    pub slot: Slot,
    /// Time at which the request was sent to the replica.
    pub sent: Instant,
    /// Number of records discarded as duplicates or as belonging to another attempt.
    pub discarded: u32,
    stream: RecordStream,
    is_accepted: bool,
    has_tokens: bool,
    last_record_at: Instant,
    out_of_order: BTreeMap<u32, Vec<String>>,
    end: Option<EndRecord>,
    pending_interruption: Option<Interruption>,
    timer: Pin<Box<Sleep>>,
    timeouts: StreamTimeouts,
    max_tokens: u32,
}

impl Attempt {
    /// Creates an attempt from an opened stream.
    pub fn new(
        id: AttemptId,
        slot: Slot,
        sent: Instant,
        stream: RecordStream,
        timeouts: StreamTimeouts,
        max_tokens: u32,
    ) -> Self {
        Self {
            id,
            slot,
            sent,
            discarded: 0,
            stream,
            is_accepted: false,
            has_tokens: false,
            last_record_at: Instant::now(),
            out_of_order: BTreeMap::new(),
            end: None,
            pending_interruption: None,
            timer: Box::pin(tokio::time::sleep(timeouts.first_token)),
            timeouts,
            max_tokens,
        }
    }

    /// Waits for tokens and appends them to `emitted`, or returns how the attempt ended.
    pub async fn progress(&mut self, emitted: &mut Vec<String>) -> Progress {
        if let Some(interruption) = self.pending_interruption.take() {
            return Progress::Interrupted(interruption);
        }
        let offset_before = emitted.len();
        loop {
            if let Some(end) = self.end.take_if(|_| emitted.len() == offset_before) {
                return self.finish(&end, emitted);
            }
            if emitted.len() > offset_before {
                return Progress::Tokens;
            }
            let before = self.progress_marks(emitted);
            let item = tokio::select! {
                biased;
                item = self.stream.next() => item,
                () = self.timer.as_mut() => match self.check_timeouts() {
                    Some(interruption) => return Progress::Interrupted(interruption),
                    None => continue,
                },
            };
            if let Err(interruption) = self.handle(item, emitted) {
                return self.report_interruption(interruption, emitted.len() > offset_before);
            }
            while self.end.is_none() && emitted.len() - offset_before < MAX_BATCHED_TOKENS {
                let Some(item) = self.stream.next().now_or_never() else { break };
                if let Err(interruption) = self.handle(item, emitted) {
                    return self.report_interruption(interruption, emitted.len() > offset_before);
                }
            }
            if self.progress_marks(emitted) != before {
                self.last_record_at = Instant::now();
            } else if let Some(interruption) = self.check_timeouts() {
                return Progress::Interrupted(interruption);
            }
        }
    }

    /// Returns values of which at least one changes with each record that belongs to the response.
    fn progress_marks(&self, emitted: &[String]) -> (bool, usize, usize, bool) {
        (self.is_accepted, emitted.len(), self.out_of_order.len(), self.end.is_some())
    }

    /// Returns an interruption, or keeps it for the next call if tokens have to be returned first.
    fn report_interruption(&mut self, interruption: Interruption, has_tokens: bool) -> Progress {
        if !has_tokens {
            return Progress::Interrupted(interruption);
        }
        self.pending_interruption = Some(interruption);
        Progress::Tokens
    }

    /// Returns whether the replica has accepted the request.
    pub fn is_accepted(&self) -> bool {
        self.is_accepted
    }

    /// Drops the stream and returns the slot at the replica.
    ///
    /// Dropping an interrupted stream also closes the idle connections to the same upstream, so
    /// that a cancel or a probe sent afterwards does not use one that is unresponsive as well.
    pub fn into_slot(self) -> Slot {
        drop(self.stream);
        self.slot
    }

    fn check_timeouts(&mut self) -> Option<Interruption> {
        let now = Instant::now();
        let timeout = match self.has_tokens {
            true => self.timeouts.between_tokens,
            false => self.timeouts.first_token,
        };
        if now >= self.timeouts.deadline {
            return Some(Interruption::Deadline);
        }
        let due = self.last_record_at + timeout;
        if now >= due {
            return Some(Interruption::Silent);
        }
        self.timer.as_mut().reset(due.min(self.timeouts.deadline));
        None
    }

    fn handle(
        &mut self,
        item: Option<Result<StreamRecord, UpstreamError>>,
        emitted: &mut Vec<String>,
    ) -> Result<(), Interruption> {
        match item {
            None => Err(Interruption::Cut("the stream ended without an end record".to_string())),
            Some(Err(UpstreamError::Malformed { reason })) => Err(Interruption::Malformed(reason)),
            Some(Err(e)) if !e.may_have_run() && !self.is_accepted => {
                Err(Interruption::NotTaken(e))
            }
            Some(Err(e)) => Err(Interruption::Cut(e.to_string())),
            Some(Ok(StreamRecord::Accepted(record))) => self.accept(&record),
            Some(Ok(StreamRecord::Tokens(record))) => self.append(record, emitted),
            Some(Ok(StreamRecord::End(record))) => {
                if record.attempt != self.id {
                    self.discarded += 1;
                    return Ok(());
                }
                if let Some(load) = &record.load {
                    self.slot.replica().record_load(load, Instant::now());
                }
                self.end = Some(record);
                Ok(())
            }
        }
    }

    fn accept(&mut self, record: &AcceptedRecord) -> Result<(), Interruption> {
        if record.attempt != self.id {
            self.discarded += 1;
            return Ok(());
        }
        let identity = &self.slot.replica().identity;
        if record.group != identity.group || record.epoch != identity.epoch {
            return Err(Interruption::WrongGroup);
        }
        self.slot.replica().record_load(&record.load, Instant::now());
        self.is_accepted = true;
        Ok(())
    }

    fn append(
        &mut self,
        record: TokenRecord,
        emitted: &mut Vec<String>,
    ) -> Result<(), Interruption> {
        if record.attempt != self.id {
            self.discarded += 1;
            return Ok(());
        }
        if !self.is_accepted {
            return Err(Interruption::Malformed(
                "the replica sent tokens before it accepted the request".to_string(),
            ));
        }
        if !self.has_tokens {
            self.has_tokens = true;
            self.timer.as_mut().reset(Instant::now() + self.timeouts.between_tokens);
        }
        if record.offset as usize == emitted.len() && self.out_of_order.is_empty() {
            emitted.extend(record.tokens);
        } else {
            self.reorder(record, emitted)?;
        }
        if emitted.len() > self.max_tokens as usize {
            emitted.truncate(self.max_tokens as usize);
            return Err(Interruption::Malformed(
                "the replica sent more tokens than requested".to_string(),
            ));
        }
        Ok(())
    }

    /// Appends the new tokens of a record, or buffers the record while an earlier one is missing.
    fn reorder(
        &mut self,
        record: TokenRecord,
        emitted: &mut Vec<String>,
    ) -> Result<(), Interruption> {
        if self.out_of_order.len() == MAX_OUT_OF_ORDER_RECORDS {
            return Err(Interruption::Malformed(
                "too many records arrived after missing tokens".to_string(),
            ));
        }
        let is_longer =
            self.out_of_order.get(&record.offset).is_none_or(|k| k.len() < record.tokens.len());
        if is_longer {
            self.out_of_order.insert(record.offset, record.tokens);
        }
        while let Some(entry) = self.out_of_order.first_entry() {
            let offset = *entry.key() as usize;
            if offset > emitted.len() {
                return Ok(());
            }
            let tokens = entry.remove();
            let duplicates = emitted.len() - offset;
            self.discarded += u32::from(duplicates > 0);
            emitted.extend(tokens.into_iter().skip(duplicates));
        }
        Ok(())
    }

    fn finish(&self, end: &EndRecord, emitted: &[String]) -> Progress {
        let is_complete = end.length as usize == emitted.len() && self.is_accepted;
        match end.reason {
            FinishReason::Drained => Progress::Interrupted(Interruption::Drained),
            FinishReason::Cancelled => Progress::Interrupted(Interruption::Cut(
                "the replica cancelled the request".to_string(),
            )),
            FinishReason::Stop | FinishReason::Length if is_complete => Progress::End(end.reason),
            FinishReason::Stop | FinishReason::Length => {
                let (reported, received) = (end.length, emitted.len());
                let reason =
                    format!("received {received} tokens, but the replica reported {reported}");
                Progress::Interrupted(Interruption::Cut(reason))
            }
        }
    }
}
