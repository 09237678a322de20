//! A proxy on loopback that interferes with the frames of one connection.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::FRAME_LIMIT_BYTES;
use crate::wire::codec;

/// Which way a frame goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    ToEntry,
    ToAgent,
}

/// What happens to a frame.
pub(super) enum Fate {
    Pass,
    Drop,
    Double,
    Change,
    /// Half of it is sent, then the connection ends.
    Cut,
}

/// Decides on the frame with this number, counted from 0 in each direction; 0 is the
/// hello and 1 the proof.
pub(super) type Script = Arc<dyn Fn(Way, usize) -> Fate + Send + Sync>;

/// Starts a proxy for one connection to `entry`.
pub(super) async fn start(entry: SocketAddr, script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (agent, _) = listener.accept().await.unwrap();
        let entry = TcpStream::connect(entry).await.unwrap();
        let (from_agent, to_agent) = agent.into_split();
        let (from_entry, to_entry) = entry.into_split();
        let up = pass(from_agent, to_entry, Way::ToEntry, script.clone());
        let down = pass(from_entry, to_agent, Way::ToAgent, script);
        tokio::join!(up, down);
    });
    address
}

async fn pass(from: OwnedReadHalf, to: OwnedWriteHalf, way: Way, script: Script) {
    let mut from = FramedRead::new(from, codec(FRAME_LIMIT_BYTES));
    let mut to = FramedWrite::new(to, codec(FRAME_LIMIT_BYTES));
    let mut number = 0;
    while let Some(Ok(frame)) = from.next().await {
        let sent = treat(&mut to, frame, script(way, number)).await;
        if sent.is_none() {
            return;
        }
        number += 1;
    }
}

async fn treat(
    to: &mut FramedWrite<OwnedWriteHalf, tokio_util::codec::LengthDelimitedCodec>,
    mut frame: BytesMut,
    fate: Fate,
) -> Option<()> {
    match fate {
        Fate::Pass => to.send(frame.freeze()).await.ok(),
        Fate::Drop => Some(()),
        Fate::Double => {
            let frame: Bytes = frame.freeze();
            to.send(frame.clone()).await.ok()?;
            to.send(frame).await.ok()
        }
        Fate::Change => {
            let last = frame.len() - 1;
            frame[last] ^= 1;
            to.send(frame.freeze()).await.ok()
        }
        Fate::Cut => {
            let length = u32::try_from(frame.len()).unwrap().to_be_bytes();
            let half = &frame[..frame.len() / 2];
            let bytes = [&length[..], half].concat();
            let _ = tokio::io::AsyncWriteExt::write_all(to.get_mut(), &bytes).await;
            None
        }
    }
}
