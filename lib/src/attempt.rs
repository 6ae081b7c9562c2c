//! One attempt to run a request at a replica: its stream, with records of other attempts discarded
//! and tokens put in order.

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

/// Tokens that are collected into one event when they are there already.
const MAX_TOGETHER: usize = 64;
/// Records that may wait for an earlier one.
const MAX_EARLY: usize = 64;

/// Why an attempt gave no whole answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Break {
    /// The replica did not take the request.
    NotTaken(String),
    /// The stream was cut.
    Cut(String),
    /// Nothing came for longer than the bound.
    Silent,
    /// The replica is leaving and hands the rest over.
    Drained,
    /// Another group answered than the one that was asked.
    WrongGroup,
    /// The replica broke the protocol.
    Malformed(String),
    /// This node hands its streams back.
    Moved,
    /// The deadline passed.
    Deadline,
}

/// What an attempt gave.
#[derive(Debug)]
pub enum Progress {
    /// Tokens were appended.
    Tokens,
    /// The answer is complete.
    End(FinishReason),
    /// It gives nothing more.
    Broken(Break),
}

/// When a stream that gives nothing is given up or looked at.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// Longest silence before the first token.
    pub first: Duration,
    /// Longest silence between tokens.
    pub between: Duration,
    /// Time by which the request must have ended.
    pub deadline: Instant,
}

/// A running attempt.
pub struct Attempt {
    /// Id.
    pub id: AttemptId,
    /// Place at the replica.
    pub slot: Slot,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Records that were discarded.
    pub discarded: u32,
    stream: RecordStream,
    is_accepted: bool,
    has_tokens: bool,
    last: Instant,
    early: BTreeMap<u32, Vec<String>>,
    end: Option<EndRecord>,
    broken: Option<Break>,
    sleep: Pin<Box<Sleep>>,
    patience: Patience,
    max_tokens: u32,
}

impl Attempt {
    /// Returns an attempt whose stream has been opened.
    pub fn new(
        id: AttemptId,
        slot: Slot,
        sent: Instant,
        stream: RecordStream,
        patience: Patience,
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
            last: Instant::now(),
            early: BTreeMap::new(),
            end: None,
            broken: None,
            sleep: Box::pin(tokio::time::sleep(patience.first)),
            patience,
            max_tokens,
        }
    }

    /// Waits for tokens, appends them to `emitted`, and tells what came.
    ///
    /// `is_moving` is asked at the end of each silence bound, not for each record.
    pub async fn progress(
        &mut self,
        emitted: &mut Vec<String>,
        is_moving: impl Fn() -> bool,
    ) -> Progress {
        if let Some(broken) = self.broken.take() {
            return Progress::Broken(broken);
        }
        let before = emitted.len();
        loop {
            if let Some(end) = self.end.take_if(|_| emitted.len() == before) {
                return self.finish(&end, emitted);
            }
            if emitted.len() > before {
                return Progress::Tokens;
            }
            let item = tokio::select! {
                biased;
                item = self.stream.next() => item,
                () = self.sleep.as_mut() => match self.wake(&is_moving) {
                    Some(broken) => return Progress::Broken(broken),
                    None => continue,
                },
            };
            if let Err(broken) = self.take(item, emitted) {
                return self.broken(broken, emitted.len() > before);
            }
            while self.end.is_none() && emitted.len() - before < MAX_TOGETHER {
                let Some(item) = self.stream.next().now_or_never() else { break };
                if let Err(broken) = self.take(item, emitted) {
                    return self.broken(broken, emitted.len() > before);
                }
            }
            self.last = Instant::now();
        }
    }

    /// Tokens that came before a break are given first; the break shows at the next call.
    fn broken(&mut self, broken: Break, has_tokens: bool) -> Progress {
        if !has_tokens {
            return Progress::Broken(broken);
        }
        self.broken = Some(broken);
        Progress::Tokens
    }

    /// Tells whether the replica has taken the request.
    pub fn is_accepted(&self) -> bool {
        self.is_accepted
    }

    /// Ends the stream and returns the place at the replica.
    ///
    /// Dropping a stream that broke also retires the idle connections beside it, so that a cancel
    /// or a probe sent afterwards does not go out on one that is silent as well.
    pub fn into_slot(self) -> Slot {
        drop(self.stream);
        self.slot
    }

    fn wake(&mut self, is_moving: &impl Fn() -> bool) -> Option<Break> {
        let now = Instant::now();
        let bound = match self.has_tokens {
            true => self.patience.between,
            false => self.patience.first,
        };
        if now >= self.patience.deadline {
            return Some(Break::Deadline);
        }
        if is_moving() {
            return Some(Break::Moved);
        }
        let due = self.last + bound;
        if now >= due {
            return Some(Break::Silent);
        }
        self.sleep.as_mut().reset(due.min(self.patience.deadline));
        None
    }

    fn take(
        &mut self,
        item: Option<Result<StreamRecord, UpstreamError>>,
        emitted: &mut Vec<String>,
    ) -> Result<(), Break> {
        match item {
            None => Err(Break::Cut("the stream ended without an end record".to_string())),
            Some(Err(UpstreamError::Malformed { reason })) => Err(Break::Malformed(reason)),
            Some(Err(e)) if !e.may_have_run() && !self.is_accepted => {
                Err(Break::NotTaken(e.to_string()))
            }
            Some(Err(e)) => Err(Break::Cut(e.to_string())),
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

    fn accept(&mut self, record: &AcceptedRecord) -> Result<(), Break> {
        if record.attempt != self.id {
            self.discarded += 1;
            return Ok(());
        }
        let identity = &self.slot.replica().identity;
        if record.group != identity.group || record.epoch != identity.epoch {
            return Err(Break::WrongGroup);
        }
        self.slot.replica().record_load(&record.load, Instant::now());
        self.is_accepted = true;
        Ok(())
    }

    fn append(&mut self, record: TokenRecord, emitted: &mut Vec<String>) -> Result<(), Break> {
        if record.attempt != self.id {
            self.discarded += 1;
            return Ok(());
        }
        if !self.is_accepted {
            return Err(Break::Malformed("tokens before the request was accepted".to_string()));
        }
        if !self.has_tokens {
            self.has_tokens = true;
            self.sleep.as_mut().reset(Instant::now() + self.patience.between);
        }
        if record.offset as usize == emitted.len() && self.early.is_empty() {
            emitted.extend(record.tokens);
        } else {
            self.reorder(record, emitted)?;
        }
        if emitted.len() > self.max_tokens as usize {
            emitted.truncate(self.max_tokens as usize);
            return Err(Break::Malformed("more tokens than asked for".to_string()));
        }
        Ok(())
    }

    /// Appends what the record adds; one that comes early waits for those before it.
    fn reorder(&mut self, record: TokenRecord, emitted: &mut Vec<String>) -> Result<(), Break> {
        if self.early.len() == MAX_EARLY {
            return Err(Break::Malformed("tokens are missing".to_string()));
        }
        let longer = self.early.get(&record.offset).is_none_or(|k| k.len() < record.tokens.len());
        if longer {
            self.early.insert(record.offset, record.tokens);
        }
        while let Some(entry) = self.early.first_entry() {
            let offset = *entry.key() as usize;
            if offset > emitted.len() {
                return Ok(());
            }
            let tokens = entry.remove();
            let known = emitted.len() - offset;
            self.discarded += u32::from(known > 0);
            emitted.extend(tokens.into_iter().skip(known));
        }
        Ok(())
    }

    fn finish(&self, end: &EndRecord, emitted: &[String]) -> Progress {
        let is_whole = end.length as usize == emitted.len() && self.is_accepted;
        match end.reason {
            FinishReason::Drained => Progress::Broken(Break::Drained),
            FinishReason::Cancelled => {
                Progress::Broken(Break::Cut("the replica cancelled the request".to_string()))
            }
            FinishReason::Stop | FinishReason::Length if is_whole => Progress::End(end.reason),
            FinishReason::Stop | FinishReason::Length => {
                let (told, seen) = (end.length, emitted.len());
                let reason = format!("the answer has {seen} tokens, the replica told {told}");
                Progress::Broken(Break::Cut(reason))
            }
        }
    }
}
