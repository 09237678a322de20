//! Settling of writes whose answers were lost.
//!
//! Each write of a group of keys carries a [`WriteId`] and, in the same commit,
//! replaces the group's [`WriteLog`] under one key, on condition that the log is
//! unchanged since it was read. The log names the newest writes of the group and
//! is never deleted, so its revision tells for good whether a condition can still
//! hold. When an answer is lost, the log is read back and [`resolve`] says what
//! became of the write:
//!
//! - the write is in the log: it took effect;
//! - the log is unchanged: the write has not taken effect yet, and may still
//!   arrive; sending the same commit again cannot make it take effect twice;
//! - the log has changed and still reaches back to its state before the write,
//!   without the write: it was refused and can no longer take effect;
//! - the log no longer reaches back so far: nothing can be told.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::types::Revision;

/// Writes that a log names.
pub const MAX_LOG_WRITES: usize = 64;

/// Identity of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// Number of one life of the writing process, chosen at random.
    pub writer: u64,
    /// Number of the write within that life.
    pub sequence: u64,
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x} {}", self.writer, self.sequence)
    }
}

/// A log that was not readable.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("line {line} of the write log is malformed"))]
pub struct WriteLogError {
    /// Number of the line, from 1.
    line: usize,
}

/// The newest writes of a group of keys, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteLog {
    writes: VecDeque<WriteId>,
}

impl WriteLog {
    /// Reads a log: a line for each write, with writer in hexadecimal and sequence.
    ///
    /// # Errors
    ///
    /// Returns [`LogError`] for the first malformed line.
    pub fn parse(value: &[u8]) -> Result<Self, WriteLogError> {
        let text = std::str::from_utf8(value).ok();
        let text = text.context(WriteLogSnafu { line: 1_usize })?;
        let writes = text
            .lines()
            .enumerate()
            .map(|(n, line)| parse_line(line).context(WriteLogSnafu { line: n + 1 }));
        Ok(Self {
            writes: writes.collect::<Result<_, _>>()?,
        })
    }

    /// The log as a value for the store.
    pub fn to_value(&self) -> Vec<u8> {
        let lines = self.writes.iter().map(|write| format!("{write}\n"));
        lines.collect::<String>().into_bytes()
    }

    /// The log after one more write.
    #[must_use]
    pub fn with(&self, write: WriteId) -> Self {
        let surplus = (self.writes.len() + 1).saturating_sub(MAX_LOG_WRITES);
        let kept = self.writes.iter().skip(surplus).copied();
        Self {
            writes: kept.chain([write]).collect(),
        }
    }

    /// The newest write.
    pub fn last(&self) -> Option<WriteId> {
        self.writes.back().copied()
    }

    /// Whether the log names `write`.
    pub fn contains(&self, write: WriteId) -> bool {
        self.writes.contains(&write)
    }

    /// Whether every write since the one that was newest in `base` is named.
    fn reaches_back_to(&self, base: &Self) -> bool {
        match base.last() {
            Some(last) => self.contains(last),
            None => self.writes.len() < MAX_LOG_WRITES,
        }
    }
}

fn parse_line(line: &str) -> Option<WriteId> {
    let (writer, sequence) = line.split_once(' ')?;
    Some(WriteId {
        writer: u64::from_str_radix(writer, 16).ok()?,
        sequence: sequence.parse().ok()?,
    })
}

/// A log with the revision of its key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedLog {
    /// The log; empty when the key does not exist.
    pub log: WriteLog,
    /// Revision of the key's last change; none when it does not exist.
    pub revision: Option<Revision>,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; the revision is known unless others wrote since.
    Accepted(Option<Revision>),
    /// It did not and will not take effect.
    Refused,
    /// It has not taken effect and may still do so.
    Pending,
    /// It cannot be told.
    Unknown,
}

/// Tells from the guard that was read back what became of `write`.
///
/// `base` is the guard on whose state the write was conditioned.
pub fn resolve(write: WriteId, base: &VersionedLog, now: &VersionedLog) -> WriteOutcome {
    if now.log.last() == Some(write) {
        return WriteOutcome::Accepted(now.revision);
    }
    if now.log.contains(write) {
        return WriteOutcome::Accepted(None);
    }
    if now.revision == base.revision {
        return WriteOutcome::Pending;
    }
    if now.revision > base.revision && now.log.reaches_back_to(&base.log) {
        return WriteOutcome::Refused;
    }
    WriteOutcome::Unknown
}

#[cfg(test)]
mod tests;
