//! Sends an answer to its caller, whole or as it comes.
//!
//! The status line is sent once an engine has taken the request, so that a refusal still gets its
//! true status. After that an answer that cannot be finished ends with an explicit error event.

use super::admit::name;
use super::{ApiError, Shared, sse};
use crate::router::streams::{Answer, End, Item, Reader, Shape};
use async_stream::stream;
use bytes::Bytes;
use poem::http::StatusCode;
use poem::{Body, IntoResponse, Response};
use serde_json::{Value, json};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Silence on a caller's stream after which a comment shows that the router is still there.
const BEAT: Duration = Duration::from_secs(5);

/// How a caller wants an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// As one JSON document.
    Whole,
    /// As server-sent events.
    Events,
}

/// Replies from the start of an answer.
pub async fn response(core: &Shared, reader: Reader, form: Form) -> Result<Response, ApiError> {
    core.telemetry.asked();
    let request = reader.answer().head.request.clone();
    let service = reader.answer().head.shape == Shape::Service;
    let mut response = if form == Form::Whole || service {
        whole(reader).await
    } else {
        events(reader, 0).await
    };
    name(&mut response, &request);
    Ok(response)
}

/// Replies to a caller that comes back for its answer.
pub async fn resume_response(answer: &Arc<Answer>, from: u64, form: Form) -> Response {
    let reader = |from| answer.read(from);
    let mut response = match form {
        Form::Whole => whole(reader(0)).await,
        Form::Events if answer.head.shape == Shape::Service => whole(reader(0)).await,
        Form::Events => events(reader(from), from).await,
    };
    name(&mut response, &answer.head.request);
    response
}

async fn whole(mut reader: Reader) -> Response {
    let mut text = String::new();
    loop {
        match reader.next().await {
            Item::Started => {}
            Item::Text(more, _) => text.push_str(&more),
            Item::End(End::Whole) => return document(reader.answer(), &text),
            Item::End(End::Reply(reply)) => return service(reply),
            Item::End(End::Failed(error)) => return error.into_response(),
        }
    }
}

fn service(reply: sesamegap_upstream::Reply) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    if let Some(content) = &reply.content_type {
        response = response.content_type(content.as_str());
    }
    response.body(reply.body)
}

fn document(answer: &Answer, text: &str) -> Response {
    let choice = if answer.head.shape == Shape::Chat {
        json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": "stop", "logprobs": null })
    };
    let mut body = sse::head(answer, false);
    body["choices"] = json!([choice]);
    body["usage"] = usage(answer);
    Response::builder()
        .content_type("application/json")
        .body(body.to_string())
}

/// Tokens of prompt and answer, with those found in the engine's cache.
pub fn usage(answer: &Answer) -> Value {
    let (cached, count) = answer.usage();
    let prompt = answer.head.prompt.0;
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": count,
        "total_tokens": prompt + count,
        "prompt_tokens_details": { "cached_tokens": cached.0 },
    })
}

async fn events(mut reader: Reader, from: u64) -> Response {
    let first = reader.next().await;
    if let Item::End(End::Failed(error)) = &first
        && from == 0
    {
        return error.clone().into_response();
    }
    let body = stream! {
        yield line(sse::opening(reader.answer()));
        let mut item = first;
        loop {
            match item {
                Item::Started => {}
                Item::Text(text, last) => yield line(sse::text(reader.answer(), &text, last)),
                Item::End(end) => {
                    yield line(sse::end(reader.answer(), &end));
                    return;
                }
            }
            item = loop {
                match timeout(BEAT, reader.next()).await {
                    Ok(item) => break item,
                    Err(_) => yield line(sse::BEAT.to_owned()),
                }
            };
        }
    };
    Response::builder()
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .body(Body::from_bytes_stream(body))
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "the body's stream has an error type"
)]
fn line(text: String) -> Result<Bytes, io::Error> {
    Ok(Bytes::from(text))
}
