//! One connection: handshake, then frames through bounded rings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, ensure};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::auth::Side;
use crate::error::{ClosedSnafu, IoSnafu, NoHelloSnafu, SilentSnafu};
use crate::handshake::open;
use crate::wire::{Reader, Writer};
use crate::{Frame, Hello, LinkConfig, LinkError};

/// Largest frame, in bytes: a body of 1 MiB and its head.
pub const FRAME_LIMIT_BYTES: usize = (1 << 20) + (64 << 10);
/// Longest time in which a side sends nothing.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any frame after which a link is closed.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Frames that wait for the socket; a full ring refuses.
const OUT_RING_FRAMES: usize = 256;
/// Frames that wait for the duty; a full ring stops reading from the socket.
const IN_RING_FRAMES: usize = 256;

/// The sending half of a link; clones share it.
#[derive(Debug, Clone)]
pub struct Link {
    peer: Arc<Hello>,
    out: mpsc::Sender<Frame>,
    closed: CancellationToken,
}

/// The receiving half of a link; dropping it closes the link.
#[derive(Debug)]
pub struct Incoming {
    frames: mpsc::Receiver<Frame>,
    closed: CancellationToken,
}

impl Link {
    /// What the peer said of itself.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Puts `frame` into the ring of outgoing frames.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Full`] or [`LinkError::Closed`]; the frame was not sent.
    pub fn send(&self, frame: Frame) -> Result<(), LinkError> {
        ensure!(!self.closed.is_cancelled(), ClosedSnafu);
        self.out.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LinkError::Full,
            mpsc::error::TrySendError::Closed(_) => LinkError::Closed,
        })
    }

    /// Whether the link has been closed by either side.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Closes the link for all its clones.
    pub fn close(self) {
        self.closed.cancel();
    }
}

impl Incoming {
    /// The next frame, or `None` once the link is closed.
    pub async fn next(&mut self) -> Option<Frame> {
        tokio::select! {
            biased;
            frame = self.frames.recv() => frame,
            () = self.closed.cancelled() => None,
        }
    }
}

/// Opens a link to `address`.
///
/// # Errors
///
/// Returns [`LinkError`] when connecting or the handshake fails.
pub async fn dial(
    address: SocketAddr,
    hello: &Hello,
    config: &LinkConfig,
) -> Result<(Link, Incoming), LinkError> {
    let opened = async {
        let stream = TcpStream::connect(address).await.context(IoSnafu)?;
        open(stream, Side::Dialler, hello, &config.keys).await
    };
    let Ok(opened) = timeout(config.handshake, opened).await else {
        return no_hello(config.handshake);
    };
    Ok(start(opened?, config))
}

/// Opens a link on an accepted socket.
///
/// # Errors
///
/// Returns [`LinkError`] when the peer's hello or proof is missing, late or wrong, or
/// of another version.
pub async fn accept(
    stream: TcpStream,
    hello: &Hello,
    config: &LinkConfig,
) -> Result<(Link, Incoming), LinkError> {
    let opened = open(stream, Side::Acceptor, hello, &config.keys);
    let Ok(opened) = timeout(config.handshake, opened).await else {
        return no_hello(config.handshake);
    };
    Ok(start(opened?, config))
}

fn no_hello<T>(limit: Duration) -> Result<T, LinkError> {
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    NoHelloSnafu { limit_ms }.fail()
}

fn start((reader, writer, peer): (Reader, Writer, Hello), config: &LinkConfig) -> (Link, Incoming) {
    let (out, out_frames) = mpsc::channel(OUT_RING_FRAMES);
    let (in_sender, frames) = mpsc::channel(IN_RING_FRAMES);
    let closed = CancellationToken::new();
    tokio::spawn(close_after(
        read_all(reader, in_sender, closed.clone(), config.silence),
        closed.clone(),
    ));
    tokio::spawn(close_after(
        write_all(writer, out_frames, closed.clone(), config.clone()),
        closed.clone(),
    ));
    let link = Link {
        peer: Arc::new(peer),
        out,
        closed: closed.clone(),
    };
    (link, Incoming { frames, closed })
}

async fn close_after(work: impl Future<Output = Result<(), LinkError>>, closed: CancellationToken) {
    if let Err(error) = work.await {
        log::debug!("link closed: {error}");
    }
    closed.cancel();
}

async fn read_all(
    mut reader: Reader,
    frames: mpsc::Sender<Frame>,
    closed: CancellationToken,
    silence: Duration,
) -> Result<(), LinkError> {
    loop {
        let frame = tokio::select! {
            next = timeout(silence, reader.next()) => next,
            () = frames.closed() => return ClosedSnafu.fail(),
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        let Ok(frame) = frame else {
            return SilentSnafu.fail();
        };
        let frame = frame?;
        if frame == Frame::Alive {
            continue;
        }
        let passed = tokio::select! {
            passed = frames.send(frame) => passed,
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        if passed.is_err() {
            return ClosedSnafu.fail();
        }
    }
}

async fn write_all(
    mut writer: Writer,
    mut frames: mpsc::Receiver<Frame>,
    closed: CancellationToken,
    config: LinkConfig,
) -> Result<(), LinkError> {
    loop {
        let first = tokio::select! {
            frame = timeout(config.heartbeat, frames.recv()) => frame.unwrap_or(Some(Frame::Alive)),
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        let Some(first) = first else {
            return ClosedSnafu.fail();
        };
        let batch = write_batch(&mut writer, first, &mut frames);
        let Ok(written) = timeout(config.silence, batch).await else {
            return SilentSnafu.fail();
        };
        written?;
    }
}

/// Writes `first` and what else waits, in one flush.
async fn write_batch(
    writer: &mut Writer,
    first: Frame,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<(), LinkError> {
    writer.feed(&first).await?;
    while let Ok(frame) = frames.try_recv() {
        writer.feed(&frame).await?;
    }
    writer.flush().await
}
