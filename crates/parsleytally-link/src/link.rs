//! One connection: handshake, then frames through bounded channels.

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

/// Maximum size of a frame, in bytes: a body of 1 MiB and 64 KiB for the rest.
pub const FRAME_LIMIT_BYTES: usize = (1 << 20) + (64 << 10);
/// Default time without an outgoing frame after which a side sends a keep-alive.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Default time limit for receiving the next chunk and for writing one.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Capacity of the channel of outgoing frames, in bytes; if it is full, [`Link::send`]
/// fails and [`Link::deliver`] waits.
pub const OUT_CHANNEL_BYTES: usize = 4 << 20;
/// Capacity of the channel of received frames, in bytes; while it is full, the link does
/// not read from the socket.
pub const IN_CHANNEL_BYTES: usize = 4 << 20;
/// Capacity of the channel of outgoing frames, in frames; same effect when full.
const OUT_CHANNEL_FRAMES: usize = 256;
/// Capacity of the channel of received frames, in frames; same effect when full.
const IN_CHANNEL_FRAMES: usize = 256;

/// A frame in a channel, with the permit for its bytes.
#[derive(Debug)]
struct QueuedFrame {
    frame: Frame,
    permit: OwnedSemaphorePermit,
}

type Opened = (Reader, Writer<Option<OwnedSemaphorePermit>>, Hello);

/// Sending half of a link; clones share the connection.
#[derive(Debug, Clone)]
pub struct Link {
    peer: Arc<Hello>,
    out: mpsc::Sender<QueuedFrame>,
    free_bytes: Arc<Semaphore>,
    closed: CancellationToken,
}

/// Receiving half of a link; dropping it closes the link.
#[derive(Debug)]
pub struct Incoming {
    frames: mpsc::Receiver<QueuedFrame>,
    closed: CancellationToken,
}

impl Link {
    /// The peer's hello.
    pub fn peer(&self) -> &Hello {
        &self.peer
    }

    /// Adds `frame` to the channel of outgoing frames without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Full`], [`LinkError::Closed`], [`LinkError::Oversized`]
    /// or [`LinkError::Encode`]; the frame was not sent.
    pub fn send(&self, frame: Frame) -> Result<(), LinkError> {
        ensure!(!self.closed.is_cancelled(), ClosedSnafu);
        let size = encoded_size(&frame)?;
        let permit = self.free_bytes.clone().try_acquire_many_owned(size);
        let permit = permit.map_err(|_| LinkError::Full)?;
        let queued = QueuedFrame { frame, permit };
        self.out.try_send(queued).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => LinkError::Full,
            mpsc::error::TrySendError::Closed(_) => LinkError::Closed,
        })
    }

    /// Adds `frame` to the channel of outgoing frames; waits while it is full.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Closed`], [`LinkError::Oversized`] or [`LinkError::Encode`];
    /// the frame was not sent.
    pub async fn deliver(&self, frame: Frame) -> Result<(), LinkError> {
        tokio::select! {
            result = enqueue(&self.out, &self.free_bytes, frame) => result,
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
    /// Receives the next frame; `None` once the link is closed.
    pub async fn next(&mut self) -> Option<Frame> {
        tokio::select! {
            biased;
            queued = self.frames.recv() => queued.map(|queued| queued.frame),
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
        return handshake_timeout(config.handshake);
    };
    Ok(start(opened?, config))
}

/// Opens a link on an accepted connection.
///
/// # Errors
///
/// Returns [`LinkError`] when the handshake fails or exceeds its time limit.
pub async fn accept(
    stream: TcpStream,
    hello: &Hello,
    config: &LinkConfig,
) -> Result<(Link, Incoming), LinkError> {
    let opened = open(stream, Side::Acceptor, hello, config);
    let Ok(opened) = timeout(config.handshake, opened).await else {
        return handshake_timeout(config.handshake);
    };
    Ok(start(opened?, config))
}

fn handshake_timeout<T>(limit: Duration) -> Result<T, LinkError> {
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    NoHelloSnafu { limit_ms }.fail()
}

fn start((reader, writer, peer): Opened, config: &LinkConfig) -> (Link, Incoming) {
    let (out, out_frames) = mpsc::channel(OUT_CHANNEL_FRAMES);
    let (in_sender, frames) = mpsc::channel(IN_CHANNEL_FRAMES);
    let closed = CancellationToken::new();
    tokio::spawn(close_on_end(
        read_all(reader, in_sender, closed.clone()),
        closed.clone(),
    ));
    tokio::spawn(close_on_end(
        write_all(writer, out_frames, closed.clone(), config.heartbeat),
        closed.clone(),
    ));
    let link = Link {
        peer: Arc::new(peer),
        out,
        free_bytes: Arc::new(Semaphore::new(OUT_CHANNEL_BYTES)),
        closed: closed.clone(),
    };
    (link, Incoming { frames, closed })
}

async fn close_on_end(
    work: impl Future<Output = Result<(), LinkError>>,
    closed: CancellationToken,
) {
    if let Err(error) = work.await {
        log::debug!("link closed: {error}");
    }
    closed.cancel();
}

async fn read_all(
    mut reader: Reader,
    frames: mpsc::Sender<QueuedFrame>,
    closed: CancellationToken,
) -> Result<(), LinkError> {
    let free_bytes = Arc::new(Semaphore::new(IN_CHANNEL_BYTES));
    loop {
        let frame = tokio::select! {
            next = reader.next() => next?,
            () = frames.closed() => return ClosedSnafu.fail(),
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        if frame == Frame::KeepAlive {
            continue;
        }
        let result = tokio::select! {
            result = enqueue(&frames, &free_bytes, frame) => result,
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        result?;
    }
}

/// Adds `frame` to a channel; waits for free capacity.
async fn enqueue(
    frames: &mpsc::Sender<QueuedFrame>,
    free_bytes: &Arc<Semaphore>,
    frame: Frame,
) -> Result<(), LinkError> {
    let size = encoded_size(&frame)?;
    let permit = free_bytes.clone().acquire_many_owned(size).await;
    let permit = permit.ok().context(ClosedSnafu)?;
    let sent = frames.send(QueuedFrame { frame, permit }).await;
    sent.ok().context(ClosedSnafu)
}

async fn write_all(
    mut writer: Writer<Option<OwnedSemaphorePermit>>,
    mut frames: mpsc::Receiver<QueuedFrame>,
    closed: CancellationToken,
    heartbeat: Duration,
) -> Result<(), LinkError> {
    loop {
        if !writer.has_pending() {
            writer.flush().await?;
            let first = tokio::select! {
                frame = timeout(heartbeat, frames.recv()) => frame,
                () = closed.cancelled() => return ClosedSnafu.fail(),
            };
            match first {
                Ok(Some(queued)) => writer.push(&queued.frame, Some(queued.permit)).await?,
                Ok(None) => return ClosedSnafu.fail(),
                Err(_) => writer.push(&Frame::KeepAlive, None).await?,
            }
        }
        while writer.can_push()
            && let Ok(queued) = frames.try_recv()
        {
            writer.push(&queued.frame, Some(queued.permit)).await?;
        }
        ensure!(!closed.is_cancelled(), ClosedSnafu);
        writer.write_chunk().await?;
    }
}

/// Encoded size of `frame` in bytes.
fn encoded_size(frame: &Frame) -> Result<u32, LinkError> {
    let size = postcard::experimental::serialized_size(frame).context(EncodeSnafu)?;
    let permits = u32::try_from(size).ok();
    permits
        .filter(|_| size <= FRAME_LIMIT_BYTES)
        .context(OversizedSnafu { size })
}
