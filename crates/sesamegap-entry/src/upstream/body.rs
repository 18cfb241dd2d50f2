//! Bodies of upstreams' responses.

use super::Connection;
use super::connections::Watch;
use bytes::{Bytes, BytesMut};
use http::Response;
use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use smol_str::{SmolStr, format_smolstr};
use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// How often the connection of a response without a length is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The frames of a response, the last one an error unless it is complete.
type Frames = UnsyncBoxBody<Bytes, BrokenBody>;

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
}

impl fmt::Display for Delimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LastChunk => "last chunk",
            Self::Length => "length",
            Self::Connection => "end of the connection, upstream running",
        })
    }
}

/// A response body, whose last frame is an error unless it is complete.
#[derive(Debug)]
pub struct ResponseBody {
    frames: Frames,
    /// What shows its end, once the connection that bears it is known.
    delimiter: Delimiter,
}

impl ResponseBody {
    /// The body of a response as its connection brings it.
    pub(super) fn of<B>(response: Response<B>) -> Response<Self>
    where
        B: Body<Data = Bytes, Error: fmt::Display> + Send + 'static,
    {
        let delimiter = delimiter(&response);
        response.map(|body| Self {
            frames: body.map_err(broken).boxed_unsync(),
            delimiter,
        })
    }

    /// What shows that it is complete.
    pub fn delimiter(&self) -> Delimiter {
        self.delimiter
    }

    /// A body that ends with an error unless the upstream was running when its connection ended.
    ///
    /// The caller may read slowly, so that the end is noticed beside the body, before another process may run there.
    pub(super) fn confirm_end(
        self,
        watch: Watch,
        is_running: impl Future<Output = bool> + Send + 'static,
    ) -> Self {
        Self {
            frames: confirm_end(self.frames, watch, is_running),
            ..self
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.frames).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.frames.size_hint()
    }
}

/// Why a response is incomplete whose upstream was not found running at its end.
const UNCONFIRMED: BrokenBody = BrokenBody(SmolStr::new_static(
    "a response without a length ended together with its upstream",
));

/// What ends a response.
///
/// A transfer coding overrides the length, and delimits the body only if `chunked` is the last one.
fn delimiter<B: Body>(response: &Response<B>) -> Delimiter {
    let headers = response.headers();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    match codings {
        Some(codings) if is_chunked(codings) => Delimiter::LastChunk,
        None if headers.contains_key(CONTENT_LENGTH) => Delimiter::Length,
        _ if response.body().is_end_stream() => Delimiter::Length,
        _ => Delimiter::Connection,
    }
}

fn broken(error: impl fmt::Display) -> BrokenBody {
    BrokenBody(format_smolstr!("{error}"))
}

fn is_chunked(codings: &HeaderValue) -> bool {
    let last = codings
        .to_str()
        .ok()
        .and_then(|text| text.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

fn confirm_end(
    mut body: Frames,
    watch: Watch,
    is_running: impl Future<Output = bool> + Send + 'static,
) -> Frames {
    let (ended, on_end) = oneshot::channel::<()>();
    let (verdict, on_verdict) = oneshot::channel();
    let watching = tokio::spawn(async move {
        tokio::select! {
            _ = on_end => {}
            () = until_ended(&watch) => {}
        }
        _ = verdict.send(is_running.await);
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
        if !on_verdict.await.unwrap_or(false) {
            yield Err(UNCONFIRMED);
        }
    };
    StreamBody::new(frames).boxed_unsync()
}

async fn until_ended(watch: &Watch) {
    while watch.look() {
        sleep(LOOK_INTERVAL).await;
    }
}

/// Reads a body of at most `limit` bytes to its end; `None` if it is longer.
///
/// # Errors
/// If the body is incomplete.
pub async fn collect(mut body: ResponseBody, limit: usize) -> Result<Option<Bytes>, BrokenBody> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limit {
            return Ok(None);
        }
    }
    Ok(Some(bytes.freeze()))
}
