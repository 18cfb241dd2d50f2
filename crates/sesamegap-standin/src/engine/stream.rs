//! The events of one answer on one connection, with the faults that hit this connection.

use super::job::Job;
use crate::faults::Fault;
use async_stream::stream;
use bytes::Bytes;
use futures_util::Stream;
use sesamegap_upstream::wire::Envelope;
use sesamegap_wire::RequestId;
use sesamegap_wire::engine::Chunk;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// A fault of one token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trouble {
    pub(crate) fault: Fault,
    pub(crate) at: u64,
}

/// How one connection is served.
#[derive(Debug, Clone)]
pub(crate) struct Manner {
    /// Time between heartbeats.
    pub(crate) beat: Duration,
    /// The attempt that the events name.
    pub(crate) request: RequestId,
    /// Which token something happens to.
    pub(crate) trouble: Option<Trouble>,
}

/// The events of an answer from a place on.
pub(crate) fn events(
    job: Arc<Job>,
    from: u64,
    manner: Manner,
) -> impl Stream<Item = Result<Bytes, Error>> + Send + 'static {
    let mut follow = job.follow();
    stream! {
        let write = |chunk: Chunk| event(&manner.request, job.attempt, chunk);
        let mut place = from;
        let mut started = false;
        loop {
            let now = *follow.borrow_and_update();
            if let (false, Some(cached)) = (started, now.cached) {
                started = true;
                yield write(Chunk::Start { cached });
            }
            while place < now.next {
                let trouble = manner.trouble.filter(|t| t.at == place);
                if trouble.is_some_and(|t| t.fault == Fault::StreamCut) {
                    yield Err(Error::from(ErrorKind::ConnectionAborted));
                    return;
                }
                if trouble.is_some_and(|t| t.fault == Fault::ChunkSwap) && place + 1 < job.count {
                    // Nothing is sent until the later of the two is there to go first.
                    if !reaches(&mut follow, place + 2).await {
                        return;
                    }
                    yield write(job.token(place + 1));
                    yield write(job.token(place));
                    place += 2;
                    continue;
                }
                let copies = match trouble.map(|t| t.fault) {
                    Some(Fault::ChunkDouble) => 2,
                    Some(Fault::ChunkDrop) => 0,
                    _ => 1,
                };
                for _ in 0..copies {
                    yield write(job.token(place));
                }
                place += 1;
            }
            if place >= job.count && now.over {
                yield write(job.end());
                return;
            }
            if now.over {
                return;
            }
            if timeout(manner.beat, follow.changed()).await.is_err() {
                yield write(Chunk::Beat);
            }
        }
    }
}

/// Waits until a token was made, unless the answer ends before.
async fn reaches(follow: &mut watch::Receiver<super::job::Progress>, place: u64) -> bool {
    let there = follow.wait_for(|p| p.next >= place || p.over).await;
    there.is_ok_and(|p| p.next >= place)
}

fn event(request: &RequestId, attempt: u32, chunk: Chunk) -> Result<Bytes, Error> {
    let envelope = Envelope {
        request: request.clone(),
        attempt,
        chunk,
    };
    let data = serde_json::to_string(&envelope)?;
    Ok(Bytes::from(format!("data: {data}\n\n")))
}
