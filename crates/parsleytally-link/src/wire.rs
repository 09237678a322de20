//! Tagged pieces of frames on the two halves of a connection.
//!
//! A frame of at most [`PIECE_BYTES`] travels as one piece. A larger one is cut, and
//! its pieces alternate with those of other large frames and with small frames, so
//! that a large body holds nothing up. The limit of silence applies to each piece.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::auth::{Seal, TAG_BYTES};
use crate::error::{
    ClosedSnafu, DecodeSnafu, EncodeSnafu, InvalidChunkSnafu, IoSnafu, OversizedSnafu, SilentSnafu,
    TagSnafu,
};
use crate::{FRAME_LIMIT_BYTES, Frame, LinkError};

/// Most bytes of a frame in one piece.
pub(crate) const PIECE_BYTES: usize = 64 << 10;
/// Most large frames under way at once in one direction.
pub(crate) const MAX_STREAMS: usize = 4;
/// Largest length-delimited unit: a piece with its tag and head.
pub(crate) const UNIT_LIMIT_BYTES: usize = PIECE_BYTES + TAG_BYTES + MAX_HEAD_BYTES;
/// Most bytes of a piece's encoded head.
const MAX_HEAD_BYTES: usize = 8;

/// What stands before the bytes of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    /// Number of the large frame; 0 for a frame in one piece.
    stream: u32,
    /// Whether the frame is whole with this piece.
    last: bool,
}

/// The receiving half.
pub(crate) struct Reader {
    inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    seal: Seal,
    silence: Duration,
    partial: HashMap<u32, Vec<u8>>,
}

impl Reader {
    pub(crate) fn new(
        inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
        seal: Seal,
        silence: Duration,
    ) -> Self {
        Self {
            inner,
            seal,
            silence,
            partial: HashMap::new(),
        }
    }

    /// The next whole frame.
    pub(crate) async fn next(&mut self) -> Result<Frame, LinkError> {
        loop {
            let unit = timeout(self.silence, next_bytes(&mut self.inner)).await;
            let unit = unit.ok().context(SilentSnafu)??;
            let (tag, piece) = unit.split_at_checked(TAG_BYTES).context(TagSnafu)?;
            ensure!(self.seal.check(piece, tag), TagSnafu);
            if let Some(frame) = join(&mut self.partial, piece)? {
                return Ok(frame);
            }
        }
    }
}

/// Takes a piece in and returns the frame that is whole with it.
fn join(partial: &mut HashMap<u32, Vec<u8>>, piece: &[u8]) -> Result<Option<Frame>, LinkError> {
    let (head, bytes) = postcard::take_from_bytes::<Head>(piece).context(DecodeSnafu)?;
    if head.stream == 0 {
        ensure!(head.last, InvalidChunkSnafu);
        return postcard::from_bytes(bytes).map(Some).context(DecodeSnafu);
    }
    let known = partial.contains_key(&head.stream);
    ensure!(known || partial.len() < MAX_STREAMS, InvalidChunkSnafu);
    let frame = partial.entry(head.stream).or_default();
    ensure!(
        frame.len() + bytes.len() <= FRAME_LIMIT_BYTES,
        InvalidChunkSnafu
    );
    frame.extend_from_slice(bytes);
    if !head.last {
        return Ok(None);
    }
    let frame = partial.remove(&head.stream).context(InvalidChunkSnafu)?;
    postcard::from_bytes(&frame).map(Some).context(DecodeSnafu)
}

/// A large frame under way, with what else must live until it is written.
struct Stream<T> {
    number: u32,
    rest: Bytes,
    held: T,
}

/// The sending half; each frame holds a `T` until it is written.
pub(crate) struct Writer<T> {
    inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    seal: Seal,
    silence: Duration,
    streams: VecDeque<Stream<T>>,
    last: u32,
}

impl<T> Writer<T> {
    pub(crate) fn new(
        inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
        seal: Seal,
        silence: Duration,
    ) -> Self {
        Self {
            inner,
            seal,
            silence,
            streams: VecDeque::new(),
            last: 0,
        }
    }

    /// Whether pieces of large frames wait.
    pub(crate) fn is_busy(&self) -> bool {
        !self.streams.is_empty()
    }

    /// Whether another frame may be taken in, whatever its size.
    pub(crate) fn has_room(&self) -> bool {
        self.streams.len() < MAX_STREAMS
    }

    /// Writes a small frame, or takes a large one in.
    pub(crate) async fn take(&mut self, frame: &Frame, held: T) -> Result<(), LinkError> {
        let bytes = postcard::to_stdvec(frame).context(EncodeSnafu)?;
        ensure!(
            bytes.len() <= FRAME_LIMIT_BYTES,
            OversizedSnafu { size: bytes.len() }
        );
        if bytes.len() <= PIECE_BYTES {
            let head = Head {
                stream: 0,
                last: true,
            };
            return self.write(head, &bytes).await;
        }
        self.last = self.last.checked_add(1).unwrap_or(1);
        self.streams.push_back(Stream {
            number: self.last,
            rest: bytes.into(),
            held,
        });
        Ok(())
    }

    /// Writes one piece of the large frame whose turn it is.
    pub(crate) async fn advance(&mut self) -> Result<(), LinkError> {
        let Some(mut stream) = self.streams.pop_front() else {
            return Ok(());
        };
        let piece = stream.rest.split_to(PIECE_BYTES.min(stream.rest.len()));
        let head = Head {
            stream: stream.number,
            last: stream.rest.is_empty(),
        };
        self.write(head, &piece).await?;
        if head.last {
            drop(stream.held);
        } else {
            self.streams.push_back(stream);
        }
        Ok(())
    }

    /// Writes the buffer to the socket.
    pub(crate) async fn flush(&mut self) -> Result<(), LinkError> {
        let flushed = timeout(self.silence, SinkExt::<Bytes>::flush(&mut self.inner)).await;
        flushed.ok().context(SilentSnafu)?.context(IoSnafu)
    }

    async fn write(&mut self, head: Head, bytes: &[u8]) -> Result<(), LinkError> {
        let mut unit = BytesMut::with_capacity(UNIT_LIMIT_BYTES.min(bytes.len() + 32));
        unit.put_bytes(0, TAG_BYTES);
        let mut room = [0; MAX_HEAD_BYTES];
        let head = postcard::to_slice(&head, &mut room).context(EncodeSnafu)?;
        unit.extend_from_slice(head);
        unit.extend_from_slice(bytes);
        let (tag, piece) = unit.split_at_mut(TAG_BYTES);
        tag.copy_from_slice(&self.seal.next(piece));
        let fed = timeout(self.silence, self.inner.feed(unit.freeze())).await;
        fed.ok().context(SilentSnafu)?.context(IoSnafu)
    }
}

/// The next length-delimited bytes.
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
