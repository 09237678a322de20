//! One connection: hello, then frames through bounded rings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use snafu::{ResultExt, ensure};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::error::{
    ClosedSnafu, DecodeSnafu, EncodeSnafu, IoSnafu, NoHelloSnafu, NotHelloSnafu, SilentSnafu,
    VersionSnafu,
};
use crate::{Frame, Hello, LinkError, PROTOCOL_VERSION};

/// Largest frame, in bytes: a body of 1 MiB and its head.
pub const FRAME_LIMIT_BYTES: usize = (1 << 20) + (64 << 10);
/// Time between two heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any frame after which a link is closed.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Frames that wait for the socket; a full ring refuses.
const OUT_RING_FRAMES: usize = 256;
/// Frames that wait for the duty; a full ring stops reading from the socket.
const IN_RING_FRAMES: usize = 256;
/// Time for connecting and for the peer's hello.
const HELLO_LIMIT: Duration = Duration::from_secs(2);

/// The sending half of a link; clones share it.
#[derive(Debug, Clone)]
pub struct Link {
    peer: Arc<Hello>,
    out: mpsc::Sender<Frame>,
    closed: CancellationToken,
}

/// The receiving half of a link.
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
/// Returns [`LinkError`] when connecting or the hello fails.
pub async fn dial(address: SocketAddr, hello: &Hello) -> Result<(Link, Incoming), LinkError> {
    let connect = timeout(HELLO_LIMIT, TcpStream::connect(address)).await;
    let Ok(stream) = connect else {
        return no_hello();
    };
    accept(stream.context(IoSnafu)?, hello).await
}

/// Opens a link on a connected socket; both sides send their hello first.
///
/// # Errors
///
/// Returns [`LinkError`] when the peer's hello is missing, late or of another version.
pub async fn accept(stream: TcpStream, hello: &Hello) -> Result<(Link, Incoming), LinkError> {
    stream.set_nodelay(true).context(IoSnafu)?;
    let (read, write) = stream.into_split();
    let mut reader = FramedRead::new(read, codec());
    let mut writer = FramedWrite::new(write, codec());
    let first = encode(&Frame::Hello(hello.clone()))?;
    writer.send(first).await.context(IoSnafu)?;
    let Ok(answer) = timeout(HELLO_LIMIT, receive(&mut reader)).await else {
        return no_hello();
    };
    let peer = check_hello(answer?)?;
    Ok(start(reader, writer, peer))
}

fn no_hello<T>() -> Result<T, LinkError> {
    let limit_ms = u64::try_from(HELLO_LIMIT.as_millis()).unwrap_or(u64::MAX);
    NoHelloSnafu { limit_ms }.fail()
}

fn check_hello(frame: Frame) -> Result<Hello, LinkError> {
    let Frame::Hello(peer) = frame else {
        return NotHelloSnafu.fail();
    };
    let theirs = peer.version;
    let ours = PROTOCOL_VERSION;
    ensure!(theirs == ours, VersionSnafu { theirs, ours });
    Ok(peer)
}

fn start(
    reader: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    peer: Hello,
) -> (Link, Incoming) {
    let (out, out_frames) = mpsc::channel(OUT_RING_FRAMES);
    let (in_sender, frames) = mpsc::channel(IN_RING_FRAMES);
    let closed = CancellationToken::new();
    tokio::spawn(close_after(
        read_all(reader, in_sender, closed.clone()),
        closed.clone(),
    ));
    tokio::spawn(close_after(
        write_all(writer, out_frames, closed.clone()),
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
    mut reader: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    frames: mpsc::Sender<Frame>,
    closed: CancellationToken,
) -> Result<(), LinkError> {
    loop {
        let next = timeout(SILENCE_LIMIT, receive(&mut reader));
        let frame = tokio::select! {
            next = next => next,
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        let Ok(frame) = frame else {
            return SilentSnafu.fail();
        };
        if frames.send(frame?).await.is_err() {
            return ClosedSnafu.fail();
        }
    }
}

async fn write_all(
    mut writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut frames: mpsc::Receiver<Frame>,
    closed: CancellationToken,
) -> Result<(), LinkError> {
    loop {
        let first = tokio::select! {
            frame = frames.recv() => frame,
            () = closed.cancelled() => return ClosedSnafu.fail(),
        };
        let Some(first) = first else {
            return ClosedSnafu.fail();
        };
        let Ok(written) =
            timeout(SILENCE_LIMIT, write_batch(&mut writer, first, &mut frames)).await
        else {
            return SilentSnafu.fail();
        };
        written?;
    }
}

/// Writes `first` and what else waits, in one flush.
async fn write_batch(
    writer: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    first: Frame,
    frames: &mut mpsc::Receiver<Frame>,
) -> Result<(), LinkError> {
    writer.feed(encode(&first)?).await.context(IoSnafu)?;
    while let Ok(frame) = frames.try_recv() {
        writer.feed(encode(&frame)?).await.context(IoSnafu)?;
    }
    SinkExt::<Bytes>::flush(writer).await.context(IoSnafu)
}

async fn receive(
    reader: &mut FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> Result<Frame, LinkError> {
    match reader.next().await {
        Some(bytes) => decode(&bytes.context(IoSnafu)?),
        None => ClosedSnafu.fail(),
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec()
}

fn encode(frame: &Frame) -> Result<Bytes, LinkError> {
    let bytes = postcard::to_stdvec(frame).context(EncodeSnafu)?;
    Ok(bytes.into())
}

fn decode(bytes: &BytesMut) -> Result<Frame, LinkError> {
    postcard::from_bytes(bytes).context(DecodeSnafu)
}
