//! Handshake of a connection: both sides exchange hellos, then proofs.

use bytes::Bytes;
use futures::SinkExt;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::auth::{Handshake, Nonce, Proof, Side};
use crate::error::{
    DecodeSnafu, EncodeSnafu, IoSnafu, NotHelloSnafu, RoleSnafu, UnauthenticatedSnafu, VersionSnafu,
};
use crate::wire::{Reader, UNIT_LIMIT_BYTES, Writer, codec, next_bytes};
use crate::{Hello, LinkConfig, LinkError, PROTOCOL_VERSION, Role};

/// Maximum size of a message before the peer is authenticated, in bytes.
const HELLO_LIMIT_BYTES: usize = 1_024;

/// First message of each side; starts with the version so that any version can decode it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Opening {
    hello: Hello,
    nonce: Nonce,
}

/// Performs the handshake on a new connection.
pub(crate) async fn open<T>(
    stream: TcpStream,
    side: Side,
    hello: &Hello,
    config: &LinkConfig,
) -> Result<(Reader, Writer<T>, Hello), LinkError> {
    let keys = &config.keys;
    stream.set_nodelay(true).context(IoSnafu)?;
    let (read, write) = stream.into_split();
    let mut read = FramedRead::new(read, codec(HELLO_LIMIT_BYTES));
    let mut write = FramedWrite::new(write, codec(UNIT_LIMIT_BYTES));
    let opening = Opening {
        hello: hello.clone(),
        nonce: Nonce::random(),
    };
    let own = postcard::to_stdvec(&opening).context(EncodeSnafu)?;
    write
        .send(Bytes::from(own.clone()))
        .await
        .context(IoSnafu)?;
    let theirs = next_bytes(&mut read).await?;
    let peer = check_opening(&theirs, hello)?;
    let handshake = Handshake {
        side,
        own: &own,
        peer: &theirs,
    };
    let proof = postcard::to_stdvec(&handshake.prove(keys)).context(EncodeSnafu)?;
    write.send(Bytes::from(proof)).await.context(IoSnafu)?;
    let theirs = next_bytes(&mut read).await?;
    let theirs: Proof = postcard::from_bytes(&theirs).context(DecodeSnafu)?;
    let (send_mac, receive_mac) = handshake
        .verify(keys, theirs)
        .context(UnauthenticatedSnafu {
            node: peer.node.clone(),
        })?;
    read.decoder_mut().set_max_frame_length(UNIT_LIMIT_BYTES);
    Ok((
        Reader::new(read, receive_mac, config.silence),
        Writer::new(write, send_mac, config.silence),
        peer,
    ))
}

pub(crate) fn check_opening(bytes: &[u8], own: &Hello) -> Result<Hello, LinkError> {
    let version = postcard::take_from_bytes::<u16>(bytes).ok();
    let (theirs, _) = version.context(NotHelloSnafu)?;
    let ours = PROTOCOL_VERSION;
    ensure!(theirs == ours, VersionSnafu { theirs, ours });
    let opening = postcard::from_bytes::<Opening>(bytes).ok();
    let peer = opening.context(NotHelloSnafu)?.hello;
    ensure!(
        may_connect(own.role, peer.role),
        RoleSnafu { role: peer.role }
    );
    Ok(peer)
}

/// Entries connect to agents and to each other; agents connect to entries only.
fn may_connect(own: Role, peer: Role) -> bool {
    own == Role::Entry || peer == Role::Entry
}
