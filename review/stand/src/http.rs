//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// What becomes of a request.
pub enum Answer {
    /// A status and a body.
    Reply(u16, String),
    /// The connection is reset or closed without an answer.
    Reset,
}

/// Serves requests in a thread for each connection.
pub fn serve<H: Fn(Request) -> Answer + Send + Sync + 'static>(listener: TcpListener, handler: H) {
    serve_until(listener, Arc::new(AtomicBool::new(false)), handler);
}

/// Serves requests until `ended` is set and one more connection comes. Then the port is dead: it resets.
pub fn serve_until<H: Fn(Request) -> Answer + Send + Sync + 'static>(
    listener: TcpListener,
    ended: Arc<AtomicBool>,
    handler: H,
) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
    });
}

fn serve_connection<H: Fn(Request) -> Answer>(mut stream: TcpStream, handler: &H) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
        let Some(request) = parse(&head, body) else { return };
        match handler(request) {
            Answer::Reset => return,
            Answer::Reply(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }
}

/// Reads a head and a body of the length that it states.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut chunk = [0; 65536];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let length =
        headers(&head).iter().find(|(name, _)| name == "content-length").and_then(|(_, text)| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < end + 4 + length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    let body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some((head, body))
}

fn headers(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned())).collect()
}

fn parse(head: &str, body: Vec<u8>) -> Option<Request> {
    let mut first = head.lines().next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers: headers(head), body })
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a channel of its own. `None` without a complete answer in time.
pub fn send(
    address: &str,
    host: &str,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address.parse().ok()?, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nWalkhook-Deadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
