//! What the connections of a listener hold together, and which is closed for another one.
//!
//! A connection that waits for its client can be closed at any time, since nothing of its
//! request has been carried out. Of these, the one with the largest product of memory and
//! waiting time goes first: a client that stops short costs others more the longer it stays,
//! and one that sends small pieces gains nothing by them. A request that is being answered is
//! never ended for another one; while the listener is full, its connection is closed after the
//! answer.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use futures::task::AtomicWaker;
use parsleytally::configs::HttpConfig;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::limit::{Limit, LimitLog, Refusal};
use super::metrics::HttpMetrics;

/// Time between two sweeps.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Size of the system's buffer for bytes that are not read yet.
pub(super) const UNREAD_BYTES: u32 = 16 << 10;
/// What an open connection holds with small requests: its task, its buffers of 8 KiB for
/// reading and writing, and bytes that are not read yet.
const CONNECTION_BYTES: usize = 16 * 1_024 + UNREAD_BYTES as usize;
/// Bytes of a request up to which the HTTP library's buffer does not grow.
const SMALL_REQUEST_BYTES: usize = 4 << 10;
/// Buffers of a head's size that a larger request may hold: the present one and a former one,
/// which the head refers to.
const LARGE_BUFFERS: usize = 2;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The next request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The handler.
    Answering,
    /// The client, which has to read the answer.
    Sending,
}

/// What one connection holds.
#[derive(Debug)]
struct Held {
    bytes: usize,
    /// Part of `bytes` that stays until the connection is closed.
    buffers: usize,
    /// Bytes of the present request.
    received: usize,
    phase: Phase,
    /// Start of the wait: the first byte of the request, or the end of the last one.
    since: Instant,
    /// Whether the client has left the answer unread.
    blocked: bool,
    closed: CancellationToken,
}

impl Held {
    fn waits_for_client(&self) -> bool {
        match self.phase {
            Phase::Idle | Phase::Head | Phase::Body => true,
            Phase::Answering => false,
            Phase::Sending => self.blocked,
        }
    }

    /// Memory times waiting time, by which connections are chosen.
    fn cost(&self, now: Instant) -> u128 {
        let waited = now.saturating_duration_since(self.since);
        self.bytes as u128 * (waited.as_micros() + 1)
    }

    fn overdue(&self, limits: &HttpConfig, now: Instant) -> Option<Limit> {
        let (limit, time) = match self.phase {
            Phase::Head => (Limit::HeadTime, limits.head_time),
            Phase::Body => (Limit::ReceiveTime, limits.receive_time),
            Phase::Sending => (Limit::SendTime, limits.send_time),
            Phase::Idle | Phase::Answering => return None,
        };
        (now.saturating_duration_since(self.since) > time).then_some(limit)
    }
}

#[derive(Debug, Default)]
struct State {
    bytes: usize,
    requests: usize,
    last_id: u64,
    open: HashMap<u64, Held>,
    log: LimitLog,
}

impl State {
    /// Takes out a connection; what it holds is free as soon as its task has run.
    fn remove(&mut self, id: u64) -> Option<Held> {
        let held = self.open.remove(&id)?;
        self.bytes -= held.bytes;
        self.requests -= usize::from(held.phase == Phase::Answering);
        Some(held)
    }

    /// Gives back what a connection holds beside its buffers.
    fn release(&mut self, id: u64) {
        if let Some(held) = self.open.get_mut(&id) {
            self.bytes -= held.bytes - held.buffers;
            held.bytes = held.buffers;
        }
    }

    /// The connection other than `own` that waits for its client at the highest cost.
    fn costliest(&self, own: Option<u64>) -> Option<u64> {
        let now = Instant::now();
        let others = self.open.iter().filter(|(id, _)| Some(**id) != own);
        let waiting = others.filter(|(_, held)| held.waits_for_client());
        let costliest = waiting.max_by_key(|(_, held)| held.cost(now));
        costliest.map(|(id, _)| *id)
    }
}

/// The connections of one listener.
#[derive(Debug)]
pub(super) struct Connections {
    name: &'static str,
    limits: HttpConfig,
    metrics: HttpMetrics,
    state: Mutex<State>,
}

impl Connections {
    pub(super) fn new(name: &'static str, limits: HttpConfig, metrics: HttpMetrics) -> Self {
        Self {
            name,
            limits,
            metrics,
            state: Mutex::default(),
        }
    }

    pub(super) fn limits(&self) -> &HttpConfig {
        &self.limits
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, state: &mut State, limit: Limit) {
        state.log.note(limit);
        self.metrics.count(self.name, limit);
    }

    /// Counts that a connection was closed at `limit`.
    pub(super) fn note_limit(&self, limit: Limit) {
        self.note(&mut self.state(), limit);
    }

    /// Closes the costliest connection other than `own`; false if there is none.
    fn close_costliest(&self, state: &mut State, own: Option<u64>, limit: Limit) -> bool {
        let Some(id) = state.costliest(own) else {
            return false;
        };
        self.close(state, id, limit);
        true
    }

    fn close(&self, state: &mut State, id: u64, limit: Limit) {
        if let Some(held) = state.remove(id) {
            held.closed.cancel();
        }
        self.note(state, limit);
    }

    /// Closes connections other than `own` until `bytes` more can be held.
    fn make_room(&self, state: &mut State, own: Option<u64>, bytes: usize) -> Result<(), Refusal> {
        while state.bytes + bytes > self.limits.memory {
            if !self.close_costliest(state, own, Limit::Memory) {
                return Err(Refusal::Memory);
            }
        }
        Ok(())
    }

    /// Takes in a new connection; none if all others are being answered.
    pub(super) fn open(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let mut state = self.state();
        let is_full = state.open.len() >= self.limits.connections;
        if is_full && !self.close_costliest(&mut state, None, Limit::Connections) {
            self.note(&mut state, Limit::BusyConnections);
            return None;
        }
        if self.make_room(&mut state, None, CONNECTION_BYTES).is_err() {
            self.note(&mut state, Limit::BusyMemory);
            return None;
        }
        state.last_id += 1;
        state.bytes += CONNECTION_BYTES;
        let (id, closed) = (state.last_id, CancellationToken::new());
        let held = Held {
            bytes: CONNECTION_BYTES,
            buffers: CONNECTION_BYTES,
            received: 0,
            phase: Phase::Idle,
            since: Instant::now(),
            blocked: false,
            closed: closed.clone(),
        };
        state.open.insert(id, held);
        drop(state);
        Some(Arc::new(Connection {
            id,
            all: self.clone(),
            closed,
            blocked: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        }))
    }

    /// Whether there is no memory or no place for another connection.
    fn is_full(&self, state: &State) -> bool {
        state.bytes + CONNECTION_BYTES > self.limits.memory
            || state.open.len() >= self.limits.connections
    }

    /// Closes connections whose clients are overdue, and writes metrics and log lines.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let overdue = state.open.iter();
        let overdue =
            overdue.filter_map(|(id, held)| Some((*id, held.overdue(&self.limits, now)?)));
        let overdue: Vec<_> = overdue.collect();
        for (id, limit) in overdue {
            self.close(&mut state, id, limit);
        }
        let (connections, bytes) = (state.open.len(), state.bytes);
        let lines = state.log.take_due(now);
        drop(state);
        self.metrics.set(self.name, connections, bytes);
        for (limit, count) in lines {
            log::warn!(listener = self.name, limit:% = limit, count, connections,
                held_bytes = bytes; "connections closed or requests refused at a limit");
        }
    }
}

/// One connection in the account of its listener; it is taken out when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    id: u64,
    all: Arc<Connections>,
    closed: CancellationToken,
    /// Whether the client has left the answer unread.
    blocked: AtomicBool,
    /// Of the next request's task, which waits until it is read.
    waker: AtomicWaker,
}

impl Connection {
    /// Completes when the connection has to be closed.
    pub(super) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Charges `bytes` until the request has been answered.
    pub(super) fn charge(&self, bytes: usize) -> Result<(), Refusal> {
        self.charge_counted(&mut self.all.state(), bytes)
    }

    /// Charges `bytes`, and counts the limit that does not allow it.
    fn charge_counted(&self, state: &mut State, bytes: usize) -> Result<(), Refusal> {
        let result = self.charge_locked(state, bytes);
        if let Some(limit) = result.err().and_then(Refusal::limit) {
            self.all.note(state, limit);
        }
        result
    }

    fn charge_locked(&self, state: &mut State, bytes: usize) -> Result<(), Refusal> {
        let held = state.open.get(&self.id).ok_or(Refusal::Closed)?.bytes;
        if held.saturating_add(bytes) > self.all.limits.memory {
            return Err(Refusal::TooLarge);
        }
        self.all.make_room(state, Some(self.id), bytes)?;
        state.bytes += bytes;
        if let Some(held) = state.open.get_mut(&self.id) {
            held.bytes += bytes;
        }
        Ok(())
    }

    /// Notes that bytes were read from the socket.
    pub(super) fn received(&self, bytes: usize) -> Result<(), Refusal> {
        let mut state = self.all.state();
        let held = state.open.get_mut(&self.id).ok_or(Refusal::Closed)?;
        if held.phase == Phase::Idle {
            held.phase = Phase::Head;
            held.since = Instant::now();
            held.received = 0;
        }
        held.received += bytes;
        if held.received <= SMALL_REQUEST_BYTES || held.buffers > CONNECTION_BYTES {
            return Ok(());
        }
        let buffers = LARGE_BUFFERS * self.all.limits.head;
        self.charge_counted(&mut state, buffers)?;
        if let Some(held) = state.open.get_mut(&self.id) {
            held.buffers += buffers;
        }
        Ok(())
    }

    /// Notes that the head of a request has arrived, and its body is expected.
    pub(super) fn expects_body(&self) {
        if let Some(held) = self.all.state().open.get_mut(&self.id) {
            held.phase = Phase::Body;
        }
    }

    /// Notes that a whole request has arrived; fails if too many are not answered.
    pub(super) fn received_whole(&self) -> Result<(), Refusal> {
        let mut state = self.all.state();
        if state.requests >= self.all.limits.requests {
            self.all.note(&mut state, Limit::BusyRequests);
            return Err(Refusal::Requests);
        }
        let held = state.open.get_mut(&self.id).ok_or(Refusal::Closed)?;
        if held.phase != Phase::Answering {
            held.phase = Phase::Answering;
            state.requests += 1;
        }
        Ok(())
    }

    /// Notes that the request has an answer of `bytes`; fails if there is no memory for it.
    pub(super) fn answered(&self, bytes: usize) -> Result<(), Refusal> {
        let mut state = self.all.state();
        let Some(held) = state.open.get_mut(&self.id) else {
            return Err(Refusal::Closed);
        };
        let was_answering = held.phase == Phase::Answering;
        held.phase = Phase::Sending;
        held.since = Instant::now();
        held.received = 0;
        state.requests -= usize::from(was_answering);
        state.release(self.id);
        self.charge_counted(&mut state, bytes)
    }

    /// Whether the connection gives way to others once its request has been answered. So those
    /// whose clients always have a next request can't lock out newcomers.
    pub(super) fn gives_way(&self) -> bool {
        let mut state = self.all.state();
        let is_full = self.all.is_full(&state);
        if is_full {
            self.all.note(&mut state, Limit::Answered);
        }
        is_full
    }

    /// Notes that the client does not read its answer at the moment.
    pub(super) fn write_blocked(&self) {
        if !self.blocked.swap(true, Ordering::AcqRel)
            && let Some(held) = self.all.state().open.get_mut(&self.id)
        {
            held.blocked = true;
        }
    }

    /// Notes that all that was written has been sent.
    pub(super) fn flushed(&self) {
        let mut state = self.all.state();
        if let Some(held) = state.open.get_mut(&self.id) {
            held.blocked = false;
            if held.phase == Phase::Sending {
                held.phase = Phase::Idle;
                held.since = Instant::now();
                state.release(self.id);
            }
        }
        drop(state);
        if self.blocked.swap(false, Ordering::AcqRel) {
            self.waker.wake();
        }
    }

    /// Waits until the answer before has been sent, so that a client that reads none has one
    /// at a time.
    pub(super) async fn writable(&self) {
        std::future::poll_fn(|context| {
            self.waker.register(context.waker());
            if self.blocked.load(Ordering::Acquire) {
                return Poll::Pending;
            }
            Poll::Ready(())
        })
        .await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.state().remove(self.id);
    }
}

/// The memory of one request, as its handler finds it among the request's extensions.
#[derive(Debug, Clone)]
pub struct RequestMemory(pub(super) Arc<Connection>);

impl RequestMemory {
    /// Charges `bytes` that the request needs until it is answered.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`], with which the request is to be answered.
    pub fn charge(&self, bytes: usize) -> Result<(), Refusal> {
        self.0.charge(bytes)
    }
}

#[cfg(test)]
mod tests;
