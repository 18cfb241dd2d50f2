//! Server-sent events in the shape that `OpenAI` client libraries read.

use super::reply::usage;
use crate::router::streams::{Answer, End, Shape};
use serde_json::{Value, json};
use sesamegap_wire::ModelId;

/// A comment, which client libraries skip.
pub const BEAT: &str = ": still at work\n\n";

/// Ends a whole answer.
const DONE: &str = "data: [DONE]\n\n";

/// The fields that every document about an answer carries.
pub fn head(answer: &Answer, chunk: bool) -> Value {
    let object = match (answer.head.shape, chunk) {
        (Shape::Chat, true) => "chat.completion.chunk",
        (Shape::Chat, false) => "chat.completion",
        _ => "text_completion",
    };
    json!({
        "id": answer.head.request.to_string(),
        "object": object,
        "created": answer.head.created,
        "model": answer.head.model.as_ref().map(ModelId::as_str),
    })
}

/// The first event, which names the speaker.
pub fn opening(answer: &Answer) -> String {
    if answer.head.shape != Shape::Chat {
        return BEAT.to_owned();
    }
    let delta = json!({ "role": "assistant", "content": "" });
    event(&chunk(answer, &delta, None), None)
}

/// Text whose last token has the given place.
pub fn text(answer: &Answer, text: &str, last: u64) -> String {
    let delta = json!({ "content": text });
    event(&chunk(answer, &delta, None), Some(last))
}

/// The end: a finish and `[DONE]`, or the explicit error event.
pub fn end(answer: &Answer, end: &End) -> String {
    match end {
        End::Failed(error) => event(&error.body(), None),
        End::Whole | End::Reply(_) => {
            let mut last = chunk(answer, &json!({}), Some("stop"));
            last["usage"] = usage(answer);
            event(&last, None) + DONE
        }
    }
}

fn chunk(answer: &Answer, delta: &Value, finish: Option<&str>) -> Value {
    let mut body = head(answer, true);
    let choice = if answer.head.shape == Shape::Chat {
        json!({ "index": 0, "delta": delta, "finish_reason": finish })
    } else {
        let text = delta["content"].as_str().unwrap_or_default();
        json!({ "index": 0, "text": text, "finish_reason": finish, "logprobs": null })
    };
    body["choices"] = json!([choice]);
    body
}

fn event(data: &Value, id: Option<u64>) -> String {
    match id {
        Some(id) => format!("id: {id}\ndata: {data}\n\n"),
        None => format!("data: {data}\n\n"),
    }
}
