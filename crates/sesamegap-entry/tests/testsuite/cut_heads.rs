//! Answers that end at each of their bytes.

use crate::support::{Caller, Process, document, entry, offset, read, request, route, vms};
use futures_util::{StreamExt, stream};
use http::Request;
use http_body_util::Full;
use hyper::body::Bytes;
use sesamegap_entry::catalogue::{Document, Kind, Service};
use sesamegap_entry::clock;
use sesamegap_entry::fleet::Entry;
use sesamegap_entry::ports::Table;
use sesamegap_entry::upstream::gateway::{Destination, send_through};
use sesamegap_entry::upstream::{HeldBytes, collect};
use sesamegap_wire::Moment;
use socket2::SockRef;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Cases that run at the same time.
const CONCURRENT: usize = 128;

/// Time limit of a request whose answer is cut.
const CUT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit of a request whose answer is whole; reached only if a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests by which a case is asked for.
const MAX_TRIES: usize = 50;

/// Largest body of an answer through a gateway, in bytes.
const MAX_BODY: usize = 64 << 10;

/// Two events of a stream.
const EVENTS: [&str; 2] = ["id: 0\ndata: t\n\n", "id: 1\ndata: t\n\n"];

const HEAD: &str = "HTTP/1.1 200 X\r\nx-id: r1\r\nx-seal: s\r\n";

/// What ends an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its last byte.
    Byte,
    /// The orderly end of its connection.
    Channel,
}

/// An upstream's whole answer.
#[derive(Debug, Clone)]
struct Whole {
    text: String,
    end: End,
}

impl Whole {
    fn new(head: &str, body: &str, end: End) -> Self {
        let text = format!("{HEAD}{head}\r\n{body}");
        Self { text, end }
    }

    /// One that names its length.
    fn counted() -> Self {
        let body = EVENTS.concat();
        let head = format!("content-length: {}\r\n", body.len());
        Self::new(&head, &body, End::Byte)
    }

    /// One in chunks, with a head of these lines besides.
    fn chunked(head: &str) -> Self {
        let chunks = EVENTS.map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
        let body = format!("{}0\r\n\r\n", chunks.concat());
        let head = format!("{head}transfer-encoding: chunked\r\n");
        Self::new(&head, &body, End::Byte)
    }

    /// One that ends with its connection.
    fn unframed(head: &str) -> Self {
        Self::new(head, &EVENTS.concat(), End::Channel)
    }

    /// Bytes before the body.
    fn head_len(&self) -> usize {
        let last = self.text.rfind("x-seal").unwrap();
        last + self.text[last..].find("\r\n\r\n").unwrap() + 4
    }
}

/// An answer that is cut after some bytes.
#[derive(Debug, Clone)]
struct Cut {
    whole: Whole,
    /// Bytes that are sent.
    sent: usize,
    /// Whether the connection is reset after them.
    resets: bool,
    /// Whether a request got it.
    served: Arc<AtomicBool>,
}

impl Cut {
    /// All cuts of an answer, and the whole one.
    fn all(whole: &Whole) -> impl Iterator<Item = Self> {
        let sent = 0..=whole.text.len();
        let cut = sent.flat_map(|sent| [(sent, false), (sent, true)]);
        cut.map(|(sent, resets)| Self {
            whole: whole.clone(),
            sent,
            resets,
            served: Arc::default(),
        })
    }

    fn is_whole(&self) -> bool {
        self.sent == self.whole.text.len() && !self.resets
    }

    /// Bodies with which the answer may look whole.
    fn allowed(&self) -> Option<String> {
        if self.whole.end == End::Byte {
            let is_whole = self.sent == self.whole.text.len();
            return is_whole.then(|| EVENTS.concat());
        }
        // By the protocol the end of the connection is the end of the answer, unless it is reset.
        let body = self.whole.text.get(self.whole.head_len()..self.sent)?;
        (!self.resets).then(|| body.to_owned())
    }

    /// Checks what arrived, if it looks whole.
    fn check(&self, body: Option<&str>, on: &str) {
        let served = self.served.load(Ordering::Relaxed);
        assert!(served, "{on}: never asked for, {self:?}");
        if let Some(body) = body {
            assert_eq!(Some(body), self.allowed().as_deref(), "{on}: {self:?}");
        } else {
            assert!(!self.is_whole(), "{on}: a whole answer is lost, {self:?}");
        }
    }

    async fn send(&self, mut stream: TcpStream) {
        self.served.store(true, Ordering::Relaxed);
        let sent = &self.whole.text.as_bytes()[..self.sent];
        drop(stream.write_all(sent).await);
        if self.resets {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    }
}

/// Listens, and gives each request the answer whose number its path has. One port serves all cases, since ports run out.
async fn serve(cuts: &Arc<Vec<Cut>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let cuts = Arc::clone(cuts);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let cuts = Arc::clone(&cuts);
            tokio::spawn(async move {
                let Some(request) = read(&mut stream).await else {
                    return;
                };
                let no: usize = request.split('/').nth(1).unwrap().parse().unwrap();
                cuts[no].send(stream).await;
            });
        }
    });
    addr
}

/// A document with a service and a route of this kind for each cut.
fn document_of(kind: Kind, cuts: &[Cut]) -> Document {
    let mut document = document(1);
    let service = if kind.is_stream() { "engines" } else { "desk" };
    let model = document
        .services
        .iter()
        .find(|known| known.name.as_str() == service);
    let model = model.unwrap().clone();
    document.routes.clear();
    for (no, cut) in cuts.iter().enumerate() {
        let name = format!("{service}-{no}");
        document.services.push(Service {
            name: name.parse().unwrap(),
            ..model.clone()
        });
        let mut route = route(&format!("/{no}/"), kind, &name, 2);
        // No other upstream comes after a cut; a whole answer comes however slow the machine is.
        route.timeout = if cut.is_whole() {
            READ_TIMEOUT
        } else {
            CUT_TIMEOUT
        };
        route.objective = READ_TIMEOUT;
        document.routes.push(route);
    }
    document
}

/// Checks what callers get of all cuts of answers, on routes of a kind.
async fn check_callers(kind: Kind, answers: &[Whole]) {
    let cuts: Arc<Vec<Cut>> = Arc::new(answers.iter().flat_map(Cut::all).collect());
    let addr = serve(&cuts).await;
    let process = Process::empty().await;
    let document = document_of(kind, &cuts);
    process.core.adopt(&Arc::new(document), "test");
    let settings = process.core.table_progress(Table::Settings);
    settings.position().record_read(offset(1), clock::now());
    let process = &process;
    let (service, headers) = if kind.is_stream() {
        ("engines", "x-model: m\r\nx-parts: preamble,own\r\n")
    } else {
        ("desk", "")
    };
    let checks = cuts.iter().enumerate().map(|(no, cut)| async move {
        let listed = Entry {
            service: format!("{service}-{no}").parse().unwrap(),
            ..entry(service, addr)
        };
        let id = format!("u{no}").parse().unwrap();
        process
            .core
            .fleet
            .lock()
            .apply(&id, listed, offset(no as u64), Moment(1));
        let path = format!("/{no}/a");
        let mut answer = None;
        // A request may not be sent in its short time if the machine is busy.
        for _ in 0..MAX_TRIES {
            let mut caller = Caller::connect(process.callers).await;
            caller.send(&request("POST", &path, headers, "")).await;
            answer = caller.try_answer().await;
            if cut.served.load(Ordering::Relaxed) {
                break;
            }
        }
        let whole = answer.filter(|answer| answer.status == 200 && answer.is_complete);
        if let Some(answer) = &whole {
            assert_eq!(answer.header("x-seal"), Some("s"), "{cut:?}");
        }
        let body = whole.as_ref().map(|answer| answer.body.as_str());
        cut.check(body, "caller");
        if let Some(body) = body.filter(|_| kind.is_stream()) {
            assert!(body.is_empty() || body.ends_with("\n\n"), "{cut:?}");
        }
    });
    let checks = stream::iter(checks).buffer_unordered(CONCURRENT);
    checks.collect::<Vec<()>>().await;
}

fn framings() -> [Whole; 3] {
    [Whole::counted(), Whole::chunked(""), Whole::unframed("")]
}

/// Guards against an answer cut in its head or body that looks whole, on a route that may repeat.
#[tokio::test]
async fn no_cut_answer_looks_whole_if_it_may_repeat() {
    check_callers(Kind::Idempotent, &framings()).await;
}

/// Guards against an answer cut in its head or body that looks whole, on a route that may not repeat.
#[tokio::test]
async fn no_cut_answer_looks_whole_if_it_may_not_repeat() {
    check_callers(Kind::Once, &framings()).await;
}

/// Guards against a stream cut in its head or body that looks whole.
#[tokio::test]
async fn no_cut_stream_looks_whole() {
    check_callers(Kind::Stream, &framings()).await;
}

/// Guards against a resumable stream cut in its head or body that looks whole.
#[tokio::test]
async fn no_cut_resumable_stream_looks_whole() {
    check_callers(Kind::ResumableStream, &framings()).await;
}

/// Guards against a cut that looks whole in an answer whose head is unusual.
#[tokio::test]
async fn no_cut_answer_with_an_unusual_head_looks_whole() {
    let length = EVENTS.concat().len();
    let twice = format!("content-length: {length}\r\n").repeat(2);
    let mut late = Whole::counted();
    late.text = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: x\r\n\r\n{}",
        late.text
    );
    let mut old = Whole::unframed("");
    old.text = old.text.replace("HTTP/1.1", "HTTP/1.0");
    let mut old_counted = Whole::counted();
    old_counted.text = old_counted.text.replace("HTTP/1.1", "HTTP/1.0");
    let answers = [
        Whole::new(&twice, &EVENTS.concat(), End::Byte),
        Whole::chunked("content-length: 7\r\n"),
        Whole::chunked("content-length: 700\r\n"),
        late,
        old,
        old_counted,
    ];
    check_callers(Kind::Idempotent, &answers).await;
}

/// Guards against a cut that looks whole after another VM has framed the answer anew.
#[tokio::test]
async fn no_cut_answer_looks_whole_through_a_gateway() {
    let vms = vms(1, 35).await;
    let core = &vms[0].core;
    let gateway = core.settings().listen.loads;
    while TcpStream::connect(gateway).await.is_err() {
        sleep(Duration::from_millis(5)).await;
    }
    let cuts: Arc<Vec<Cut>> = Arc::new(framings().iter().flat_map(Cut::all).collect());
    let addr = serve(&cuts).await;
    let checks = cuts.iter().enumerate().map(|(no, cut)| async move {
        let id = format!("u{no}").parse().unwrap();
        let destination = {
            let mut fleet = core.fleet.lock();
            fleet.apply(&id, entry("desk", addr), offset(no as u64), clock::now());
            let life = fleet.get(&id).unwrap().life;
            Destination { id, life }
        };
        let request = Request::post(format!("/{no}/a"))
            .header("x-id", "r1")
            .body(Full::<Bytes>::default());
        let from = IpAddr::from([127, 0, 35, 2]);
        let sent = send_through(from, gateway, &destination, false, request.unwrap()).await;
        let mut body = None;
        if let Ok(exchange) = sent {
            let (_, bytes) = exchange.response.into_parts();
            let held = HeldBytes::new(&core.answers, destination.id.clone());
            let read = collect(bytes, MAX_BODY, held).await.ok();
            body = read.map(|bytes| String::from_utf8(bytes.to_vec()).unwrap());
            drop(exchange.connection);
        }
        cut.check(body.as_deref(), "gateway");
    });
    stream::iter(checks)
        .buffer_unordered(CONCURRENT)
        .collect::<Vec<()>>()
        .await;
}

/// Guards against a crash that looks like the end of an answer whose coding is unknown: no chunk is the last one, so that such
/// an answer ends with its connection too.
#[tokio::test]
async fn a_crash_does_not_end_an_answer_in_an_unknown_coding() {
    for head in [
        "transfer-encoding: gzip\r\n",
        "transfer-encoding: chunked, gzip\r\n",
        "transfer-encoding: gzip\r\ncontent-length: 30\r\n",
    ] {
        let process = Process::new().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        process.add("u1", "desk", listener.local_addr().unwrap());
        let half = Whole::new(head, EVENTS[0], End::Channel);
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            drop(listener);
            read(&mut stream).await;
            drop(stream.write_all(half.text.as_bytes()).await);
        });
        let mut caller = Caller::connect(process.callers).await;
        caller.send(&request("POST", "/save/a", "", "")).await;
        let answer = caller.try_answer().await;
        let whole = answer.filter(|answer| answer.status == 200 && answer.is_complete);
        assert_eq!(whole, None, "{head}");
    }
}
