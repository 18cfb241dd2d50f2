//! The log service: named streams, appended in batches, kept for a limited time.
//!
//! Its protocol is that of `sesamegap_platform::log::frame`. Above the rate limit an append is
//! refused with status 429, which promises that nothing was taken.

use crate::faults::Fault;
use crate::host::{Host, MAX_BODY};
use crate::plan::PlatformLimits;
use crate::rate::Rate;
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::{Data, Path, Query};
use poem::{Body, EndpointExt, Request, Response, Route, handler};
use serde::Deserialize;
use sesamegap_platform::log::frame::{Append, Appended, Expired, PageFrame};
use sesamegap_platform::{Page, Record};
use sesamegap_wire::{Offset, StreamId, codec};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at};

/// Records in one page at most.
const PAGE: usize = 512;

/// Bytes of records in one page, beyond which no further record is added.
const PAGE_BYTES: usize = 1 << 20;

/// Longest wait of one read.
const MAX_WAIT: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<(Instant, Record)>,
}

impl Stream {
    fn end(&self) -> Offset {
        Offset(self.oldest + self.records.len() as u64)
    }

    fn expire(&mut self, retention: Duration) {
        let old = |kept: &(Instant, Record)| kept.0.elapsed() > retention;
        while self.records.front().is_some_and(old) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    fn page(&self, from: Offset) -> Result<Page, Expired> {
        if from.0 < self.oldest {
            let oldest = Offset(self.oldest);
            return Err(Expired { oldest });
        }
        let skip = usize::try_from(from.0 - self.oldest).unwrap_or(usize::MAX);
        let mut records: Vec<Record> = Vec::new();
        let mut bytes = 0;
        for (_, record) in self.records.iter().skip(skip).take(PAGE) {
            bytes += record.body.len();
            records.push(record.clone());
            if bytes > PAGE_BYTES {
                break;
            }
        }
        let next = records.last().map_or(from, |last| last.offset.next());
        let end = self.end();
        Ok(Page { records, next, end })
    }
}

/// The log service.
#[derive(Debug)]
pub(crate) struct LogStandin {
    host: Arc<Host>,
    limits: PlatformLimits,
    rate: Rate,
    streams: Mutex<HashMap<StreamId, Stream>>,
    grown: Notify,
}

impl LogStandin {
    pub(crate) fn new(host: Arc<Host>, limits: PlatformLimits) -> Arc<Self> {
        Arc::new(Self {
            host,
            rate: Rate::new(limits.appends),
            limits,
            streams: Mutex::default(),
            grown: Notify::new(),
        })
    }

    pub(crate) fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// Adds the log to what a machine serves.
    pub(crate) fn mount(self: &Arc<Self>, route: Route, door: &Arc<Host>) -> Route {
        let stream = poem::get(read)
            .post(append)
            .data(Arc::clone(self))
            .data(Arc::clone(door));
        route.at("/streams/:name", stream)
    }

    /// Drops all records of a stream before an offset, as if retention had.
    pub(crate) fn expire(&self, stream: &StreamId, before: Offset) {
        let mut streams = self.lock();
        let stream = streams.entry(stream.clone()).or_default();
        while stream.oldest < before.0 && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    fn add(&self, name: StreamId, bodies: Vec<Bytes>) -> Offset {
        let first = {
            let mut streams = self.lock();
            let stream = streams.entry(name).or_default();
            stream.expire(self.limits.retention);
            let first = stream.end();
            for body in bodies {
                let record = Record {
                    offset: stream.end(),
                    time_ms: now_ms(),
                    body,
                };
                stream.records.push_back((Instant::now(), record));
            }
            first
        };
        self.grown.notify_waiters();
        first
    }

    async fn page(&self, name: &StreamId, from: Offset, wait: Duration) -> Result<Page, Expired> {
        let until = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            let page = self.now(name, from)?;
            if !page.records.is_empty() || timeout_at(until, grown).await.is_err() {
                return Ok(page);
            }
        }
    }

    fn now(&self, name: &StreamId, from: Offset) -> Result<Page, Expired> {
        let mut streams = self.lock();
        let Some(stream) = streams.get_mut(name) else {
            return Stream::default().page(from);
        };
        stream.expire(self.limits.retention);
        stream.page(from)
    }

    /// Lets the faults of the log hit a request before it is looked at.
    async fn meet(&self, door: &Host, request: &Request) {
        if self.host.gate.is_down() {
            lose_answer(door, request).await;
        }
        if self.host.switches.take(Fault::LogSlow).is_some() {
            sleep(self.limits.slow).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<StreamId, Stream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

fn packed<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    match codec::encode(value) {
        Ok(bytes) => Response::builder().status(status).body(bytes),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

#[handler]
async fn append(
    Data(log): Data<&Arc<LogStandin>>,
    Data(door): Data<&Arc<Host>>,
    Path(name): Path<StreamId>,
    request: &Request,
    body: Body,
) -> Response {
    log.meet(door, request).await;
    let Ok(bytes) = body.into_bytes_limit(MAX_BODY).await else {
        return StatusCode::BAD_REQUEST.into();
    };
    let Ok(append) = codec::decode::<Append>(&bytes) else {
        return StatusCode::BAD_REQUEST.into();
    };
    if append.records.is_empty() {
        return StatusCode::BAD_REQUEST.into();
    }
    if !log.rate.allows() {
        return StatusCode::TOO_MANY_REQUESTS.into();
    }
    let bodies = append.records.into_iter().map(|body| body.0).collect();
    let offset = log.add(name, bodies);
    if log.host.switches.take(Fault::LogLostAnswer).is_some() {
        lose_answer(door, request).await;
    }
    packed(StatusCode::OK, &Appended { offset })
}

/// Breaks the request's connection in place of an answer.
pub(crate) async fn lose_answer(host: &Host, request: &Request) {
    if let Some(peer) = request.remote_addr().as_socket_addr() {
        host.gate.cut_from(*peer);
    }
    // The connection's task ends here, with the answer unsent.
    std::future::pending::<()>().await;
}

#[derive(Debug, Deserialize)]
struct From {
    from: u64,
    #[serde(default)]
    wait: u64,
}

#[handler]
async fn read(
    Data(log): Data<&Arc<LogStandin>>,
    Data(door): Data<&Arc<Host>>,
    Path(name): Path<StreamId>,
    Query(ask): Query<From>,
    request: &Request,
) -> Response {
    log.meet(door, request).await;
    let wait = Duration::from_millis(ask.wait);
    match log.page(&name, Offset(ask.from), wait).await {
        Ok(page) => packed(StatusCode::OK, &PageFrame::from(page)),
        Err(expired) => packed(StatusCode::GONE, &expired),
    }
}
