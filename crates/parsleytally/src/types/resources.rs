//! Amounts of processors, memory and accelerators.

use std::fmt;

use derive_more::{Add, AddAssign, Display, From, Into};
use serde::{Deserialize, Serialize};

/// Processor time in thousandths of a processor.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0}m")]
pub struct MilliCpu(pub u64);

/// An amount of memory in bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{}", bytesize::ByteSize(*_0))]
pub struct Bytes(pub u64);

impl std::str::FromStr for Bytes {
    type Err = String;

    /// Parses an amount such as `64MiB` or `60GB`.
    fn from_str(text: &str) -> Result<Self, String> {
        text.parse::<bytesize::ByteSize>().map(|size| Self(size.0))
    }
}

/// Resources of a worker, or resources that a task needs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processors, in thousandths.
    pub cpu: MilliCpu,
    /// Memory, in bytes.
    pub memory: Bytes,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources at all.
    pub const NONE: Self = Self {
        cpu: MilliCpu(0),
        memory: Bytes(0),
        accelerators: 0,
    };

    /// Creates an amount from thousandths of processors, bytes and whole accelerators.
    pub const fn new(cpu: u64, memory: u64, accelerators: u32) -> Self {
        Self {
            cpu: MilliCpu(cpu),
            memory: Bytes(memory),
            accelerators,
        }
    }

    /// Sum of both amounts, or `None` on overflow.
    pub fn checked_add(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: MilliCpu(self.cpu.0.checked_add(other.cpu.0)?),
            memory: Bytes(self.memory.0.checked_add(other.memory.0)?),
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// The difference to `other`, or `None` if `other` is larger in any dimension.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu: MilliCpu(self.cpu.0.checked_sub(other.cpu.0)?),
            memory: Bytes(self.memory.0.checked_sub(other.memory.0)?),
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Sum of both amounts, at most the largest value in each dimension.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: MilliCpu(self.cpu.0.saturating_add(other.cpu.0)),
            memory: Bytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference to `other`, or 0 in each dimension in which `other` is larger.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: MilliCpu(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Bytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Whether this amount is at most `available` in every dimension.
    pub fn fits(&self, available: &Self) -> bool {
        available.checked_sub(self).is_some()
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cpu {}, memory {}", self.cpu, self.memory)?;
        write!(f, ", accelerators {}", self.accelerators)
    }
}
