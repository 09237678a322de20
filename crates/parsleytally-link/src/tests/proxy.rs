//! Loopback proxies that tamper with the frames of one connection or slow it down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::wire::{UNIT_LIMIT_BYTES, codec};

/// Direction of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    ToEntry,
    ToAgent,
}

/// What the proxy does with a frame.
pub(super) enum Action {
    Pass,
    Drop,
    Duplicate,
    Change,
    /// Sends half of the frame, then closes the connection.
    Truncate,
    /// Sends a length prefix above the limit before the frame.
    OversizedLength,
}

/// Chooses the action for a frame by its index, counted from 0 in each direction; 0 is
/// the hello and 1 the proof.
pub(super) type Script = Arc<dyn Fn(Direction, usize) -> Action + Send + Sync>;

/// Starts a proxy for one connection to `entry`.
pub(super) async fn start(entry: SocketAddr, script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (agent, _) = listener.accept().await.unwrap();
        let entry = TcpStream::connect(entry).await.unwrap();
        let (from_agent, to_agent) = agent.into_split();
        let (from_entry, to_entry) = entry.into_split();
        let up = forward(from_agent, to_entry, Direction::ToEntry, script.clone());
        let down = forward(from_entry, to_agent, Direction::ToAgent, script);
        tokio::join!(up, down);
    });
    address
}

async fn forward(from: OwnedReadHalf, to: OwnedWriteHalf, direction: Direction, script: Script) {
    let mut from = FramedRead::new(from, codec(UNIT_LIMIT_BYTES));
    let mut to = FramedWrite::new(to, codec(UNIT_LIMIT_BYTES));
    let mut index = 0;
    while let Some(Ok(frame)) = from.next().await {
        let sent = apply(&mut to, frame, script(direction, index)).await;
        if sent.is_none() {
            return;
        }
        index += 1;
    }
}

async fn apply(
    to: &mut FramedWrite<OwnedWriteHalf, tokio_util::codec::LengthDelimitedCodec>,
    mut frame: BytesMut,
    action: Action,
) -> Option<()> {
    match action {
        Action::Pass => to.send(frame.freeze()).await.ok(),
        Action::Drop => Some(()),
        Action::Duplicate => {
            let frame: Bytes = frame.freeze();
            to.send(frame.clone()).await.ok()?;
            to.send(frame).await.ok()
        }
        Action::Change => {
            let last = frame.len() - 1;
            frame[last] ^= 1;
            to.send(frame.freeze()).await.ok()
        }
        Action::OversizedLength => {
            let length = u32::MAX.to_be_bytes();
            let _ = to.get_mut().write_all(&length).await;
            to.send(frame.freeze()).await.ok()
        }
        Action::Truncate => {
            let length = u32::try_from(frame.len()).unwrap().to_be_bytes();
            let half = &frame[..frame.len() / 2];
            let bytes = [&length[..], half].concat();
            let _ = to.get_mut().write_all(&bytes).await;
            None
        }
    }
}

/// Bytes that the slow proxy forwards in one step.
const SLOW_STEP_BYTES: usize = 16 << 10;
/// Delay after each step of the slow proxy.
const SLOW_STEP: Duration = Duration::from_millis(40);

/// Starts a proxy to `entry` that limits the throughput of one connection.
pub(super) async fn start_slow(entry: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (agent, _) = listener.accept().await.unwrap();
        let entry = TcpStream::connect(entry).await.unwrap();
        let (from_agent, to_agent) = agent.into_split();
        let (from_entry, to_entry) = entry.into_split();
        tokio::join!(
            forward_slowly(from_agent, to_entry),
            forward_slowly(from_entry, to_agent)
        );
    });
    address
}

async fn forward_slowly(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; SLOW_STEP_BYTES];
    loop {
        match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(read) if to.write_all(&buffer[..read]).await.is_err() => return,
            Ok(_) => tokio::time::sleep(SLOW_STEP).await,
        }
    }
}
