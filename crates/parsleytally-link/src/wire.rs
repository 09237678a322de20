//! Tagged frames on the two halves of a connection.

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::auth::{Seal, TAG_BYTES};
use crate::error::{ClosedSnafu, DecodeSnafu, EncodeSnafu, IoSnafu, TagSnafu};
use crate::{Frame, LinkError};

/// The receiving half.
pub(crate) struct Reader {
    inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    seal: Seal,
}

impl Reader {
    pub(crate) fn new(inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>, seal: Seal) -> Self {
        Self { inner, seal }
    }

    /// The next frame, if its tag fits.
    pub(crate) async fn next(&mut self) -> Result<Frame, LinkError> {
        let bytes = next_bytes(&mut self.inner).await?;
        let (tag, frame) = bytes.split_at_checked(TAG_BYTES).context(TagSnafu)?;
        ensure!(self.seal.check(frame, tag), TagSnafu);
        postcard::from_bytes(frame).context(DecodeSnafu)
    }
}

/// The sending half.
pub(crate) struct Writer {
    inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    seal: Seal,
}

impl Writer {
    pub(crate) fn new(
        inner: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
        seal: Seal,
    ) -> Self {
        Self { inner, seal }
    }

    /// Puts `frame` with its tag into the buffer.
    pub(crate) async fn feed(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let room = vec![0; TAG_BYTES];
        let mut bytes = postcard::to_extend(frame, room).context(EncodeSnafu)?;
        let (tag, frame) = bytes.split_at_mut(TAG_BYTES);
        tag.copy_from_slice(&self.seal.next(frame));
        self.inner.feed(Bytes::from(bytes)).await.context(IoSnafu)
    }

    /// Writes the buffer to the socket.
    pub(crate) async fn flush(&mut self) -> Result<(), LinkError> {
        SinkExt::<Bytes>::flush(&mut self.inner)
            .await
            .context(IoSnafu)
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
