//! HTTP client of the log, with the messages of [`frame`](super::frame).
//!
//! An append is sent once. If its response is lost, the error reports that the append may have
//! taken effect; the writer reads the stream and looks for the id that it put into its record.

use super::frame::{Append, Appended, Body, Expired, PageFrame};
use super::{Log, Page};
use crate::client::check_status;
use crate::error::{PlatformError, Reason};
use bytes::Bytes;
use futures_util::future::{BoxFuture, FutureExt};
use reqwest::{Method, StatusCode};
use sesamegap_http::{Pool, Settings};
use sesamegap_wire::{Offset, StreamId, codec};
use std::time::Duration;

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    pool: Pool,
}

impl HttpLog {
    /// Creates a client of the log at `http://IP:PORT`.
    pub fn new(base: impl Into<String>, settings: Settings) -> Self {
        Self {
            pool: Pool::new(base, settings),
        }
    }

    async fn write(&self, stream: &StreamId, records: Vec<Bytes>) -> Result<Offset, PlatformError> {
        let records = records.into_iter().map(Body).collect();
        let body = codec::encode(&Append { records })
            .map_err(|e| PlatformError::new(Reason::Refused, e.to_string()))?;
        let path = format!("/streams/{stream}");
        let request = self.pool.request(Method::POST, &path).body(body);
        let sent = self.pool.send(request, Duration::ZERO).await;
        let response = check_status(sent?)?;
        let answer = self.pool.read_body(response).await?;
        let appended: Appended = codec::decode(&answer).map_err(|e| invalid_response(&e))?;
        Ok(appended.offset)
    }

    async fn fetch(
        &self,
        stream: &StreamId,
        from: Offset,
        wait: Duration,
    ) -> Result<Page, PlatformError> {
        let path = format!("/streams/{stream}?from={from}&wait={}", wait.as_millis());
        let request = self.pool.request(Method::GET, &path);
        let sent = self.pool.send(request, wait).await?;
        let expired = sent.status() == StatusCode::GONE;
        let response = if expired { sent } else { check_status(sent)? };
        let answer = self.pool.read_body(response).await?;
        if expired {
            let body: Expired = codec::decode(&answer).map_err(|e| invalid_response(&e))?;
            let detail = format!("{stream} is kept from offset {} on", body.oldest);
            return Err(PlatformError::new(Reason::Expired(body.oldest), detail));
        }
        let frame: PageFrame = codec::decode(&answer).map_err(|e| invalid_response(&e))?;
        Ok(frame.into())
    }
}

/// An error for a response that cannot be decoded; the call may have taken effect.
fn invalid_response(error: &codec::CodecError) -> PlatformError {
    PlatformError::new(Reason::Unknown, error.to_string())
}

impl Log for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a StreamId,
        records: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, PlatformError>> {
        self.write(stream, records).boxed()
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamId,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Page, PlatformError>> {
        self.fetch(stream, from, wait).boxed()
    }
}
