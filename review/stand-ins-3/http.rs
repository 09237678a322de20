//! HTTP/1.1 over TCP on threads: a server whose open channels can go silent, and calls with a
//! time limit.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Status and body; none closes the channel without an answer.
pub type Answer = Option<(u16, String)>;

/// The channels of a server.
#[derive(Default)]
pub struct Channels {
    opened: AtomicU64,
    /// Channels up to this number are silent for good.
    silent: AtomicU64,
}

impl Channels {
    /// All channels that are open now go silent for good, without a reset; new ones work.
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent.store(opened, Ordering::SeqCst);
        opened
    }

    fn is_silent(&self, channel: u64) -> bool {
        channel <= self.silent.load(Ordering::SeqCst)
    }
}

pub fn serve(
    address: SocketAddr,
    handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>,
) -> std::io::Result<Arc<Channels>> {
    let listener = TcpListener::bind(address)?;
    let channels = Arc::new(Channels::default());
    let accepting = channels.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (channels, handler) = (accepting.clone(), handler.clone());
            let number = channels.opened.fetch_add(1, Ordering::SeqCst) + 1;
            std::thread::spawn(move || serve_channel(stream, number, &channels, &*handler));
        }
    });
    Ok(channels)
}

fn serve_channel(
    stream: TcpStream,
    number: u64,
    channels: &Channels,
    handler: &(dyn Fn(Request) -> Answer + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if channels.is_silent(number) {
            // What was sent on it is lost, and it stays open.
            continue;
        }
        let Some((status, body)) = handler(request) else {
            return;
        };
        if channels.is_silent(number) {
            continue;
        }
        let answer = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<String> {
    let mut body = Vec::new();
    if headers
        .get("transfer-encoding")
        .is_some_and(|how| how.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let start = body.len();
            body.resize(start + length, 0);
            reader.read_exact(&mut body[start..]).ok()?;
            let mut end = String::new();
            reader.read_line(&mut end).ok()?;
            if length == 0 {
                break;
            }
        }
    } else {
        let length = headers.get("content-length");
        body.resize(length.and_then(|text| text.parse().ok()).unwrap_or(0), 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value)));
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A call on a new channel; none without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "Content-Type: application/json\r\nConnection: close\r\n\r\n";
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, body))
}
