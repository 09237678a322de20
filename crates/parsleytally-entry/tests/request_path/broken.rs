//! An endpoint that sends malformed or truncated answers, chosen by the request's path.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub(crate) async fn serve_broken_answers(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_one(stream));
    }
}

async fn serve_one(mut stream: TcpStream) {
    let mut head = vec![0; 4_096];
    let Ok(size) = stream.read(&mut head).await else {
        return;
    };
    let head = String::from_utf8_lossy(&head[..size]);
    let path = head.split(' ').nth(1).unwrap_or_default();
    let answer: &[u8] = match path {
        "/echo/close" => b"",
        "/echo/half-head" => b"HTTP/1.1 200 OK\r\ncontent-le",
        "/echo/short-body" => b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
        "/echo/short-chunk" => b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\nshort",
        _ => b"\x00\xffgarbage\r\n\r\n",
    };
    let _ = stream.write_all(answer).await;
    let _ = stream.shutdown().await;
}
