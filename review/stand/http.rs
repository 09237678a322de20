//! A blocking HTTP/1.1 server and client on loopback addresses.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest body that is read.
const BODY_LIMIT: usize = 16 << 20;
/// Time between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// A request with its whole body.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Headers by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body of an answer; none leaves the request without one.
pub type Answer = Option<(u16, String)>;
/// What answers the requests of a server.
pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A server, which ends all its connections when it is closed.
pub struct Server {
    stop: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Accepts connections at `address`.
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stop = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stopped, open) = (stop.clone(), connections.clone());
        let accepting = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_PAUSE);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    open.lock().unwrap().push(clone);
                }
                let handler = handler.clone();
                thread::spawn(move || serve(stream, &handler));
            }
        });
        Ok(Self {
            stop,
            connections,
            accepting: Some(accepting),
        })
    }

    /// Accepts no further connection and ends the open ones.
    pub fn close(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut writer) = (BufReader::new(reading), stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            // The channel stays open and returns nothing.
            thread::sleep(Duration::from_secs(120));
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let answer = [head.as_bytes(), body.as_bytes()].concat();
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(1..) => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return line.is_empty().then_some(headers);
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        return read_chunks(reader);
    }
    let length = headers.get("content-length");
    let length: usize = length.map_or(Some(0), |length| length.parse().ok())?;
    let mut body = vec![0; length.min(BODY_LIMIT)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_chunks(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + length.min(BODY_LIMIT), 0);
        reader.read_exact(&mut body[start..]).ok()?;
        read_line(reader)?;
        if length == 0 {
            return Some(body);
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let (path, query) = (path.to_owned(), query.collect());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

/// Calls a server on a connection of its own; none without a complete answer within `limit`.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "host") {
        head.push_str(&format!("host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("content-type: application/json\r\nconnection: close\r\n\r\n");
    let request = [head.as_bytes(), body.as_bytes()].concat();
    stream.write_all(&request).ok()?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
