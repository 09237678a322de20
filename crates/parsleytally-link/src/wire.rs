//! Authenticated chunks of frames on the two halves of a connection.
//!
//! A frame of at most [`CHUNK_BYTES`] is sent as one chunk. A larger one is split into a
//! stream of chunks, interleaved with those of other large frames and with small frames,
//! so that a large body does not block the link. The silence limit applies to each chunk.
//! Ordered frames are the exception: one is sent after all chunks of the one before.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::auth::{ChunkMac, TAG_BYTES};
use crate::error::{
    ClosedSnafu, DecodeSnafu, EncodeSnafu, InvalidChunkSnafu, IoSnafu, OversizedSnafu, SilentSnafu,
    TagSnafu,
};
use crate::{FRAME_LIMIT_BYTES, Frame, LinkError};

/// Maximum number of a frame's bytes in one chunk.
pub(crate) const CHUNK_BYTES: usize = 64 << 10;
/// Maximum number of large frames in transfer in one direction.
pub(crate) const MAX_STREAMS: usize = 4;
/// Maximum size of a length-delimited unit: tag, chunk header and chunk.
pub(crate) const UNIT_LIMIT_BYTES: usize = CHUNK_BYTES + TAG_BYTES + MAX_HEADER_BYTES;
/// Maximum size of an encoded chunk header, in bytes.
const MAX_HEADER_BYTES: usize = 8;

/// Header in front of the bytes of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ChunkHeader {
    /// Number of the large frame; 0 for a frame in one chunk.
    stream: u32,
    /// Whether this is the frame's last chunk.
    last: bool,
}

/// Receiving half of a connection; verifies chunks and reassembles frames.
pub(crate) struct Reader {
    inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    mac: ChunkMac,
    silence: Duration,
    partial: HashMap<u32, Vec<u8>>,
}

impl Reader {
    pub(crate) fn new(
        inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
        mac: ChunkMac,
        silence: Duration,
    ) -> Self {
        Self {
            inner,
            mac,
            silence,
            partial: HashMap::new(),
        }
    }

    /// Receives the next complete frame.
    pub(crate) async fn next(&mut self) -> Result<Frame, LinkError> {
        loop {
            let unit = timeout(self.silence, next_bytes(&mut self.inner)).await;
            let unit = unit.ok().context(SilentSnafu)??;
            let (tag, chunk) = unit.split_at_checked(TAG_BYTES).context(TagSnafu)?;
            ensure!(self.mac.verify(chunk, tag), TagSnafu);
            if let Some(frame) = reassemble(&mut self.partial, chunk)? {
                return Ok(frame);
            }
        }
    }
}

/// Adds a chunk to its frame and returns the frame once it is complete.
pub(crate) fn reassemble(
    partial: &mut HashMap<u32, Vec<u8>>,
    chunk: &[u8],
) -> Result<Option<Frame>, LinkError> {
    let (header, bytes) = postcard::take_from_bytes::<ChunkHeader>(chunk).context(DecodeSnafu)?;
    if header.stream == 0 {
        ensure!(header.last, InvalidChunkSnafu);
        return postcard::from_bytes(bytes).map(Some).context(DecodeSnafu);
    }
    let known = partial.contains_key(&header.stream);
    ensure!(known || partial.len() < MAX_STREAMS, InvalidChunkSnafu);
    let frame = partial.entry(header.stream).or_default();
    ensure!(
        frame.len() + bytes.len() <= FRAME_LIMIT_BYTES,
        InvalidChunkSnafu
    );
    frame.extend_from_slice(bytes);
    if !header.last {
        return Ok(None);
    }
    let frame = partial.remove(&header.stream).context(InvalidChunkSnafu)?;
    postcard::from_bytes(&frame).map(Some).context(DecodeSnafu)
}

/// A large frame in transfer; `guard` is dropped after its last chunk.
struct Stream<T> {
    number: u32,
    ordered: bool,
    remaining: Bytes,
    guard: T,
}

/// Sending half of a connection; keeps a `T` per frame until the frame is written.
pub(crate) struct Writer<T> {
    inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mac: ChunkMac,
    silence: Duration,
    streams: VecDeque<Stream<T>>,
    last_stream: u32,
}

impl<T> Writer<T> {
    pub(crate) fn new(
        inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
        mac: ChunkMac,
        silence: Duration,
    ) -> Self {
        Self {
            inner,
            mac,
            silence,
            streams: VecDeque::new(),
            last_stream: 0,
        }
    }

    /// Whether chunks of large frames are pending.
    pub(crate) fn has_pending(&self) -> bool {
        !self.streams.is_empty()
    }

    /// Whether another frame of any size can be accepted.
    pub(crate) fn can_push(&self) -> bool {
        self.streams.len() < MAX_STREAMS
    }

    /// Writes a small frame, or queues a large one for [`Self::write_chunk`].
    pub(crate) async fn push(&mut self, frame: &Frame, guard: T) -> Result<(), LinkError> {
        let bytes = postcard::to_stdvec(frame).context(EncodeSnafu)?;
        ensure!(
            bytes.len() <= FRAME_LIMIT_BYTES,
            OversizedSnafu { size: bytes.len() }
        );
        let ordered = frame.is_ordered();
        while ordered && self.streams.iter().any(|stream| stream.ordered) {
            self.write_chunk().await?;
        }
        if bytes.len() <= CHUNK_BYTES {
            let header = ChunkHeader {
                stream: 0,
                last: true,
            };
            return self.write(header, &bytes).await;
        }
        self.last_stream = self.last_stream.checked_add(1).unwrap_or(1);
        self.streams.push_back(Stream {
            number: self.last_stream,
            ordered,
            remaining: bytes.into(),
            guard,
        });
        Ok(())
    }

    /// Writes one chunk of the next large frame in round-robin order.
    pub(crate) async fn write_chunk(&mut self) -> Result<(), LinkError> {
        let Some(mut stream) = self.streams.pop_front() else {
            return Ok(());
        };
        let chunk = stream
            .remaining
            .split_to(CHUNK_BYTES.min(stream.remaining.len()));
        let header = ChunkHeader {
            stream: stream.number,
            last: stream.remaining.is_empty(),
        };
        self.write(header, &chunk).await?;
        if header.last {
            drop(stream.guard);
        } else {
            self.streams.push_back(stream);
        }
        Ok(())
    }

    /// Writes buffered data to the socket.
    pub(crate) async fn flush(&mut self) -> Result<(), LinkError> {
        let flushed = timeout(self.silence, SinkExt::<Bytes>::flush(&mut self.inner)).await;
        flushed.ok().context(SilentSnafu)?.context(IoSnafu)
    }

    async fn write(&mut self, header: ChunkHeader, bytes: &[u8]) -> Result<(), LinkError> {
        let mut unit = BytesMut::with_capacity(UNIT_LIMIT_BYTES.min(bytes.len() + 32));
        unit.put_bytes(0, TAG_BYTES);
        let mut buffer = [0; MAX_HEADER_BYTES];
        let header = postcard::to_slice(&header, &mut buffer).context(EncodeSnafu)?;
        unit.extend_from_slice(header);
        unit.extend_from_slice(bytes);
        let (tag, chunk) = unit.split_at_mut(TAG_BYTES);
        tag.copy_from_slice(&self.mac.next_tag(chunk));
        let fed = timeout(self.silence, self.inner.feed(unit.freeze())).await;
        fed.ok().context(SilentSnafu)?.context(IoSnafu)
    }
}

/// Receives the next length-delimited unit.
pub(crate) async fn next_bytes(
    reader: &mut FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
) -> Result<BytesMut, LinkError> {
    let next = reader.next().await.context(ClosedSnafu)?;
    next.context(IoSnafu)
}

pub(crate) fn codec(limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec()
}
