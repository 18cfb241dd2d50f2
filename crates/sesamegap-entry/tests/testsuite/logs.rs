use crate::support::{Act, LogLines, Process, Upstream, ask};
use sesamegap_entry::telemetry::Logging;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use tracing::info;
use tracing_subscriber::EnvFilter;

/// A pipe whose reader has stopped: each write blocks until `resume` receives.
struct BlockedPipe {
    write_started: Sender<()>,
    resume: Receiver<()>,
}

impl Write for BlockedPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Both channels are closed at the end of the test, and then writes do not block.
        if self.write_started.send(()).is_ok() && self.resume.recv().is_err() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that block on a log line when the reader of the log has stopped.
#[test]
fn a_stopped_log_reader_blocks_no_request_and_dropped_lines_are_counted() {
    let (write_started, writes) = channel();
    let (resume_sender, resume) = channel();
    let filter = EnvFilter::new("info");
    let (subscriber, logging, _writer) = Logging::to_writer(
        BlockedPipe {
            write_started,
            resume,
        },
        filter,
    );
    tracing::subscriber::with_default(subscriber, || {
        info!("the first line");
        writes.recv().unwrap();
        // The writer is blocked now; log several times the capacity of the queue.
        for line in 0..20_000 {
            info!(line, "one of many");
        }
    });
    let dropped = logging.dropped();
    assert!((10_000..20_000).contains(&dropped), "{dropped}");
    drop(resume_sender);
}

/// Guards against a request that a worker aborted, logged as two runs: a search for duplicate saves
/// would find one that ran once.
#[tokio::test]
async fn a_save_that_was_lost_once_is_logged_as_one_run() {
    let process = Process::new().await;
    let worker = Upstream::start(vec![Act::Close]).await;
    process.add("w1", "desk", worker.addr);
    // The first request registers the log call site before the subscriber is set.
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
