//! Streams whose upstream breaks off or ends without having sent its last event.

use crate::support::{
    Act, Answer, Caller, Process, Upstream, ask, header, read, request_of, wait_until,
};
use sesamegap_policy::routing::timeouts::FIRST_EVENT_BUSY;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

const CHAT: &str = "x-model: m\r\nx-parts: preamble,own\r\n";

const HEAD: &str =
    "HTTP/1.1 200 X\r\nx-id: ID\r\nx-seal: s-ID\r\ncontent-type: text/event-stream\r\n";

/// Events that an engine sends before it falls silent.
const EVENTS: [&str; 2] = ["id: 1\ndata: t1\n\n", "id: 2\ndata: t2\n\n"];

/// Time between the breaks of two connections: shorter than a probe of an engine that cannot be reached.
const BETWEEN_BREAKS: Duration = Duration::from_millis(100);

/// Connections beside the one that a listener's queue has room for.
const QUEUED: usize = 3;

/// How an engine frames its stream.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Chunks,
    /// The end of the connection.
    Connection,
    /// A length that covers events which are never sent.
    Length,
}

impl Framing {
    /// The head and the first events of a stream.
    fn begin(self, id: &str) -> String {
        let head = HEAD.replace("ID", id);
        match self {
            Self::Chunks => {
                let chunks = EVENTS.map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
                format!(
                    "{head}transfer-encoding: chunked\r\n\r\n{}",
                    chunks.concat()
                )
            }
            Self::Connection => format!("{head}\r\n{}", EVENTS.concat()),
            Self::Length => format!("{head}content-length: 3000\r\n\r\n{}", EVENTS.concat()),
        }
    }
}

/// An engine that serves one request, whose connections are broken from outside.
struct Engine {
    listener: TcpListener,
    addr: SocketAddr,
}

impl Engine {
    /// Listens with a queue of one connection.
    fn listen() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(1).unwrap();
        let addr = listener.local_addr().unwrap();
        Self { listener, addr }
    }

    /// Accepts the next connection that brings a request.
    async fn request(&self) -> (TcpStream, String) {
        loop {
            let (mut stream, _) = self.listener.accept().await.unwrap();
            if let Some(request) = read(&mut stream).await {
                return (stream, request);
            }
        }
    }

    /// Fills the queue, so that connecting times out.
    async fn fill_queue(&self) -> Vec<tokio::task::JoinHandle<std::io::Result<TcpStream>>> {
        let addr = self.addr;
        let connecting = (0..QUEUED).map(|_| tokio::spawn(TcpStream::connect(addr)));
        let connecting = connecting.collect();
        sleep(Duration::from_millis(50)).await;
        connecting
    }
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(stream);
}

fn id_of(request: &str) -> String {
    header(request, "x-id").unwrap()
}

/// The first engine sends events and falls silent; once a second one is asked beside it, it breaks off and can no longer be
/// reached. The second one breaks off a moment later without a head.
async fn break_both(framing: Framing) -> Answer {
    let process = Process::new().await;
    let (first, second) = (Engine::listen(), Engine::listen());
    process.add("e1", "engines", first.addr);
    let mut caller = Caller::connect(process.callers).await;
    let request = request_of("r1", "POST", "/review/", CHAT, "");
    caller.send(&request).await;
    let (mut stream, request) = first.request().await;
    let begin = framing.begin(&id_of(&request));
    stream.write_all(begin.as_bytes()).await.unwrap();
    caller.until("data: t2").await;
    process.add("e2", "engines", second.addr);
    let (beside, _) = second.request().await;
    let _queued = first.fill_queue().await;
    reset(stream);
    sleep(BETWEEN_BREAKS).await;
    reset(beside);
    caller.answer().await
}

fn assert_broken_off(answer: &Answer) {
    assert!(answer.body.starts_with(&EVENTS.concat()), "{answer:?}");
    assert!(!answer.is_complete, "a broken stream looks complete");
}

/// Guards against a stream that ends as complete since the error of its connection is dropped when a second run fails.
#[tokio::test]
async fn a_stream_that_breaks_off_while_a_second_run_fails_is_not_complete() {
    for framing in [Framing::Chunks, Framing::Connection, Framing::Length] {
        assert_broken_off(&break_both(framing).await);
    }
}

/// Guards against the same at the deadline, where an engine stops work and the second run's time is up at once.
#[tokio::test]
async fn a_stream_that_its_engine_breaks_off_at_the_deadline_is_not_complete() {
    let process = Process::with_timeout(Duration::from_secs(3)).await;
    let first = Engine::listen();
    let second = Upstream::start(vec![Act::Silent]).await;
    process.add("e1", "engines", first.addr);
    let mut caller = Caller::connect(process.callers).await;
    let request = request_of("r1", "POST", "/review/", CHAT, "");
    caller.send(&request).await;
    let (mut stream, request) = first.request().await;
    let left: u64 = header(&request, "x-left").unwrap().parse().unwrap();
    let limit = tokio::time::Instant::now() + Duration::from_millis(left);
    let begin = Framing::Chunks.begin(&id_of(&request));
    stream.write_all(begin.as_bytes()).await.unwrap();
    caller.until("data: t2").await;
    process.add("e2", "engines", second.addr);
    wait_until(|| second.seen().len() == 1).await;
    let _queued = first.fill_queue().await;
    tokio::time::sleep_until(limit - BETWEEN_BREAKS).await;
    reset(stream);
    assert_broken_off(&caller.answer().await);
}

/// Guards against streams that end as complete when a fault resets both connections at the same moment.
#[tokio::test]
async fn streams_whose_connections_are_all_reset_at_once_are_not_complete() {
    let process = Process::new().await;
    let (first, second) = (Engine::listen(), Engine::listen());
    process.add("e1", "engines", first.addr);
    let mut callers = Vec::new();
    let mut streams = Vec::new();
    for no in 0..16 {
        let mut caller = Caller::connect(process.callers).await;
        let request = request_of(&format!("r{no}"), "POST", "/review/", CHAT, "");
        caller.send(&request).await;
        let (mut stream, request) = first.request().await;
        let begin = Framing::Chunks.begin(&id_of(&request));
        stream.write_all(begin.as_bytes()).await.unwrap();
        streams.push(stream);
        callers.push(caller);
    }
    for caller in &mut callers {
        caller.until("data: t2").await;
    }
    process.add("e2", "engines", second.addr);
    streams.push(second.request().await.0);
    while let Ok((stream, _)) =
        tokio::time::timeout(Duration::from_millis(300), second.request()).await
    {
        streams.push(stream);
    }
    streams.into_iter().for_each(reset);
    drop((first, second));
    for caller in &mut callers {
        assert_broken_off(&caller.answer().await);
    }
}

/// Guards against an answer without a length that its engine ends because the request's time is up, and that looks whole
/// since the engine goes on.
#[tokio::test]
async fn an_unframed_stream_that_ends_at_its_engines_time_limit_is_not_complete() {
    let process = Process::with_timeout(Duration::from_millis(1_500)).await;
    let engine = Engine::listen();
    process.add("e1", "engines", engine.addr);
    for path in ["/review/", "/chat/"] {
        let mut caller = Caller::connect(process.callers).await;
        caller.send(&request_of("r1", "POST", path, CHAT, "")).await;
        let (mut stream, request) = engine.request().await;
        let left: u64 = header(&request, "x-left").unwrap().parse().unwrap();
        let begin = Framing::Connection.begin(&id_of(&request));
        stream.write_all(begin.as_bytes()).await.unwrap();
        // Its clock and the rounding of the limit differ a little.
        sleep(Duration::from_millis(left.saturating_sub(60))).await;
        stream.shutdown().await.unwrap();
        drop(stream);
        assert_broken_off(&caller.answer().await);
    }
}

/// Guards against a second run that ends without an event and makes an empty answer of a stream that another engine is about
/// to begin.
#[tokio::test]
async fn an_end_without_events_beside_a_silent_engine_does_not_end_the_stream() {
    let process = Process::new().await;
    let late = Act::After(
        FIRST_EVENT_BUSY + Duration::from_secs(1),
        Box::new(Act::Events(1..4)),
    );
    let first = Upstream::start(vec![late]).await;
    let second = Upstream::start(vec![Act::Events(1..1)]).await;
    process.add("e1", "engines", first.addr);
    let mut caller = Caller::connect(process.callers).await;
    let request = request_of("r1", "POST", "/review/", CHAT, "");
    caller.send(&request).await;
    wait_until(|| first.seen().len() == 1).await;
    process.add("e2", "engines", second.addr);
    let answer = caller.answer().await;
    assert_eq!(second.seen().len(), 1);
    assert!(answer.is_complete, "{answer:?}");
    assert!(answer.body.ends_with("data: t3\n\n"), "{answer:?}");
}

/// Guards against a stream that a caller takes up, and that ends as complete since the connection of the next run closes before
/// its first event.
#[tokio::test]
async fn a_stream_that_is_taken_up_is_not_complete_if_its_connection_closes_at_once() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::Events(1..4), Act::NoLength("")]).await;
    process.add("e1", "engines", engine.addr);
    ask(process.callers, "POST", "/review/", CHAT, "").await;
    let take_up = format!("{CHAT}x-after: 3\r\nx-resumes: r1\r\n");
    let answer = ask(process.callers, "POST", "/review/", &take_up, "").await;
    assert_eq!(
        (answer.status, answer.header("x-seal")),
        (502, None),
        "{answer:?}"
    );
}

/// Guards against a broken answer that may be repeated, and that looks whole when a second worker fails while the first one is
/// probed.
#[tokio::test]
async fn a_plain_answer_that_breaks_off_while_a_second_run_fails_is_not_complete() {
    let process = Process::new().await;
    let (first, second) = (Engine::listen(), Engine::listen());
    process.add("w1", "desk", first.addr);
    let mut caller = Caller::connect(process.callers).await;
    caller
        .send(&request_of("r1", "GET", "/pull/a", "", ""))
        .await;
    let (mut stream, request) = first.request().await;
    process.add("w2", "desk", second.addr);
    let (beside, _) = second.request().await;
    let begin = Framing::Chunks.begin(&id_of(&request));
    stream.write_all(begin.as_bytes()).await.unwrap();
    let _queued = first.fill_queue().await;
    reset(stream);
    sleep(BETWEEN_BREAKS).await;
    reset(beside);
    let answer = caller.answer().await;
    assert!(
        answer.status != 200 || !answer.is_complete,
        "a broken answer looks complete"
    );
}

/// Guards against an answer without a length that is broken off since its request had little time from the start.
#[tokio::test]
async fn a_prompt_unframed_answer_to_a_request_with_little_time_is_complete() {
    let process = Process::with_timeout(Duration::from_millis(95)).await;
    let worker = Upstream::start(vec![Act::NoLength("whole")]).await;
    process.add("w1", "desk", worker.addr);
    let mut answers = Vec::new();
    // A busy machine may take the whole time of some.
    for _ in 0..20 {
        answers.push(ask(process.callers, "POST", "/pull/a", "", "").await);
    }
    let is_whole = |answer: &Answer| answer.status == 200 && answer.body == "whole";
    assert!(answers.iter().any(is_whole), "{answers:?}");
}

/// Guards against a stream that breaks off and looks whole to a caller for whom only the end of the connection ends it.
#[tokio::test]
async fn a_broken_stream_does_not_close_a_plain_connection_in_order() {
    let process = Process::new().await;
    let engine = Upstream::start(vec![Act::CutEvents(1..3)]).await;
    process.add("e1", "engines", engine.addr);
    let mut stream = TcpStream::connect(process.callers).await.unwrap();
    let request = request_of("r1", "POST", "/chat/", CHAT, "").replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(read.is_err() || text.starts_with("HTTP/1.0 505"), "{text}");
}
