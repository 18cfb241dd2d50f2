//! Response bodies that own a guard.

use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body with a guard that is dropped with it; forwards the size hint of the inner body.
#[derive(Debug)]
struct GuardedBody<B, G> {
    body: Pin<Box<B>>,
    _guard: G,
}

/// Wraps a body so that `guard` is dropped when the body is.
pub fn guard_body<B, G>(body: B, guard: G) -> UnsyncBoxBody<B::Data, B::Error>
where
    B: Body + Send + 'static,
    G: Send + Unpin + 'static,
{
    UnsyncBoxBody::new(GuardedBody {
        body: Box::pin(body),
        _guard: guard,
    })
}

impl<B: Body, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
