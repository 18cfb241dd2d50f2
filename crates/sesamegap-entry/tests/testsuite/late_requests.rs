//! Requests that reach a stopping process late, and answers that are still on their way when it has none in hand.

use crate::support::{
    Act, Answer, Caller, Platform, Process, Upstream, document, entry, offset, settings,
    unused_addr, vms, wait_until,
};
use sesamegap_entry::clock;
use sesamegap_entry::core::{Core, Phase};
use sesamegap_entry::follow::follow;
use sesamegap_entry::ports::{Record, Table};
use sesamegap_entry::process;
use sesamegap_entry::settings::Settings;
use sesamegap_entry::telemetry::Logging;
use sesamegap_wire::Moment;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Long enough for what tests do in a stop, and far shorter than the route's time limit.
const GRACE: Duration = Duration::from_secs(3);

/// A pause of an engine that no grace outlasts.
const PAUSE: Duration = Duration::from_secs(20);

/// A process with an engine that keeps the first stream until it is cut and serves all others at once, and a plain worker.
struct Stopping {
    process: Process,
    engine: Upstream,
    desk: Upstream,
    /// The caller of the first stream.
    _busy: Caller,
    /// Callers that have a connection and have sent nothing on it.
    unused: Vec<Caller>,
}

impl Stopping {
    async fn start(unused: usize) -> Self {
        let process = Process::new().await;
        let kept = Act::PausedEvents(1..2, PAUSE, 4);
        let engine = Upstream::start(vec![kept, Act::Events(1..4)]).await;
        let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
        process.add("e1", "engines", engine.addr);
        process.add("w1", "desk", desk.addr);
        set_grace(&process, GRACE);
        let mut busy = Caller::connect(process.callers).await;
        busy.send(&head("/review/", "content-length: 0\r\n")).await;
        busy.until("t1").await;
        let mut callers = Vec::new();
        for _ in 0..unused {
            callers.push(Caller::connect(process.callers).await);
        }
        Self {
            process,
            engine,
            desk,
            _busy: busy,
            unused: callers,
        }
    }

    /// Asks the process to stop, and waits until it accepts no more connections.
    async fn stop(&self) -> tokio::task::JoinHandle<()> {
        let core = Arc::clone(&self.process.core);
        let stopping = tokio::spawn(async move { process::stop(&core).await });
        wait_until(|| self.process.core.phase() >= Phase::Ended).await;
        stopping
    }
}

fn set_grace(process: &Process, grace: Duration) {
    let mut settings = Settings::clone(&process.core.settings());
    settings.spans.grace = grace;
    process.core.reload(settings);
}

/// A socket that holds little of an answer.
fn small_buffers() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4_096).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket
}

fn small_buffers_listener() -> TcpListener {
    let socket = small_buffers();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(8).unwrap()
}

fn head(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nauthorization: clerks-key\r\n{headers}\r\n"
    )
}

fn assert_refused(answer: &Answer) {
    let close = answer.header("connection");
    assert_eq!((answer.status, close), (503, Some("close")), "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
    assert!(answer.is_complete, "{answer:?}");
}

/// Guards against a request on a connection opened before SIGTERM that a stopping VM passes on and cuts.
#[tokio::test]
async fn a_connection_without_a_request_is_closed_once_requests_could_not_end() {
    let mut stopping = Stopping::start(3).await;
    let _stop = stopping.stop().await;
    for caller in &mut stopping.unused {
        // A request that crosses the close is answered as not run, or not at all.
        caller
            .send(&head("/review/", "content-length: 0\r\n"))
            .await;
        let answer = caller.try_answer().await;
        assert!(answer.is_none_or(|answer| matches!(answer.status, 408 | 503)));
    }
    assert_eq!(stopping.engine.seen().len(), 1);
}

/// Guards against a request whose head comes too late in a stop, and that is passed on and cut.
#[tokio::test]
async fn a_late_request_that_may_not_end_in_the_grace_is_refused() {
    let mut stopping = Stopping::start(1).await;
    let caller = &mut stopping.unused[0];
    let text = head("/review/", "content-length: 0\r\n");
    let (first, rest) = text.split_at(20);
    caller.send(first).await;
    let _stop = stopping.stop().await;
    let caller = &mut stopping.unused[0];
    caller.send(rest).await;
    assert_refused(&caller.answer().await);
    assert_eq!(stopping.engine.seen().len(), 1);
}

/// Guards against a request whose body ends too late in a stop, and that is passed on and cut.
#[tokio::test]
async fn a_request_whose_body_ends_late_is_refused() {
    let mut stopping = Stopping::start(1).await;
    let caller = &mut stopping.unused[0];
    let text = head("/review/", "transfer-encoding: chunked\r\n");
    caller.send(&text).await;
    caller.send("4\r\nhalf\r\n").await;
    let _stop = stopping.stop().await;
    let caller = &mut stopping.unused[0];
    caller.send("4\r\nrest\r\n0\r\n\r\n").await;
    assert_refused(&caller.answer().await);
    assert_eq!(stopping.engine.seen().len(), 1);
}

/// Guards against a stop that refuses what it has time for.
#[tokio::test]
async fn a_late_request_that_ends_in_the_grace_is_served() {
    let mut stopping = Stopping::start(1).await;
    let caller = &mut stopping.unused[0];
    let text = head("/save/", "x-patience: 500\r\ncontent-length: 0\r\n");
    let (first, rest) = text.split_at(20);
    caller.send(first).await;
    let _stop = stopping.stop().await;
    let caller = &mut stopping.unused[0];
    caller.send(rest).await;
    let answer = caller.answer().await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
    assert_eq!(stopping.desk.seen().len(), 1);
}

/// Guards against a request that waits for an upstream until it can no longer end in the grace, and is passed on then.
#[tokio::test]
async fn a_request_that_waits_too_long_in_a_stop_is_refused() {
    let mut stopping = Stopping::start(1).await;
    let core = Arc::clone(&stopping.process.core);
    let id = "e1".parse().unwrap();
    let mut leaving = entry("engines", stopping.engine.addr);
    leaving.leaving = true;
    leaving.beat = 2;
    core.fleet
        .lock()
        .apply(&id, leaving, offset(1), clock::now());
    let mut document = document(2);
    document.routes[3].objective = Duration::from_mins(1);
    core.adopt(&Arc::new(document), "test");
    let caller = &mut stopping.unused[0];
    caller
        .send(&head("/review/", "content-length: 0\r\n"))
        .await;
    wait_until(|| core.active() == 2).await;
    let stop = stopping.stop().await;
    assert_refused(&stopping.unused[0].answer().await);
    assert!(!stop.is_finished());
    assert_eq!(stopping.engine.seen().len(), 1);
}

/// Guards against a process that ends under a caller which has sent a part of its request, and tells it nothing.
#[tokio::test]
async fn callers_of_incomplete_requests_are_told_that_nothing_was_run() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    set_grace(&process, GRACE);
    let mut caller = Caller::connect(process.callers).await;
    let text = head("/save/", "transfer-encoding: chunked\r\n");
    caller.send(&text).await;
    caller.send("4\r\nhalf\r\n").await;
    process::stop(&process.core).await;
    assert_refused(&caller.answer().await);
    assert!(desk.seen().is_empty());
}

/// Guards against a process that ends with nothing in hand while a caller has not received all of its answer.
#[tokio::test]
async fn a_process_does_not_end_before_a_slow_caller_has_its_answer() {
    const LENGTH: usize = 200 << 10;
    let body: &str = Box::leak("x".repeat(LENGTH).into_boxed_str());
    let desk = Upstream::start(vec![Act::Answer(200, body)]).await;
    let addr = desk.addr;
    let (start, started) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    // A runtime of its own, whose end closes all sockets as that of a process does.
    let ended = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async {
            let process = Process::on(small_buffers_listener());
            process.add("w1", "desk", addr);
            set_grace(&process, GRACE);
            start
                .send((Arc::clone(&process.core), process.callers))
                .unwrap();
            stopped.await.unwrap();
            process::stop(&process.core).await;
        });
    });
    let (core, callers) = started.await.unwrap();
    let mut caller = Caller::on(small_buffers().connect(callers).await.unwrap());
    caller.send(&head("/pull/", "content-length: 0\r\n")).await;
    wait_until(|| desk.closed() == 1 && core.active() == 0).await;
    stop.send(()).unwrap();
    wait_until(|| core.phase() >= Phase::Ended).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    drop(core);
    while caller.read_more().await {}
    let answer = caller.answer().await;
    assert!(answer.is_complete, "{} bytes", answer.body.len());
    tokio::task::spawn_blocking(|| ended.join())
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a stop that goes on by a grace which has been shortened since the process was asked to stop.
#[tokio::test]
async fn a_grace_that_is_shortened_during_a_stop_holds() {
    let stopping = Stopping::start(0).await;
    set_grace(&stopping.process, Duration::from_mins(1));
    let core = Arc::clone(&stopping.process.core);
    let stop = tokio::spawn(async move { process::stop(&core).await });
    wait_until(|| stopping.process.core.phase() >= Phase::Leaving).await;
    set_grace(&stopping.process, GRACE);
    timeout(PAUSE, stop).await.unwrap().unwrap();
    assert_eq!(stopping.process.core.active(), 1);
}

/// Guards against a stopping VM that no longer hears of upstreams which come and leave, and uses what it knew for what it
/// still has in hand.
#[tokio::test]
async fn a_stopping_process_follows_the_fleet_list_to_its_end() {
    let worker = |no: u16| {
        let entry = entry("desk", unused_addr());
        Record::Upstream(format!("w{no}").parse().unwrap(), Box::new(entry))
    };
    let platform = Arc::new(Platform::default());
    platform.records.lock().unwrap().push(worker(1));
    let core = Core::new(
        settings("vm-1", Vec::new()),
        platform.ports(),
        Logging::disabled(),
    );
    let core = Arc::new(core.unwrap());
    tokio::spawn(follow(Arc::clone(&core), Table::Fleet));
    let known = || core.fleet.lock().upstreams().count();
    wait_until(|| known() == 1).await;
    core.advance_phase(Phase::Ended);
    for no in 2..5 {
        platform.records.lock().unwrap().push(worker(no));
        wait_until(|| known() == usize::from(no)).await;
    }
}

/// Guards against a request of another VM that a stopping gateway passes on and cuts.
#[tokio::test]
async fn a_stopping_gateway_takes_only_requests_that_it_can_finish() {
    let vm = vms(1, 93).await.remove(0);
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    let id = "w1".parse().unwrap();
    let entry = entry("desk", desk.addr);
    vm.core.fleet.lock().apply(&id, entry, offset(0), Moment(1));
    let life = vm.core.fleet.lock().get(&id).unwrap().life;
    let addr = vm.core.settings().listen.loads;
    wait_until(|| std::net::TcpStream::connect(addr).is_ok()).await;
    let outcome = async |patience: u32| {
        let mut peer = Caller::connect(addr).await;
        let text = format!(
            "POST /relay HTTP/1.1\r\nhost: desk.example\r\nx-id: r1\r\nx-patience: {patience}\r\n\
            sesamegap-upstream: w1\r\nsesamegap-life: {life}\r\nsesamegap-target: /save/\r\n\
            content-length: 0\r\n\r\n"
        );
        peer.send(&text).await;
        let answer = peer.answer().await;
        answer.header("sesamegap-relay").map(str::to_owned)
    };
    assert_eq!(outcome(60_000).await.as_deref(), Some("answered"));
    vm.core.begin_stop();
    assert_eq!(outcome(60_000).await.as_deref(), Some("stopping"));
    assert_eq!(outcome(500).await.as_deref(), Some("answered"));
    assert_eq!(desk.seen().len(), 2);
}
