//! Resolves writes whose answers were lost.
//!
//! Each write to a group of keys carries a [`WriteId`] and, in the same commit,
//! replaces the group's [`WriteLog`] under one key, on condition that the log is
//! unchanged since it was read. The log lists the newest writes of the group and
//! is never deleted, so once its revision has changed, a commit conditioned on the
//! old one can no longer succeed. When an answer is lost, the log is read back and
//! [`resolve`] returns the outcome of the write:
//!
//! - the log lists the write: it took effect;
//! - the log is unchanged: the write has not taken effect yet, and may still
//!   arrive; sending the same commit again cannot make it take effect twice;
//! - the log has changed, still reaches back to its state before the write, and
//!   does not list the write: it was refused and can no longer take effect;
//! - the log no longer reaches back so far: the outcome is unknown.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use crate::types::Revision;

/// Maximum number of writes in a log; the oldest are dropped.
pub const MAX_LOG_WRITES: usize = 64;

/// Unique identifier of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// Random number of the writing process's incarnation.
    pub writer: u64,
    /// Number of the write within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x} {}", self.writer, self.sequence)
    }
}

/// Error for a write log that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("line {line} of the write log is malformed"))]
pub struct WriteLogError {
    /// Line number, from 1.
    line: usize,
}

/// The newest writes of a group of keys, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WriteLog {
    writes: VecDeque<WriteId>,
}

impl WriteLog {
    /// Parses a log: one line per write, with the writer in hexadecimal and the sequence.
    ///
    /// # Errors
    ///
    /// Returns [`WriteLogError`] for the first malformed line.
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

    /// Formats the log as a value for the store.
    pub fn to_value(&self) -> Vec<u8> {
        let lines = self.writes.iter().map(|write| format!("{write}\n"));
        lines.collect::<String>().into_bytes()
    }

    /// Returns the log with `write` appended and the oldest dropped beyond the maximum.
    #[must_use]
    pub fn with(&self, write: WriteId) -> Self {
        let excess = (self.writes.len() + 1).saturating_sub(MAX_LOG_WRITES);
        let kept = self.writes.iter().skip(excess).copied();
        Self {
            writes: kept.chain([write]).collect(),
        }
    }

    /// The newest write.
    pub fn last(&self) -> Option<WriteId> {
        self.writes.back().copied()
    }

    /// Whether the log lists `write`.
    pub fn contains(&self, write: WriteId) -> bool {
        self.writes.contains(&write)
    }

    /// Whether the log lists every write since the newest one in `base`.
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

/// A write log with the revision of its key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionedLog {
    /// The log; empty when the key does not exist.
    pub log: WriteLog,
    /// Revision of the key's last change; `None` when the key does not exist.
    pub revision: Option<Revision>,
}

/// Outcome of a write, as far as the log shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; the revision is known unless other writes followed.
    Accepted(Option<Revision>),
    /// It did not and will not take effect.
    Refused,
    /// It has not taken effect and may still do so.
    Pending,
    /// The log does not reach back far enough, or the store returned to an older state.
    Unknown,
}

/// Determines the outcome of `write` from `current`, the log that was read back.
///
/// `base` is the log on which the write was conditioned.
pub fn resolve(write: WriteId, base: &VersionedLog, current: &VersionedLog) -> WriteOutcome {
    if current.log.last() == Some(write) {
        return WriteOutcome::Accepted(current.revision);
    }
    if current.log.contains(write) {
        return WriteOutcome::Accepted(None);
    }
    if current.revision == base.revision {
        return WriteOutcome::Pending;
    }
    if current.revision > base.revision && current.log.reaches_back_to(&base.log) {
        return WriteOutcome::Refused;
    }
    WriteOutcome::Unknown
}

#[cfg(test)]
mod tests;
