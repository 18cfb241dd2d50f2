use crate::support::{Act, LogLines, Process, Upstream, ask};
use sesamegap_entry::telemetry::Logging;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use tracing::info;
use tracing_subscriber::EnvFilter;

/// A pipe whose reader has stopped: each write waits until it goes on.
struct Stopped {
    wrote: Sender<()>,
    goes_on: Receiver<()>,
}

impl Write for Stopped {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Either channel is closed once the test has ended, and then nobody waits.
        if self.wrote.send(()).is_ok() && self.goes_on.recv().is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads the log stops reading. Requests that wrote a line would wait for it, and with them
/// every caller of the VM.
#[test]
fn a_stopped_reader_holds_up_nobody_and_lost_lines_are_counted() {
    let (wrote, writes) = channel();
    let (go, goes_on) = channel();
    let filter = EnvFilter::new("info");
    let (subscriber, logging) = Logging::to_writer(Stopped { wrote, goes_on }, filter);
    tracing::subscriber::with_default(subscriber, || {
        info!("the first line");
        writes.recv().unwrap();
        // The writer waits now, and many times what the queue holds is written.
        for line in 0..20_000 {
            info!(line, "one of many");
        }
    });
    let dropped = logging.dropped();
    assert!((10_000..20_000).contains(&dropped), "{dropped}");
    drop(go);
}

/// A worker breaks off a save. The log would say that it ran twice, and whoever looks for a save that was
/// filed twice would find one that was not.
#[tokio::test]
async fn a_save_that_was_lost_once_is_logged_as_one_run() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Close]).await;
    process.add("w1", "desk", worker.addr);
    // The place that logs is reached once before, so that it is known when the subscriber comes.
    ask(process.callers, "POST", "/save/", "", "first").await;
    let lines = LogLines::default();
    let (subscriber, logging) = lines.subscriber();
    let listening = tracing::subscriber::set_default(subscriber);
    ask(process.callers, "POST", "/save/", "", "second").await;
    drop(listening);
    drop(logging);
    let ended = lines.with_event(753);
    assert!(
        ended.len() == 1 && ended[0].contains("\"runs\":1,"),
        "{ended:?}"
    );
}
