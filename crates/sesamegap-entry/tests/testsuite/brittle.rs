//! Upstreams that fall over when they have to reject too much in a second.

use crate::support::{ask, entry, header, listen, offset, read, vms, wait_until};
use sesamegap_entry::clock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Requests that the worker runs at the same time; none waits.
const ROOM: usize = 6;

/// Time of a request.
const WORK: Duration = Duration::from_millis(30);

/// Rejections a second that the worker bears.
const BOUND: usize = 5;

/// Requests of the overload, sent at once.
const BURST: usize = 240;

/// A worker that says that it is brittle.
#[derive(Debug, Clone, Default)]
struct BrittleWorker {
    running: Arc<Mutex<usize>>,
    rejections: Arc<Mutex<Vec<Instant>>>,
}

impl BrittleWorker {
    async fn start(&self) -> SocketAddr {
        let worker = self.clone();
        listen(move |stream| worker.clone().serve(stream)).await
    }

    async fn serve(self, mut stream: TcpStream) {
        let Some(request) = read(&mut stream).await else {
            return;
        };
        let id = header(&request, "x-id").unwrap_or_default();
        let takes = {
            let mut running = self.running.lock().unwrap();
            let takes = *running < ROOM;
            *running += usize::from(takes);
            takes
        };
        let answer = if takes {
            tokio::time::sleep(WORK).await;
            *self.running.lock().unwrap() -= 1;
            format!(
                "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\nx-brittle: {BOUND}\r\ncontent-length: 2\r\n\r\nok"
            )
        } else {
            self.rejections.lock().unwrap().push(Instant::now());
            format!(
                "HTTP/1.1 503 X\r\nx-not-run: 1\r\nx-brittle: {BOUND}\r\ncontent-length: 0\r\n\r\n"
            )
        };
        drop(stream.write_all(answer.as_bytes()).await);
    }

    /// Most rejections in a second.
    fn worst_second(&self) -> usize {
        let all = self.rejections.lock().unwrap();
        let within = |from: &Instant| {
            let second = |at: &&Instant| **at >= *from && **at - *from < Duration::from_secs(1);
            all.iter().filter(second).count()
        };
        all.iter().map(within).max().unwrap_or_default()
    }
}

/// All VMs send to one worker at once. Each sees room, nearly all are rejected, and the worker falls over.
#[tokio::test]
async fn an_overload_does_not_make_a_brittle_worker_reject_too_much() {
    let vms = vms(3, 46).await;
    let worker = BrittleWorker::default();
    let addr = worker.start().await;
    for vm in &vms {
        let id = "w0".parse().unwrap();
        let mut fleet = vm.core.fleet.lock();
        fleet.apply(&id, entry("desk", addr), offset(0), clock::now());
    }
    for vm in &vms {
        let first = ask(vm.callers, "POST", "/save/a", "", "{}").await;
        assert_eq!(first.status, 200);
    }
    let service = "desk".parse().unwrap();
    let is_known = || {
        vms.iter()
            .all(|vm| vm.core.fleet.lock().is_brittle(&service, clock::now()))
    };
    wait_until(is_known).await;
    let mut all = JoinSet::new();
    for no in 0..BURST {
        let callers = vms[no % vms.len()].callers;
        all.spawn(async move { ask(callers, "POST", "/save/a", "", "{}").await.status });
        if no % 40 == 39 {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let statuses = all.join_all().await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    assert!(served >= ROOM, "{served} of {BURST} served");
    let worst = worker.worst_second();
    assert!(worst <= BOUND, "{worst} rejections in a second");
}
