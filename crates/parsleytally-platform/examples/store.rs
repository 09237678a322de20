//! The stand-in for the platform's store as a process of its own.

use std::net::SocketAddr;

use getopts::Options;
use parsleytally_platform::store::{MemoryStore, gateway};
use tokio::net::TcpListener;

const DEFAULT_LISTEN: &str = "127.0.0.1:2379";

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let mut options = Options::new();
    options.optopt("", "listen", "address to serve on", "ADDR");
    options.optflag("h", "help", "print this help");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: store [--listen ADDR]"));
        return Ok(());
    }
    let listen = matches.opt_str("listen");
    let listen: SocketAddr = listen.as_deref().unwrap_or(DEFAULT_LISTEN).parse()?;
    let listener = TcpListener::bind(listen).await?;
    println!("store on {}", listener.local_addr()?);
    gateway::serve(MemoryStore::new(), listener).await
}
