//! Requests late in a stop, beside gateways.

use crate::support::{Act, Caller, Upstream, Vm, entry, offset, vms, wait_until};
use sesamegap_entry::clock;
use sesamegap_entry::core::Phase;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Requests that are in flight at a time.
const CALLERS: usize = 8;

fn list(vm: &Vm, id: &str, service: &str, addr: SocketAddr) {
    let id = id.parse().unwrap();
    let entry = entry(service, addr);
    let mut fleet = vm.core.fleet.lock();
    fleet.apply(&id, entry, offset(0), clock::now());
}

/// A gateway that lists a worker.
async fn gateway(net: u8, desk: &Upstream) -> Vm {
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

/// Guards against requests of peers that a stopping gateway resets with its listen queue, so that their callers must take
/// them for run.
#[tokio::test]
async fn a_gateway_that_closes_its_port_answers_what_waits_there() {
    let desk = Upstream::start(vec![Act::Answer(200, "ok")]).await;
    let vm = gateway(101, &desk).await;
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
