//! Bodies of upstreams' responses.

use super::Connection;
use super::connections::Watch;
use bytes::{Bytes, BytesMut};
use http::Response;
use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Body;
use std::error::Error;
use std::fmt;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// How often the connection of a response without a length is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A response body, whose last frame is an error unless it is complete.
pub type ResponseBody = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;

/// A response ended with its connection, and its upstream does not run any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnconfirmedEnd;

impl fmt::Display for UnconfirmedEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a response without a length ended together with its upstream")
    }
}

impl Error for UnconfirmedEnd {}

/// Whether only the end of the connection ends a response.
///
/// A transfer coding overrides the length, and delimits the body only if `chunked` is the last one.
pub(super) fn is_unframed(response: &Response<ResponseBody>) -> bool {
    let headers = response.headers();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let is_framed = match codings {
        Some(codings) => is_chunked(codings),
        None => headers.contains_key(CONTENT_LENGTH),
    };
    !is_framed && !response.body().is_end_stream()
}

fn is_chunked(codings: &HeaderValue) -> bool {
    let last = codings
        .to_str()
        .ok()
        .and_then(|text| text.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// A body that ends with an error unless the upstream was running when its connection ended.
///
/// The caller may read slowly, so that the end is noticed beside the body, before another process may run there.
pub(super) fn confirm_end(
    mut body: ResponseBody,
    watch: Watch,
    is_running: impl Future<Output = bool> + Send + 'static,
) -> ResponseBody {
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
            yield Err(UnconfirmedEnd.into());
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
pub async fn collect(
    mut body: ResponseBody,
    limit: usize,
) -> Result<Option<Bytes>, Box<dyn Error + Send + Sync>> {
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
