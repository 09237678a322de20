//! What the clients of an HTTP listener may make a process hold: sections `[vm]` and
//! `[clients]`.
//!
//! The defaults follow from the memory and the descriptors of the VM, so that all listeners
//! together leave most of the memory to the state of the jobs, and descriptors to links and
//! calls to the store.

use std::time::Duration;

use super::check::{at_least_one, duration};
use super::{ConfigError, Section};
use crate::types::Bytes;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Least descriptors of a VM.
const MIN_DESCRIPTORS: usize = 2 * FILE_DESCRIPTORS;
/// Least memory of a VM, and of the clients of a listener, in bytes.
const MIN_VM_BYTES: u64 = 16_000_000;
const MIN_MEMORY_BYTES: u64 = 250_000;
/// Bounds of the head of a request, in bytes; the HTTP library needs the first.
const MIN_HEAD_BYTES: u64 = 8 << 10;
const MAX_HEAD_BYTES: u64 = 1 << 20;
/// Longest accepted time.
const MAX_TIME: Duration = Duration::from_secs(600);

/// Parts of the VM's memory for clients, for pages of operators and for the readiness probe.
const CLIENT_MEMORY: usize = 4;
const PAGE_MEMORY: usize = 16;
const PROBE_MEMORY: usize = 64;
/// Parts of the VM's sockets for connections of clients, for requests of clients, each of
/// which may need one to the store, and for operators or the probe.
const CLIENT_SOCKETS: usize = 2;
const REQUEST_SOCKETS: usize = 4;
const PAGE_SOCKETS: usize = 32;

/// Memory and descriptors of a process's VM: section `[vm]`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmConfig {
    /// Memory that the process may use: key `memory`.
    pub memory: Bytes,
    /// Descriptors that the process may open: key `descriptors`.
    pub descriptors: usize,
}

impl Default for VmConfig {
    fn default() -> Self {
        Self {
            memory: Bytes(256_000_000),
            descriptors: 4_096,
        }
    }
}

impl VmConfig {
    /// Takes the keys out of `section`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first value that is not accepted.
    pub fn take(section: &mut Section) -> Result<Self, ConfigError> {
        let base = Self::default();
        let descriptors = |text: &str| match at_least_one::<usize>(text)? {
            n if n < MIN_DESCRIPTORS => Err(format!("expected at least {MIN_DESCRIPTORS}")),
            n => Ok(n),
        };
        Ok(Self {
            memory: section.take_with("memory", base.memory, bytes(MIN_VM_BYTES, u64::MAX))?,
            descriptors: section.take_with("descriptors", base.descriptors, descriptors)?,
        })
    }

    fn sockets(&self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}

/// Limits of one HTTP listener, over all its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpConfig {
    /// Open connections: key `connections`.
    pub connections: usize,
    /// Requests that have arrived and are not answered: key `requests`.
    pub requests: usize,
    /// What all connections hold together, in bytes: key `memory`.
    pub memory: usize,
    /// Head of a request, in bytes: key `head`.
    pub head: usize,
    /// Time from the first byte of a request to the end of its head: key `head-time`.
    pub head_time: Duration,
    /// Time from the first byte of a request to its last one: key `receive-time`.
    pub receive_time: Duration,
    /// Time for which a client may leave an answer unread: key `send-time`.
    pub send_time: Duration,
}

impl Default for HttpConfig {
    fn default() -> Self {
        Self::of_clients(&VmConfig::default())
    }
}

impl HttpConfig {
    /// Limits of a listener for clients.
    pub fn of_clients(vm: &VmConfig) -> Self {
        let sockets = vm.sockets();
        Self {
            connections: sockets / CLIENT_SOCKETS,
            requests: sockets / REQUEST_SOCKETS,
            memory: share(vm, CLIENT_MEMORY),
            head: 32 << 10,
            head_time: Duration::from_secs(10),
            receive_time: Duration::from_secs(30),
            send_time: Duration::from_secs(30),
        }
    }

    /// Limits of a listener for operators: pages and metrics.
    pub fn of_pages(vm: &VmConfig) -> Self {
        Self {
            memory: share(vm, PAGE_MEMORY),
            ..Self::of_few(vm)
        }
    }

    /// Limits of the listener for the load balancer's readiness probe.
    pub fn of_probe(vm: &VmConfig) -> Self {
        Self {
            memory: share(vm, PROBE_MEMORY),
            ..Self::of_few(vm)
        }
    }

    fn of_few(vm: &VmConfig) -> Self {
        let sockets = vm.sockets() / PAGE_SOCKETS;
        Self {
            connections: sockets,
            requests: sockets,
            ..Self::of_clients(vm)
        }
    }

    /// Takes the keys of a listener for clients out of `section`.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] for the first value that is not accepted.
    pub fn take(section: &mut Section, vm: &VmConfig) -> Result<Self, ConfigError> {
        let base = Self::of_clients(vm);
        let time = duration(MAX_TIME);
        let memory = bytes(MIN_MEMORY_BYTES, vm.memory.0);
        let head = bytes(MIN_HEAD_BYTES, MAX_HEAD_BYTES);
        Ok(Self {
            connections: section.take_with("connections", base.connections, at_least_one)?,
            requests: section.take_with("requests", base.requests, at_least_one)?,
            memory: section.take_with("memory", base.memory, |text| size(&memory, text))?,
            head: section.take_with("head", base.head, |text| size(&head, text))?,
            head_time: section.take_with("head-time", base.head_time, &time)?,
            receive_time: section.take_with("receive-time", base.receive_time, &time)?,
            send_time: section.take_with("send-time", base.send_time, &time)?,
        })
    }
}

fn share(vm: &VmConfig, parts: usize) -> usize {
    usize::try_from(vm.memory.0).unwrap_or(usize::MAX) / parts
}

/// A size within bounds, such as `64MB`.
fn bytes(least: u64, most: u64) -> impl Fn(&str) -> Result<Bytes, String> {
    move |text| {
        let size: Bytes = text
            .parse()
            .map_err(|_| "not a size such as 64MB".to_owned())?;
        if (least..=most).contains(&size.0) {
            return Ok(size);
        }
        Err(format!("expected {least} to {most} bytes"))
    }
}

fn size(parse: impl Fn(&str) -> Result<Bytes, String>, text: &str) -> Result<usize, String> {
    usize::try_from(parse(text)?.0).map_err(|error| error.to_string())
}
