//! Upstreams that send oversized or invalid responses.

use futures_util::StreamExt;
use sesamegap_http::Settings;
use sesamegap_upstream::{Engine, Fault, HttpEngine, HttpStore, KvStore, Ran, UpstreamError};
use sesamegap_wire::{BlockKey, RequestId, Seq};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a server that answers one request with a head and then repeats a text; returns its URL.
async fn endless_server(head: &'static str, text: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _some = tcp.read(&mut request).await.unwrap();
        tcp.write_all(head.as_bytes()).await.unwrap();
        let repeated = text.repeat(100);
        while tcp.write_all(repeated.as_bytes()).await.is_ok() {}
    });
    url
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

async fn stream_error(text: &'static str) -> UpstreamError {
    let settings = Settings::builder().max_event_bytes(4096).build();
    let engine = HttpEngine::new(endless_server(STREAM, text).await, settings);
    let request: RequestId = "vm-1~1~1".parse().unwrap();
    let mut stream = engine.resume(&request, 0, Seq(0)).await.unwrap();
    stream.next().await.unwrap().err().unwrap()
}

/// An engine sends a line or an event that never ends. A router that waits for the end would buffer
/// all of it in memory.
#[tokio::test]
async fn an_endless_event_exceeds_the_size_limit() {
    for text in ["data: x", "data: x\n", "data: x\r\n", ": note\r"] {
        let error = stream_error(text).await;
        assert_eq!((error.fault(), error.ran()), (Fault::Broken, Ran::Unknown));
    }
}

#[tokio::test]
async fn an_event_that_is_not_a_chunk_ends_the_stream() {
    let error = stream_error("data: {\"kind\":\"beat\"}\n\n").await;
    assert_eq!((error.fault(), error.ran()), (Fault::Broken, Ran::Unknown));
}

/// A store reports more keys than were queried.
#[tokio::test]
async fn a_held_count_is_limited_to_the_queried_keys() {
    let body = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"held\": 999}";
    let store = HttpStore::new(endless_server(body, " ").await, Settings::default());
    assert_eq!(store.held_prefix_len(&[BlockKey(1)]).await.unwrap(), 1);
}
