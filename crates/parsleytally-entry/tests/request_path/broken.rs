//! An endpoint that breaks its answers in the way that the path names.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub(crate) async fn answer_badly(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer_one(stream));
    }
}

async fn answer_one(mut stream: TcpStream) {
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
