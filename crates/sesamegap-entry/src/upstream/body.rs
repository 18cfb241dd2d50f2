//! Bodies of upstreams' responses.
//!
//! The end of a body, whole or broken off, is a value that stays: whoever reads on after it gets the same one again. A read that
//! is dropped, or whose result is, therefore cannot turn a response that broke off into one that ended.

use super::Connection;
use super::connections::Watch;
use bytes::Bytes;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use sesamegap_http::is_chunked;
use sesamegap_policy::routing::timeouts::may_be_cut;
use smol_str::{SmolStr, format_smolstr};
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// How often the connection of a response without a length is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The frames of a response, the last one an error unless it is complete.
type Frames = UnsyncBoxBody<Bytes, BrokenBody>;

/// The time that an upstream was given for a request.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimit {
    /// When the request was sent.
    pub sent: Instant,
    /// When the time is up.
    pub until: Instant,
}

impl TimeLimit {
    /// Whether an answer that ended at this moment may have been cut because the time was up.
    fn may_have_cut(self, ended: Instant) -> bool {
        let left = self.until.saturating_duration_since(ended);
        may_be_cut(left, self.until.saturating_duration_since(self.sent))
    }
}

/// Why a response is incomplete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenBody(SmolStr);

impl fmt::Display for BrokenBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for BrokenBody {}

/// What shows that a response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delimiter {
    /// Its last chunk.
    LastChunk,
    /// Its length.
    Length,
    /// The end of its connection, while its upstream went on.
    Connection,
    /// The end of its connection at a gateway, while its upstream went on.
    GatewayConnection,
}

impl fmt::Display for Delimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LastChunk => "last chunk",
            Self::Length => "length",
            Self::Connection => "end of the connection, upstream running",
            Self::GatewayConnection => "end of the connection at a gateway, upstream running",
        })
    }
}

/// What a read of a body brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// Bytes.
    Data(Bytes),
    /// Its end; it is complete.
    End(Delimiter),
}

/// A response body.
#[derive(Debug)]
pub struct ResponseBody {
    state: State,
    /// What shows that it is complete, once its frames have ended.
    delimiter: Delimiter,
}

#[derive(Debug)]
enum State {
    Running(Frames),
    Whole,
    Broken(BrokenBody),
}

impl ResponseBody {
    /// The body of a response as its connection brings it.
    pub(super) fn of<B>(response: Response<B>) -> Response<Self>
    where
        B: Body<Data = Bytes, Error: fmt::Display> + Send + 'static,
    {
        let delimiter = delimiter(&response);
        response.map(|body| Self {
            state: State::Running(body.map_err(broken).boxed_unsync()),
            delimiter,
        })
    }

    /// Reads on. Nothing is lost if the future is dropped.
    ///
    /// # Errors
    /// If the response broke off, at this and each later read.
    pub async fn read(&mut self) -> Result<Part, BrokenBody> {
        while let Some(frame) = self.frame().await {
            if let Ok(data) = frame?.into_data() {
                return Ok(Part::Data(data));
            }
        }
        Ok(Part::End(self.delimiter))
    }

    /// What ends it.
    pub fn delimiter(&self) -> Delimiter {
        self.delimiter
    }

    /// Records that a gateway framed it anew, and confirmed its end.
    pub(super) fn set_confirmed(&mut self) {
        self.delimiter = Delimiter::GatewayConnection;
    }

    /// A body that breaks off unless the upstream was running when its connection ended, well before the `limit` at which
    /// the upstream stops work on the request.
    ///
    /// The caller may read slowly, so that the end is noticed beside the body, before another process may run there.
    pub(super) fn confirm_end(
        self,
        watch: Watch,
        limit: TimeLimit,
        is_running: impl Future<Output = bool> + Send + 'static,
    ) -> Self {
        let state = match self.state {
            State::Running(frames) => State::Running(confirm_end(frames, watch, limit, is_running)),
            ended => ended,
        };
        Self { state, ..self }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        let frames = match &mut self.state {
            State::Running(frames) => frames,
            State::Whole => return Poll::Ready(None),
            State::Broken(why) => return Poll::Ready(Some(Err(why.clone()))),
        };
        let frame = ready!(Pin::new(frames).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(why)) => self.state = State::Broken(why.clone()),
            None => self.state = State::Whole,
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match &self.state {
            State::Running(frames) => frames.is_end_stream(),
            State::Whole => true,
            State::Broken(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Running(frames) => frames.size_hint(),
            State::Whole => SizeHint::with_exact(0),
            State::Broken(_) => SizeHint::default(),
        }
    }
}

/// Why a response is incomplete whose upstream was not found running at its end.
const UNCONFIRMED: BrokenBody = BrokenBody(SmolStr::new_static(
    "a response without a length ended together with its upstream",
));

/// Why a response is incomplete that its upstream may have cut.
const LIMIT_REACHED: BrokenBody = BrokenBody(SmolStr::new_static(
    "a response without a length ended at the time limit of its request",
));

/// What ends a response.
///
/// A transfer coding overrides the length, and delimits the body only if `chunked` is the last one.
fn delimiter<B: Body>(response: &Response<B>) -> Delimiter {
    let headers = response.headers();
    match is_chunked(headers) {
        Some(true) => Delimiter::LastChunk,
        None if headers.contains_key(CONTENT_LENGTH) => Delimiter::Length,
        _ if response.body().is_end_stream() => Delimiter::Length,
        _ => Delimiter::Connection,
    }
}

fn broken(error: impl fmt::Display) -> BrokenBody {
    BrokenBody(format_smolstr!("{error}"))
}

fn confirm_end(
    mut body: Frames,
    watch: Watch,
    limit: TimeLimit,
    is_running: impl Future<Output = bool> + Send + 'static,
) -> Frames {
    let (ended, on_end) = oneshot::channel::<()>();
    let (verdict, on_verdict) = oneshot::channel();
    let watching = tokio::spawn(async move {
        tokio::select! {
            _ = on_end => {}
            () = until_ended(&watch) => {}
        }
        _ = verdict.send(if limit.may_have_cut(Instant::now()) {
            Err(LIMIT_REACHED)
        } else if is_running.await {
            Ok(())
        } else {
            Err(UNCONFIRMED)
        });
    });
    let watching = Connection(watching);
    let frames = async_stream::stream! {
        let _watching = watching;
        while let Some(frame) = body.frame().await {
            let is_last = frame.is_err();
            yield frame;
            if is_last {
                return;
            }
        }
        _ = ended.send(());
        if let Err(why) = on_verdict.await.unwrap_or(Err(UNCONFIRMED)) {
            yield Err(why);
        }
    };
    StreamBody::new(frames).boxed_unsync()
}

async fn until_ended(watch: &Watch) {
    while watch.look() {
        sleep(LOOK_INTERVAL).await;
    }
}
