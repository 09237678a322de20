//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client that
//! uses one connection for each call.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longest body that is read.
const MAX_BODY: usize = 8 << 20;

/// A request as a server reads it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    /// Header names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// A parameter of the query, with its escapes resolved.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(known, _)| *known == name);
        found
            .next()
            .map_or(String::new(), |(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Drop,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A server, which runs until the process ends.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    /// Serves at a free port of the loopback interface.
    pub fn start(handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &handler));
            }
        });
        Self { address }
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = read_request(&mut reader) {
        let Reply::Answer(status, body) = handler(request) else {
            break;
        };
        if write_answer(&mut stream, status, &body).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some((first, headers));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let find = |name: &str| headers.iter().find(|(known, _)| known == name);
    if find("transfer-encoding").is_some_and(|(_, value)| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(String::from_utf8_lossy(&body).into_owned());
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find("content-length")
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    if length > MAX_BODY {
        return None;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

fn write_answer(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes())
}

/// Text of a request with its body.
pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str("Content-Type: application/json\r\n");
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Sends a request on a connection of its own; status 0 if there is no answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> (u16, String) {
    let text = request_text(method, path, headers, body);
    exchange(address, &text, timeout).unwrap_or((0, String::new()))
}

fn exchange(address: SocketAddr, text: &str, timeout: Duration) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_answer(&stream)
}

/// Reads one answer.
pub fn read_answer(stream: &TcpStream) -> Option<(u16, String)> {
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}
