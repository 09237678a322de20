//! One connection: handshake, then frames through bounded rings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::auth::Side;
use crate::error::{ClosedSnafu, EncodeSnafu, IoSnafu, NoHelloSnafu, OversizedSnafu};
use crate::handshake::open;
use crate::wire::{Reader, Writer};
use crate::{Frame, Hello, LinkConfig, LinkError};

/// Largest frame, in bytes: a body of 1 MiB and its head.
pub const FRAME_LIMIT_BYTES: usize = (1 << 20) + (64 << 10);
/// Longest time in which a side sends nothing.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any frame after which a link is closed.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Bytes of frames that wait for the socket; beyond them `send` refuses and
/// `deliver` waits.
pub const OUT_CHANNEL_BYTES: usize = 4 << 20;
/// Bytes of frames that wait for the duty; beyond them reading from the socket stops.
pub const IN_CHANNEL_BYTES: usize = 4 << 20;
/// Frames that wait for the socket; a full ring refuses.
const OUT_CHANNEL_FRAMES: usize = 256;
/// Frames that wait for the duty; a full ring stops reading from the socket.
const IN_CHANNEL_FRAMES: usize = 256;

/// A frame in a ring, with the room that it takes there.
#[derive(Debug)]
struct Held {
    frame: Frame,
    permit: OwnedSemaphorePermit,
}

type Opened = (Reader, Writer<Option<OwnedSemaphorePermit>>, Hello);

/// The sending half of a link; clones share it.
#[derive(Debug, Clone)]
pub struct Link {
    peer: Arc<Hello>,
    out: mpsc::Sender<Held>,
    room: Arc<Semaphore>,
    closed: CancellationToken,
}

/// The receiving half of a link; dropping it closes the link.
#[derive(Debug)]
pub struct Incoming {
    frames: mpsc::Receiver<Held>,
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
    /// Returns [`LinkError::Full`], [`LinkError::Closed`] or [`LinkError::Oversized`];
    /// the frame was not sent.
    pub fn send(&self, frame: Frame) -> Result<(), LinkError> {
        ensure!(!self.closed.is_cancelled(), ClosedSnafu);
        let weight = weigh(&frame)?;
        let permit = self.room.clone().try_acquire_many_owned(weight);
        let permit = permit.map_err(|_| LinkError::Full)?;
        let held = Held { frame, permit };
        self.out.try_send(held).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LinkError::Full,
            mpsc::error::TrySendError::Closed(_) => LinkError::Closed,
        })
    }

    /// Puts `frame` into the ring of outgoing frames and waits while it is full.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Closed`] or [`LinkError::Oversized`]; the frame was not sent.
    pub async fn deliver(&self, frame: Frame) -> Result<(), LinkError> {
        tokio::select! {
            passed = pass(&self.out, &self.room, frame) => passed,
            () = self.closed.cancelled() => ClosedSnafu.fail(),
        }
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
            held = self.frames.recv() => held.map(|held| held.frame),
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
        open(stream, Side::Dialler, hello, config).await
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
    let opened = open(stream, Side::Acceptor, hello, config);
    let Ok(opened) = timeout(config.handshake, opened).await else {
        return no_hello(config.handshake);
    };
    Ok(start(opened?, config))
}

fn no_hello<T>(limit: Duration) -> Result<T, LinkError> {
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    NoHelloSnafu { limit_ms }.fail()
}

fn start((reader, writer, peer): Opened, config: &LinkConfig) -> (Link, Incoming) {
    let (out, out_frames) = mpsc::channel(OUT_CHANNEL_FRAMES);
    let (in_sender, frames) = mpsc::channel(IN_CHANNEL_FRAMES);
    let closed = CancellationToken::new();
    tokio::spawn(close_after(
        read_all(reader, in_sender, closed.clone()),
        closed.clone(),
    ));
    tokio::spawn(close_after(
        write_all(writer, out_frames, closed.clone(), config.heartbeat),
        closed.clone(),
    ));
    let link = Link {
        peer: Arc::new(peer),
        out,
        room: Arc::new(Semaphore::new(OUT_CHANNEL_BYTES)),
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
    frames: mpsc::Sender<Held>,
    closed: CancellationToken,
) -> Result<(), LinkError> {
    let room = Arc::new(Semaphore::new(IN_CHANNEL_BYTES));
    loop {
        let frame = tokio::select! {
            next = reader.next() => next?,
            () = frames.closed() => return ClosedSnafu.fail(),
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        if frame == Frame::KeepAlive {
            continue;
        }
        let passed = tokio::select! {
            passed = pass(&frames, &room, frame) => passed,
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        passed?;
    }
}

/// Puts `frame` into a ring when there is room for it.
async fn pass(
    frames: &mpsc::Sender<Held>,
    room: &Arc<Semaphore>,
    frame: Frame,
) -> Result<(), LinkError> {
    let weight = weigh(&frame)?;
    let permit = room.clone().acquire_many_owned(weight).await;
    let permit = permit.ok().context(ClosedSnafu)?;
    let passed = frames.send(Held { frame, permit }).await;
    passed.ok().context(ClosedSnafu)
}

async fn write_all(
    mut writer: Writer<Option<OwnedSemaphorePermit>>,
    mut frames: mpsc::Receiver<Held>,
    closed: CancellationToken,
    heartbeat: Duration,
) -> Result<(), LinkError> {
    loop {
        if !writer.is_busy() {
            writer.flush().await?;
            let first = tokio::select! {
                frame = timeout(heartbeat, frames.recv()) => frame,
                () = closed.cancelled() => return ClosedSnafu.fail(),
            };
            match first {
                Ok(Some(held)) => writer.take(&held.frame, Some(held.permit)).await?,
                Ok(None) => return ClosedSnafu.fail(),
                Err(_) => writer.take(&Frame::KeepAlive, None).await?,
            }
        }
        while writer.has_room()
            && let Ok(held) = frames.try_recv()
        {
            writer.take(&held.frame, Some(held.permit)).await?;
        }
        ensure!(!closed.is_cancelled(), ClosedSnafu);
        writer.advance().await?;
    }
}

/// Room that `frame` takes in a ring.
fn weigh(frame: &Frame) -> Result<u32, LinkError> {
    let size = postcard::experimental::serialized_size(frame).context(EncodeSnafu)?;
    let weight = u32::try_from(size).ok();
    weight
        .filter(|_| size <= FRAME_LIMIT_BYTES)
        .context(OversizedSnafu { size })
}
