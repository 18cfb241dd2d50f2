//! Upstreams that send too much or the wrong thing.

use futures_util::StreamExt;
use sesamegap_http::Settings;
use sesamegap_upstream::{Engine, Fault, HttpEngine, HttpStore, KvStore, Ran, UpstreamError};
use sesamegap_wire::{BlockKey, RequestId, Seq};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// An address where one request is answered with a head and then one text over and over.
async fn endless(head: &'static str, text: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut asked = [0; 1024];
        let _some = tcp.read(&mut asked).await.unwrap();
        tcp.write_all(head.as_bytes()).await.unwrap();
        let many = text.repeat(100);
        while tcp.write_all(many.as_bytes()).await.is_ok() {}
    });
    url
}

const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

async fn stream_error(text: &'static str) -> UpstreamError {
    let settings = Settings::builder().max_event_bytes(4096).build();
    let engine = HttpEngine::new(endless(STREAM, text).await, settings);
    let request: RequestId = "vm-1~1~1".parse().unwrap();
    let mut stream = engine.resume(&request, 0, Seq(0)).await.unwrap();
    stream.next().await.unwrap().err().unwrap()
}

/// An engine sends one line, or one event, that never ends. A router that waited for its end would
/// keep all of it in memory.
#[tokio::test]
async fn an_endless_event_is_cut_off() {
    for text in ["data: x", "data: x\n", "data: x\r\n", ": note\r"] {
        let error = stream_error(text).await;
        assert_eq!((error.fault(), error.ran()), (Fault::Broken, Ran::Unknown));
    }
}

#[tokio::test]
async fn an_event_that_is_no_chunk_ends_the_stream() {
    let error = stream_error("data: {\"kind\":\"beat\"}\n\n").await;
    assert_eq!((error.fault(), error.ran()), (Fault::Broken, Ran::Unknown));
}

/// A store claims to hold more than it was asked for.
#[tokio::test]
async fn a_store_cannot_hold_more_than_was_asked() {
    let body = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"held\": 999}";
    let store = HttpStore::new(endless(body, " ").await, Settings::default());
    assert_eq!(store.held_prefix_len(&[BlockKey(1)]).await.unwrap(), 1);
}
