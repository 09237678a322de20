//! The sample endpoint as a process: `endpoint --listen 127.0.0.1:9000`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use parsleytally_platform::process::http::HttpServer;
use parsleytally_platform::process::{logs, spans};
use parsleytally_platform::stand_in::SampleEndpoint;

#[tokio::main]
async fn main() -> ExitCode {
    logs::start();
    spans::start();
    let mut options = getopts::Options::new();
    options.optopt(
        "",
        "listen",
        "address to listen on (127.0.0.1:9000)",
        "ADDR",
    );
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Ok(matches) = options.parse(&arguments) else {
        eprintln!("{}", options.usage("endpoint [--listen ADDR]"));
        return ExitCode::from(2);
    };
    let listen = matches.opt_str("listen");
    let listen = listen.as_deref().unwrap_or("127.0.0.1:9000");
    let Ok(address) = listen.parse::<SocketAddr>() else {
        eprintln!("{listen:?} is not an address and port");
        return ExitCode::from(2);
    };
    match HttpServer::start(address, Arc::new(SampleEndpoint::default())).await {
        Ok(server) => {
            println!("endpoint listens on {}", server.address());
            let _ = tokio::signal::ctrl_c().await;
            server.close().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
