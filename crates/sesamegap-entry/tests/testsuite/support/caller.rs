//! A caller that reads the raw bytes of its answers.

use super::{HOST, KEY};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of a read; reached only if a test fails.
pub const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// An answer as a caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    /// The body without its transfer encoding.
    pub body: String,
    /// Whether the whole body arrived, by its length or its last chunk.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Caller {
    pub async fn connect(addr: SocketAddr) -> Self {
        Self::on(TcpStream::connect(addr).await.unwrap())
    }

    pub fn on(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// A caller on an open blocking connection.
    pub fn from_stream(stream: std::net::TcpStream) -> Self {
        stream.set_nonblocking(true).unwrap();
        Self::on(TcpStream::from_std(stream).unwrap())
    }

    /// Sends without yielding to other tasks.
    pub fn send_now(&mut self, text: &str) {
        let sent = self.stream.try_write(text.as_bytes()).unwrap();
        assert_eq!(sent, text.len());
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the bytes contain this text.
    pub async fn until(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.bytes).contains(text) {
            assert!(self.read_more().await, "closed before {text:?}");
        }
    }

    /// Reads one answer.
    pub async fn answer(&mut self) -> Answer {
        self.try_answer().await.expect("closed without an answer")
    }

    /// Reads one answer; `None` if the connection is closed before its head is complete.
    pub async fn try_answer(&mut self) -> Option<Answer> {
        loop {
            if let Some((answer, used)) = parse(&self.bytes, false) {
                self.bytes.drain(..used);
                return Some(answer);
            }
            if !self.read_more().await {
                return parse(&self.bytes, true).map(|(answer, _)| answer);
            }
        }
    }

    /// Whether the connection is closed without any further bytes.
    pub async fn is_closed(&mut self) -> bool {
        !self.read_more().await
    }

    /// Reads what has come; false if the connection is closed.
    pub async fn read_more(&mut self) -> bool {
        let mut chunk = [0; 4096];
        let read = timeout(READ_TIMEOUT, self.stream.read(&mut chunk)).await;
        let count = read.expect("an answer in time").unwrap_or(0);
        self.bytes.extend_from_slice(&chunk[..count]);
        count > 0
    }
}

/// Sends a request on a new connection and reads the answer.
pub async fn ask(addr: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> Answer {
    let mut caller = Caller::connect(addr).await;
    caller.send(&request(method, path, headers, body)).await;
    caller.answer().await
}

/// The text of a request with [`KEY`] and an id.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    request_of("r1", method, path, headers, body)
}

/// The text of a request with [`KEY`] and this id.
pub fn request_of(id: &str, method: &str, path: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-id: {id}\r\nauthorization: {KEY}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An answer and its length in bytes, once it is complete or the connection is closed.
fn parse(bytes: &[u8], closed: bool) -> Option<(Answer, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        head: head.to_owned(),
        body: String::new(),
        is_complete: false,
    };
    let start = head.len() + 4;
    if answer.header("transfer-encoding").is_some() {
        let (body, used, is_complete) = unchunk(rest);
        answer.body = body;
        answer.is_complete = is_complete;
        return (is_complete || closed).then_some((answer, start + used));
    }
    let length: usize = answer.header("content-length")?.parse().ok()?;
    answer.is_complete = rest.len() >= length;
    answer.body = rest.chars().take(length).collect();
    (answer.is_complete || closed).then_some((answer, start + length.min(rest.len())))
}

/// Decodes a chunked body: its content, the bytes used, and whether it has ended.
fn unchunk(mut text: &str) -> (String, usize, bool) {
    let total = text.len();
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        if rest.len() < size + 2 {
            break;
        }
        body.push_str(&rest[..size]);
        text = &rest[size + 2..];
        if size == 0 {
            return (body, total - text.len(), true);
        }
    }
    (body, total - text.len(), false)
}
