//! A relay of links whose open connections can go silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that a direction holds at most.
const BUFFER_BYTES: usize = 16 << 10;

/// Passes connections on to one address.
pub(crate) struct Relay {
    address: SocketAddr,
    /// Number of the next connection.
    next: Arc<AtomicU64>,
    /// Connections below this number are silent.
    silent: Arc<AtomicU64>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let relay = Self {
            address: listener.local_addr()?,
            next: Arc::default(),
            silent: Arc::default(),
        };
        let (next, silent) = (relay.next.clone(), relay.silent.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = next.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(pass(stream, target, number, silent.clone()));
            }
        });
        Ok(relay)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets every open connection go silent for good, without closing it.
    pub(crate) fn silence(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.silent.store(next, Ordering::SeqCst);
    }
}

async fn pass(stream: TcpStream, target: SocketAddr, number: u64, silent: Arc<AtomicU64>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (near, to_near) = stream.into_split();
    let (far, to_far) = other.into_split();
    tokio::select! {
        () = copy(near, to_far, number, &silent) => {}
        () = copy(far, to_near, number, &silent) => {}
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, number: u64, silent: &AtomicU64) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let size = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(size) => size,
        };
        if number < silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}
