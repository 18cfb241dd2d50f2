//! The chunks of one answer, read from one connection.
//!
//! Each event is matched to the attempt before it is handed on. An answer to another attempt means
//! that the two ends of the connection disagree about what was asked, so neither this connection
//! nor its neighbours are used again. A stream ends well only with [`Chunk::End`].

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

/// Time in which the end of a body follows the last event, so that its connection can be kept.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(20);

/// The chunks of one attempt's answer.
pub(super) fn stream(pool: Pool, response: Response, decoder: ChunkDecoder) -> ChunkStream {
    let stream = try_stream! {
        let bytes = limit_event_size(response, pool.settings().max_event_bytes());
        let mut events = Box::pin(bytes.eventsource());
        loop {
            let event = pool.with_read_timeout(events.next()).await?;
            let event = event.ok_or_else(|| broken_stream(&pool, "the stream ended before the answer"))?;
            let event = event.map_err(|e| broken_stream(&pool, &e.to_string()))?;
            let chunk = decoder.decode(&event.data).inspect_err(|_| pool.discard_connections())?;
            if let Chunk::End { .. } = chunk {
                // A body read to its end leaves the connection fit for the next request.
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

/// The bytes of a body, ended with an error where one event grows too long.
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
