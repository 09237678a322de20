//! Listeners: accepts connections within the limits, and serves each in a task of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use parsleytally::configs::HttpConfig;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

use super::Handler;
use super::connections::{Connections, SWEEP_INTERVAL, UNREAD_BYTES};
use super::limit::Limit;
use super::metrics::HttpMetrics;
use super::service::ConnectionService;
use super::stream::MeteredStream;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a server could not start.
#[derive(Debug, Snafu)]
#[snafu(display("address {address} is not available: {source}"))]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

/// Name, limits and metrics of a listener.
#[derive(Debug, Clone)]
pub struct Listener {
    /// Name in metrics and log lines.
    pub name: &'static str,
    /// What its clients may hold.
    pub limits: HttpConfig,
    /// Where its connections are counted.
    pub metrics: HttpMetrics,
}

impl Default for Listener {
    fn default() -> Self {
        Self {
            name: "http",
            limits: HttpConfig::default(),
            metrics: HttpMetrics::unregistered(),
        }
    }
}

/// A server that accepts connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    full: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Binds `address` and answers by `handler` within the default limits; port 0 takes a free
    /// one.
    ///
    /// # Errors
    ///
    /// Returns [`BindError`] when the address is not available.
    pub async fn start(address: SocketAddr, handler: Arc<dyn Handler>) -> Result<Self, BindError> {
        Self::start_limited(address, handler, &Listener::default()).await
    }

    /// Binds `address` and answers by `handler` within the limits of `listener`.
    ///
    /// # Errors
    ///
    /// Returns [`BindError`] when the address is not available.
    pub async fn start_limited(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        listener: &Listener,
    ) -> Result<Self, BindError> {
        let socket = bind(address).context(BindSnafu { address })?;
        let address = socket.local_addr().context(BindSnafu { address })?;
        let full = CancellationToken::new();
        let server = Server {
            handler,
            connections: Arc::new(Connections::new(
                listener.name,
                listener.limits,
                listener.metrics.clone(),
            )),
            tasks: JoinSet::new(),
        };
        let task = tokio::spawn(server.run(socket, full.clone()));
        Ok(Self {
            address,
            full,
            task,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no further connection; the open ones are still served.
    pub fn stop_accepting(&self) {
        self.full.cancel();
    }

    /// Stops accepting and drops what is still open.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// A listening socket whose connections have a small buffer for unread bytes.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(UNREAD_BYTES) {
        log::warn!(error:% = error; "size of the receive buffers is not set");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The tasks of a listener; all end with it.
struct Server {
    handler: Arc<dyn Handler>,
    connections: Arc<Connections>,
    tasks: JoinSet<()>,
}

impl Server {
    async fn run(mut self, listener: TcpListener, full: CancellationToken) {
        let mut listener = Some(listener);
        self.connections.sweep();
        let mut sweeps = interval(SWEEP_INTERVAL);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                accepted = accept(listener.as_ref()) => match accepted {
                    Ok(stream) => self.serve(stream),
                    Err(error) => {
                        log::debug!(error:% = error; "accepting a connection failed");
                        self.connections.note_limit(Limit::Accept);
                        sleep(ACCEPT_PAUSE).await;
                    }
                },
                // Dropping the listener refuses callers, instead of leaving them in its queue.
                () = full.cancelled(), if listener.is_some() => listener = None,
                _ = sweeps.tick() => self.connections.sweep(),
                Some(_) = self.tasks.join_next() => {}
            }
        }
    }

    fn serve(&mut self, stream: TcpStream) {
        let Some(connection) = self.connections.open() else {
            return;
        };
        let connections = self.connections.clone();
        let service = ConnectionService {
            handler: self.handler.clone(),
            connection: connection.clone(),
        };
        let io = TokioIo::new(MeteredStream::new(stream, connection.clone()));
        let head = connections.limits().head;
        let mut builder = Builder::new();
        builder.max_header_size(head).max_buf_size(head);
        self.tasks.spawn(async move {
            let served = builder.serve_connection(io, service);
            tokio::select! {
                result = served => if result.is_err_and(|error| error.is_parse_too_large()) {
                    connections.note_limit(Limit::Head);
                },
                () = connection.closed() => {}
            }
        });
    }
}

async fn accept(listener: Option<&TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}
