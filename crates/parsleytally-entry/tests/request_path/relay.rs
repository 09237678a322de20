//! A TCP relay on loopback that can silence its open connections while new ones work.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const BUFFER_BYTES: usize = 16 << 10;

/// Direction in which a connection passes nothing on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Silence {
    ToEntry,
    ToAgent,
    Both,
}

/// Silence of one connection; `None` while the relay passes on both directions.
type SilenceState = Arc<Mutex<Option<Silence>>>;

pub(crate) struct Relay {
    address: SocketAddr,
    open: Arc<Mutex<Vec<SilenceState>>>,
}

impl Relay {
    pub(crate) async fn start(entry: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let open = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(accept(listener, entry, open.clone()));
        Self { address, open }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Discards all further bytes and closes of the connections that are open now.
    pub(crate) fn silence(&self, silence: Silence) {
        for state in self.open.lock().unwrap().drain(..) {
            *state.lock().unwrap() = Some(silence);
        }
    }
}

async fn accept(listener: TcpListener, entry: SocketAddr, open: Arc<Mutex<Vec<SilenceState>>>) {
    while let Ok((agent, _)) = listener.accept().await {
        let Ok(entry) = TcpStream::connect(entry).await else {
            continue;
        };
        let state = SilenceState::default();
        open.lock().unwrap().push(state.clone());
        let (from_agent, to_agent) = agent.into_split();
        let (from_entry, to_entry) = entry.into_split();
        tokio::spawn(pass(from_agent, to_entry, state.clone(), Silence::ToEntry));
        tokio::spawn(pass(from_entry, to_agent, state, Silence::ToAgent));
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: SilenceState,
    direction: Silence,
) {
    let is_silent = || {
        let state = *state.lock().unwrap();
        state == Some(direction) || state == Some(Silence::Both)
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        match (read, is_silent()) {
            (0, true) => break,
            (0, false) => return,
            (_, true) => {}
            (_, false) if to.write_all(&buffer[..read]).await.is_err() => return,
            (_, false) => {}
        }
    }
    // Keeps the other half open, so that the peer gets no notice of the close.
    std::future::pending::<()>().await;
}
