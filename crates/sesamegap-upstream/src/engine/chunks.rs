//! The stream of chunks of one response, read from one connection.
//!
//! Each event is checked to belong to the attempt before it is passed on. An event of another
//! attempt means that the two ends of the connection disagree about the request in progress, so the
//! pool discards this connection and all others. A stream is complete only with [`Chunk::End`].

use super::ChunkStream;
use super::decoder::ChunkDecoder;
use crate::error::UpstreamError;
use async_stream::try_stream;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use reqwest::Response;
use sesamegap_http::sse::EventSizeLimit;
use sesamegap_http::{Failure, Pool};
use sesamegap_wire::engine::Chunk;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait for the end of the body after the last event, so that the connection can be reused.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(20);

/// Returns the chunks of one attempt's response.
pub(super) fn stream(pool: Pool, response: Response, decoder: ChunkDecoder) -> ChunkStream {
    let stream = try_stream! {
        let bytes = limit_event_size(response, pool.settings().max_event_bytes());
        let mut events = Box::pin(bytes.eventsource());
        loop {
            let event = pool.with_read_timeout(events.next()).await?;
            let event = event
                .ok_or_else(|| broken_stream(&pool, "the stream ended before the answer"))?;
            let event = event.map_err(|e| broken_stream(&pool, &e.to_string()))?;
            let chunk = decoder.decode(&event.data).inspect_err(|_| pool.discard_connections())?;
            if let Chunk::End { .. } = chunk {
                // A connection can be reused only if its body was read to the end.
                let _closed = timeout(BODY_END_TIMEOUT, events.next()).await;
                yield chunk;
                break;
            }
            yield chunk;
        }
    };
    stream.boxed()
}

fn broken_stream(pool: &Pool, message: &str) -> UpstreamError {
    pool.discard_connections();
    Failure::Broken(message.to_owned()).into()
}

/// Returns the bytes of a body, ending with an error if an event exceeds the size limit.
fn limit_event_size(
    response: Response,
    limit: usize,
) -> impl Stream<Item = Result<Bytes, Failure>> {
    let mut size_limit = EventSizeLimit::new(limit);
    response.bytes_stream().map(move |chunk| match chunk {
        Ok(bytes) if size_limit.allows(&bytes) => Ok(bytes),
        Ok(_) => Err(Failure::Oversized(limit)),
        Err(error) => Err(Failure::Broken(error.to_string())),
    })
}
