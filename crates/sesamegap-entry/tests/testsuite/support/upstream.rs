//! An upstream that sends the bytes that a test prescribes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What an upstream does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Sends a complete answer.
    Answer(u16, &'static str),
    /// States that it did not run the request.
    NotRun(u16),
    /// States that it is another instance than the one addressed.
    Elsewhere(&'static str),
    /// States that it holds these weights instead of the requested ones.
    OtherWeights(u32),
    /// Answers with a status that implies that the request was not run, without stating it.
    MisleadingStatus(u16),
    /// Sends a complete answer to another request.
    OtherId,
    /// Answers with success but without a seal.
    Unsealed,
    /// Sends half of the body and closes.
    Half,
    /// Sends a complete answer without a length and closes.
    NoLength(&'static str),
    /// Sends these bytes.
    Bytes(&'static str),
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Closes without an answer.
    Close,
    /// Never answers.
    Silent,
    /// Sends these events and ends the stream.
    Events(std::ops::Range<u64>),
    /// Sends these events and a part of the next one, and closes.
    CutEvents(std::ops::Range<u64>),
    /// Sends these events and then nothing more, without closing.
    StalledEvents(std::ops::Range<u64>),
    /// Sends these events, pauses, and sends the rest up to this id.
    PausedEvents(std::ops::Range<u64>, Duration, u64),
    /// Sends these bytes, and others again and again until the client closes.
    Endless(&'static str, &'static str),
    /// Sends these bytes, and others at this interval until the client closes.
    Drip(Arc<str>, &'static str, Duration),
    /// Waits, then acts.
    After(Duration, Box<Act>),
    /// Sends these events after a time in the queue; drops the request if the connection closes
    /// before.
    Queued(Duration, std::ops::Range<u64>),
}

/// A listening upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<usize>>,
    started: Arc<Mutex<usize>>,
    sent: Arc<Mutex<usize>>,
}

impl Upstream {
    /// Starts an upstream that performs the acts in turn, and the last one for all further
    /// requests.
    pub async fn start(acts: Vec<Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            addr: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
            started: Arc::default(),
            sent: Arc::default(),
        };
        let state = upstream.clone();
        tokio::spawn(async move {
            let mut acts = acts.into_iter().peekable();
            while let Ok((stream, _)) = listener.accept().await {
                let act = acts.next().unwrap();
                if acts.peek().is_none() {
                    acts = vec![act.clone()].into_iter().peekable();
                }
                tokio::spawn(state.clone().serve(stream, act));
            }
        });
        upstream
    }

    /// Requests that it received, as text.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    /// Number of connections that the client has closed.
    pub fn closed(&self) -> usize {
        *self.closed.lock().unwrap()
    }

    /// Number of queued requests that were started.
    pub fn started(&self) -> usize {
        *self.started.lock().unwrap()
    }

    /// Bytes sent by acts without end.
    pub fn sent(&self) -> usize {
        *self.sent.lock().unwrap()
    }

    async fn serve(self, mut stream: TcpStream, act: Act) {
        let Some(request) = read(&mut stream).await else {
            return;
        };
        let id = header(&request, "x-id").unwrap_or_default();
        self.seen.lock().unwrap().push(request);
        self.act(&mut stream, &id, act).await;
        // The client has to notice a truncated answer and close a stalled connection.
        let mut byte = [0; 16];
        while !matches!(stream.read(&mut byte).await, Ok(0) | Err(_)) {}
        *self.closed.lock().unwrap() += 1;
    }

    async fn act(&self, stream: &mut TcpStream, id: &str, act: Act) {
        let head = |status: u16, extra: &str| {
            format!("HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-seal: s-{id}\r\n{extra}\r\n")
        };
        let framed = |status: u16, body: &str| {
            let length = format!("content-length: {}\r\n", body.len());
            format!("{}{body}", head(status, &length))
        };
        let chunked = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
        let (bytes, close) = match act {
            Act::Answer(status, body) => (framed(status, body), false),
            Act::NotRun(status) => (
                format!("HTTP/1.1 {status} X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"),
                false,
            ),
            Act::Elsewhere(instance) => (
                format!(
                    "HTTP/1.1 421 X\r\nx-not-run: 1\r\nx-meant: {instance}\r\ncontent-length: 0\r\n\r\n"
                ),
                false,
            ),
            Act::OtherWeights(version) => (
                format!(
                    "HTTP/1.1 421 X\r\nx-not-run: 1\r\nx-weights: {version}\r\ncontent-length: 0\r\n\r\n"
                ),
                false,
            ),
            Act::MisleadingStatus(status) => (framed(status, "busy"), false),
            Act::OtherId => (
                "HTTP/1.1 200 X\r\nx-id: other\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nno".into(),
                false,
            ),
            Act::Unsealed => (
                format!("HTTP/1.1 200 X\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nno"),
                false,
            ),
            Act::Half => (format!("{}half", head(200, "content-length: 8\r\n")), true),
            Act::NoLength(body) => (format!("{}{body}", head(200, "")), true),
            Act::Bytes(bytes) => (bytes.into(), false),
            Act::Garbage => ("\u{1}\u{2} not an answer\r\n\r\n".into(), true),
            Act::Close => (String::new(), true),
            Act::Silent => return,
            Act::Events(range) => (
                format!("{}{}0\r\n\r\n", head(200, chunked), chunks(range)),
                false,
            ),
            Act::CutEvents(range) => {
                let half = "9\r\nid: 99\nda\r\n";
                (
                    format!("{}{}{half}", head(200, chunked), chunks(range)),
                    true,
                )
            }
            Act::StalledEvents(range) => {
                (format!("{}{}", head(200, chunked), chunks(range)), false)
            }
            Act::PausedEvents(range, pause, end) => {
                let first = format!("{}{}", head(200, chunked), chunks(range.clone()));
                drop(stream.write_all(first.as_bytes()).await);
                tokio::time::sleep(pause).await;
                (format!("{}0\r\n\r\n", chunks(range.end..end)), false)
            }
            Act::Queued(wait, range) => {
                let mut byte = [0; 16];
                tokio::select! {
                    () = tokio::time::sleep(wait) => {}
                    _ = stream.read(&mut byte) => return,
                }
                *self.started.lock().unwrap() += 1;
                (
                    format!("{}{}0\r\n\r\n", head(200, chunked), chunks(range)),
                    false,
                )
            }
            Act::Endless(first, again) => {
                let first = first.replace("ID", id);
                drop(stream.write_all(first.as_bytes()).await);
                while stream.write_all(again.as_bytes()).await.is_ok() {
                    *self.sent.lock().unwrap() += again.len();
                    // The other tasks of the test share the thread.
                    tokio::task::yield_now().await;
                }
                return;
            }
            Act::Drip(first, again, interval) => {
                return drip(stream, &first.replace("ID", id), again, interval).await;
            }
            Act::After(pause, act) => {
                tokio::time::sleep(pause).await;
                return Box::pin(self.act(stream, id, *act)).await;
            }
        };
        // The client may have closed the connection by now.
        drop(stream.write_all(bytes.as_bytes()).await);
        if close {
            drop(stream.shutdown().await);
        }
    }
}

/// Sends bytes, and others at an interval until the client closes.
async fn drip(stream: &mut TcpStream, first: &str, again: &str, interval: Duration) {
    drop(stream.write_all(first.as_bytes()).await);
    while stream.write_all(again.as_bytes()).await.is_ok() {
        tokio::time::sleep(interval).await;
    }
}

/// Events in chunked encoding.
fn chunks(range: std::ops::Range<u64>) -> String {
    let chunks: Vec<String> = range
        .map(|id| {
            let event = format!("id: {id}\ndata: t{id}\n\n");
            format!("{:x}\r\n{event}\r\n", event.len())
        })
        .collect();
    chunks.concat()
}

/// Reads a request with its body.
pub async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = header(head, "content-length").and_then(|length| length.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(text);
        }
    }
}

/// The value of a header in the text of a request.
pub fn header(text: &str, name: &str) -> Option<String> {
    let head = text.split("\r\n\r\n").next()?;
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines
        .filter(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
        .next()
}

/// Listens on a free port and serves each connection in a task of its own.
pub async fn listen<F>(serve: impl Fn(TcpStream) -> F + Send + 'static) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    addr
}
