//! Reads an answer's stream as a client library of `OpenAI`'s interface does.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::Response;
use serde_json::Value;
use std::time::{Duration, Instant};

/// What came of one stream.
#[derive(Debug, Clone, Default)]
pub struct Received {
    /// The text so far.
    pub text: String,
    /// Time from sending to the first text.
    pub first: Option<Duration>,
    /// Prompt tokens found in the engine's cache.
    pub cached: u64,
    /// Last event id, from which a broken stream is taken up again.
    pub last: Option<String>,
    /// How it ended.
    pub end: Ending,
}

/// How a stream ended.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Ending {
    /// With `[DONE]` after a finish.
    Whole,
    /// With an explicit error event, whose code this is.
    Failed(String),
    /// Without either: the connection broke.
    #[default]
    Cut,
}

/// Longest wait for the next event; routers send a comment every few seconds.
const SILENCE: Duration = Duration::from_secs(20);

/// Reads a stream to its end, adding to what came before it broke.
pub async fn receive(response: Response, sent: Instant, mut so_far: Received) -> Received {
    let mut events = response.bytes_stream().eventsource();
    let mut finished = false;
    so_far.end = Ending::Cut;
    while let Ok(Some(Ok(event))) = tokio::time::timeout(SILENCE, events.next()).await {
        if event.data == "[DONE]" {
            if finished {
                so_far.end = Ending::Whole;
            }
            return so_far;
        }
        let Ok(data) = serde_json::from_str::<Value>(&event.data) else {
            return so_far;
        };
        if let Some(code) = data.pointer("/error/code").and_then(Value::as_str) {
            so_far.end = Ending::Failed(code.to_owned());
            return so_far;
        }
        take(&data, sent, &mut so_far);
        finished |= data.pointer("/choices/0/finish_reason") == Some(&Value::from("stop"));
        if !event.id.is_empty() {
            so_far.last = Some(event.id);
        }
    }
    so_far
}

fn take(data: &Value, sent: Instant, so_far: &mut Received) {
    let text = data.pointer("/choices/0/delta/content");
    if let Some(text) = text.and_then(Value::as_str).filter(|text| !text.is_empty()) {
        so_far.first.get_or_insert_with(|| sent.elapsed());
        so_far.text.push_str(text);
    }
    let cached = data.pointer("/usage/prompt_tokens_details/cached_tokens");
    if let Some(cached) = cached.and_then(Value::as_u64) {
        so_far.cached = cached;
    }
}
