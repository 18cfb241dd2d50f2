//! Requests late in a stop, beside gateways, quotas, bodies that come slowly, and kept connections.

use crate::support::{
    Act, Caller, Process, Upstream, Vm, ask, document, entry, offset, unused_addr, vms, wait_until,
};
use sesamegap_entry::catalogue::{Document, Quota, Unit};
use sesamegap_entry::clock;
use sesamegap_entry::core::{Core, Phase};
use sesamegap_entry::gateway;
use sesamegap_entry::process;
use sesamegap_entry::quota;
use sesamegap_entry::settings::Settings;
use sesamegap_policy::quota::RateLimit;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Long enough for what tests do in a stop, and shorter than the route's time limit.
const GRACE: Duration = Duration::from_secs(3);

/// A pause of an engine that no grace outlasts.
const PAUSE: Duration = Duration::from_secs(20);

/// Requests that are in flight at a time.
const CALLERS: usize = 8;

fn set_grace(core: &Core) {
    let mut settings = Settings::clone(&core.settings());
    settings.spans.grace = GRACE;
    core.reload(settings);
}

fn stop(core: &Arc<Core>) -> JoinHandle<()> {
    let core = Arc::clone(core);
    tokio::spawn(async move { process::stop(&core).await })
}

fn list(vm: &Vm, id: &str, service: &str, addr: SocketAddr) {
    let id = id.parse().unwrap();
    let entry = entry(service, addr);
    let mut fleet = vm.core.fleet.lock();
    fleet.apply(&id, entry, offset(0), clock::now());
}

/// A gateway that lists a worker.
async fn start_gateway(net: u8, desk: &Upstream) -> Vm {
    let vm = vms(1, net).await.remove(0);
    list(&vm, "w1", "desk", desk.addr);
    let addr = vm.core.settings().listen.loads;
    wait_until(|| TcpStream::connect(addr).is_ok()).await;
    // Connections are accepted in order, so none is left in the queue.
    let mut peer = Caller::connect(addr).await;
    peer.send(&relayed(&vm, "first", 500)).await;
    assert_eq!(peer.answer().await.status, 200);
    vm
}

/// A request that a peer sends to a gateway.
fn relayed(vm: &Vm, id: &str, patience: u32) -> String {
    let life = vm
        .core
        .fleet
        .lock()
        .get(&"w1".parse().unwrap())
        .unwrap()
        .life;
    format!(
        "POST /relay HTTP/1.1\r\nhost: desk.example\r\nx-id: {id}\r\nx-patience: {patience}\r\n\
        sesamegap-upstream: w1\r\nsesamegap-life: {life}\r\nsesamegap-target: /save/\r\n\
        content-length: 0\r\n\r\n"
    )
}

/// The text of a request that may not be repeated.
fn save(id: &str, headers: &str) -> String {
    format!(
        "POST /save/ HTTP/1.1\r\nhost: desk.example\r\nx-id: {id}\r\nauthorization: clerks-key\r\n{headers}\r\n"
    )
}

/// Whether an upstream got the request with this id.
fn has_run(upstreams: &[Upstream], id: &str) -> bool {
    let line = format!("x-id: {id}\r\n");
    let mut seen = upstreams.iter().flat_map(Upstream::seen);
    seen.any(|text| text.contains(&line))
}

/// Guards against requests of peers that a stopping gateway resets with its listen queue, so that their callers must take
/// them for run.
#[tokio::test]
async fn a_gateway_that_closes_its_port_answers_what_waits_there() {
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    let vm = start_gateway(101, &desk).await;
    let addr = vm.core.settings().listen.loads;
    vm.core.begin_stop();
    let mut peers = Vec::new();
    for no in 0..CALLERS {
        let mut stream = TcpStream::connect(addr).unwrap();
        let text = relayed(&vm, &format!("r{no}"), 500);
        stream.write_all(text.as_bytes()).unwrap();
        peers.push(Caller::from_stream(stream));
    }
    vm.core.advance_phase(Phase::Ended);
    let mut answered = 0;
    for peer in &mut peers {
        let answer = peer.try_answer().await;
        answered += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    assert_eq!((answered, desk.seen().len()), (CALLERS, 1 + CALLERS));
}

/// A listener whose connections hold little of an answer.
fn small_buffers_listener() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4_096).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(8).unwrap()
}

/// Guards against a gateway that ends while an answer is still on its way to a peer whose caller reads slowly.
#[tokio::test]
async fn a_gateway_does_not_end_before_a_slow_peer_has_its_answer() {
    const LENGTH: usize = 200 << 10;
    let body: &str = Box::leak("x".repeat(LENGTH).into_boxed_str());
    let desk = Upstream::start(vec![Act::Answer(200, "ok"), Act::Answer(200, body)]).await;
    let seen = desk.clone();
    let (start, started) = oneshot::channel();
    let (stop, stopped) = oneshot::channel();
    // A runtime of its own, whose end closes all sockets as that of a process does.
    let ended = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async {
            let vm = start_gateway(104, &desk).await;
            set_grace(&vm.core);
            let listener = small_buffers_listener();
            let addr = listener.local_addr().unwrap();
            tokio::spawn(gateway::serve_on(Arc::clone(&vm.core), listener));
            let text = relayed(&vm, "r1", 500);
            start.send((Arc::clone(&vm.core), addr, text)).unwrap();
            stopped.await.unwrap();
            process::stop(&vm.core).await;
        });
    });
    let (core, addr, text) = started.await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut peer = Caller::on(socket.connect(addr).await.unwrap());
    peer.send(&text).await;
    wait_until(|| seen.closed() == 2 && core.active() == 0).await;
    stop.send(()).unwrap();
    wait_until(|| core.phase() >= Phase::Ended).await;
    // Longer than the process waits for anything else.
    sleep(Duration::from_millis(300)).await;
    drop(core);
    while peer.read_more().await {}
    let answer = peer.answer().await;
    assert!(answer.is_complete, "{} bytes", answer.body.len());
    let joined = tokio::task::spawn_blocking(|| ended.join()).await;
    joined.unwrap().unwrap();
}

/// Two VMs, the first one partitioned from all upstreams.
struct Pair {
    cut: Vm,
    gateway: Vm,
    upstreams: Vec<Upstream>,
}

impl Pair {
    async fn start(net: u8) -> Self {
        let mut all = vms(2, net).await;
        let gateway = all.remove(1);
        let cut = all.remove(0);
        let mut upstreams = Vec::new();
        for no in 0..6 {
            let (service, act) = if no % 2 == 0 {
                let answer = Act::Answer(200, "ok");
                (
                    "desk",
                    Act::After(Duration::from_millis(50), Box::new(answer)),
                )
            } else {
                ("engines", Act::PausedEvents(1..2, PAUSE, 4))
            };
            let upstream = Upstream::start(vec![act]).await;
            list(&gateway, &format!("u{no}"), service, upstream.addr);
            list(&cut, &format!("u{no}"), service, unused_addr());
            upstreams.push(upstream);
        }
        let pair = Self {
            cut,
            gateway,
            upstreams,
        };
        while !pair.cut.core.fleet.lock().is_partitioned() {
            ask(pair.cut.callers, "POST", "/pull/", "", "").await;
        }
        pair
    }

    /// Sends requests that may not be repeated to the partitioned VM until its peer has stopped; returns ids and statuses.
    async fn send_until(&self, stopping: &JoinHandle<()>) -> Vec<(String, u16)> {
        let mut callers = JoinSet::new();
        let mut no = 0;
        while !stopping.is_finished() {
            for _ in 0..CALLERS {
                let id = format!("r{no}");
                let addr = self.cut.callers;
                no += 1;
                callers.spawn(async move {
                    let mut caller = Caller::connect(addr).await;
                    let headers = "x-patience: 500\r\ncontent-length: 0\r\n";
                    caller.send(&save(&id, headers)).await;
                    (id, caller.answer().await.status)
                });
            }
            sleep(Duration::from_millis(20)).await;
        }
        callers.join_all().await
    }
}

/// Guards against a partitioned VM whose requests are lost at a peer that stops.
#[tokio::test]
async fn requests_through_a_peer_that_stops_are_served_or_have_not_run() {
    let pair = Pair::start(102).await;
    set_grace(&pair.gateway.core);
    let stopping = stop(&pair.gateway.core);
    let outcomes = pair.send_until(&stopping).await;
    let served = outcomes.iter().filter(|(_, status)| *status == 200);
    assert!(served.count() > CALLERS);
    let failed: Vec<_> = outcomes
        .iter()
        .filter(|(id, status)| match status {
            200 => false,
            503 => has_run(&pair.upstreams, id),
            _ => true,
        })
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a late request that a stopping VM sends through a peer, and cuts.
#[tokio::test]
async fn a_stopping_vm_sends_through_a_peer_only_what_ends_in_time() {
    let pair = Pair::start(103).await;
    let core = &pair.cut.core;
    set_grace(core);
    // Keeps the process to the end of its grace.
    let mut busy = Caller::connect(pair.cut.callers).await;
    let text = "POST /review/ HTTP/1.1\r\nhost: desk.example\r\nx-id: busy\r\nauthorization: clerks-key\r\ncontent-length: 0\r\n\r\n";
    busy.send(text).await;
    busy.until("t1").await;
    let texts = [
        save("long", "content-length: 0\r\n"),
        save("short", "x-patience: 600\r\ncontent-length: 0\r\n"),
    ];
    let mut callers = Vec::new();
    for text in &texts {
        let mut caller = Caller::connect(pair.cut.callers).await;
        caller.send(&text[..20]).await;
        callers.push(caller);
    }
    let _stop = stop(core);
    wait_until(|| core.phase() >= Phase::Ended).await;
    let mut statuses = Vec::new();
    for (caller, text) in callers.iter_mut().zip(&texts) {
        caller.send(&text[20..]).await;
        statuses.push(caller.answer().await.status);
    }
    assert_eq!(statuses, [503, 200]);
    assert!(!has_run(&pair.upstreams, "long"));
}

/// A document whose team may use 1,000 tokens a second, and whose requests wait long for them.
fn limited() -> Document {
    let mut document = document(2);
    document.teams[0].quota = Some(Quota {
        limit: RateLimit {
            rate: 1_000.0,
            burst: 1_000.0,
        },
        unit: Unit::Tokens(200.0),
    });
    for route in &mut document.routes {
        route.objective = Duration::from_mins(1);
    }
    document
}

/// Guards against a request that waits for its team's tokens until it can no longer end in the grace, and is passed on then.
#[tokio::test]
async fn a_request_that_waits_for_tokens_in_a_stop_is_not_passed_on_late() {
    let process = Process::empty().await;
    let core = &process.core;
    core.adopt(&Arc::new(limited()), "test");
    core.peers.seed_members(Vec::new());
    let ticking = Arc::clone(core);
    tokio::spawn(async move {
        loop {
            quota::tick(&ticking);
            sleep(Duration::from_millis(20)).await;
        }
    });
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    set_grace(core);
    let usage = "x-usage: 2800\r\n";
    while ask(process.callers, "GET", "/pull/", usage, "")
        .await
        .status
        != 200
    {
        sleep(Duration::from_millis(20)).await;
    }
    let served = desk.seen().len();
    let mut caller = Caller::connect(process.callers).await;
    caller.send(&save("r1", "content-length: 0\r\n")).await;
    wait_until(|| core.active() == 1).await;
    let _stop = stop(core);
    assert_eq!(caller.answer().await.status, 503);
    assert_eq!(desk.seen().len(), served);
}

/// Guards against a caller whose body still comes when the process ends, and that is not told that nothing was run.
#[tokio::test]
async fn a_caller_whose_body_comes_slowly_in_a_stop_is_refused() {
    let process = Process::new().await;
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    process.add("w1", "desk", desk.addr);
    set_grace(&process.core);
    let stream = TcpStream::connect(process.callers).unwrap();
    let mut body = stream.try_clone().unwrap();
    let mut caller = Caller::from_stream(stream);
    caller
        .send(&save("r1", "transfer-encoding: chunked\r\n"))
        .await;
    let stopping = stop(&process.core);
    // The write fails once the process has closed the connection.
    while body.write_all(b"4\r\npart\r\n").is_ok() {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(caller.answer().await.status, 503);
    stopping.await.unwrap();
    assert!(desk.seen().is_empty());
}

/// Guards against requests on kept connections that are run although their callers get a closing response, or none.
#[tokio::test]
async fn what_crosses_the_closing_response_has_not_run() {
    let process = Process::new().await;
    let answer = Act::Answer(200, "ok");
    let desk = Upstream::start(vec![Act::After(
        Duration::from_millis(10),
        Box::new(answer),
    )])
    .await;
    process.add("w1", "desk", desk.addr);
    set_grace(&process.core);
    let mut callers = JoinSet::new();
    for no in 0..2 * CALLERS {
        let addr = process.callers;
        callers.spawn(async move {
            let mut caller = Caller::connect(addr).await;
            let mut outcomes = Vec::new();
            for turn in 0.. {
                let id = format!("r{no}-{turn}");
                let headers = "x-patience: 500\r\ncontent-length: 0\r\n";
                caller.send(&save(&id, headers)).await;
                let answer = caller.try_answer().await;
                let is_last = answer
                    .as_ref()
                    .is_none_or(|answer| answer.header("connection") == Some("close"));
                outcomes.push((id, answer.map(|answer| answer.status)));
                if is_last {
                    return outcomes;
                }
                // At odds with each other and with the phases of the stop.
                sleep(Duration::from_millis(no as u64 * 7 % 50)).await;
            }
            outcomes
        });
    }
    sleep(Duration::from_millis(100)).await;
    process::stop(&process.core).await;
    let desk = [desk];
    for (id, status) in callers.join_all().await.into_iter().flatten() {
        assert_eq!(has_run(&desk, &id), status == Some(200), "{id}: {status:?}");
    }
}
