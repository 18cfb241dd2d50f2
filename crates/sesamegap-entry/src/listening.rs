//! Accepts connections for as long as the process takes new ones, and those in the listen queue when it stops.

use crate::core::{Core, Phase, wait_for_phase};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout_at};

/// Delay after a failed accept, which mostly means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a stopping process still accepts connections from the listen queue.
///
/// Closing the listener would reset these connections and the requests already sent on them. The
/// limit is for all of them together: otherwise new clients would keep the port open, and requests
/// accepted late would be cut when the process is killed.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(20);

/// Accepts connections up to [`Phase::Ended`], and closes the port; `on_error` logs a failed accept.
pub async fn accept(
    core: &Core,
    listener: TcpListener,
    serve: impl Fn(TcpStream),
    on_error: impl Fn(std::io::Error),
) {
    let mut phases = core.subscribe_phase();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(error) => {
                    on_error(error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = wait_for_phase(&mut phases, Phase::Ended) => break,
        }
    }
    let deadline = Instant::now() + FINAL_ACCEPT_TIME;
    while let Ok(Ok((stream, _))) = timeout_at(deadline, listener.accept()).await {
        serve(stream);
    }
}
