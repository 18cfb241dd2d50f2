//! Replies of plain services whose worker ends within them.

use sesamegap_http::Settings;
use sesamegap_upstream::{Call, Fault, HttpWorker, PlainService, Ran, Reply, UpstreamError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ID: &str = "vm-1~1~1";

/// The outcome of a call to a worker that sends a head with `status`, `framing` and `body`, and closes the connection.
async fn call(status: u16, framing: &str, body: &str) -> Result<Reply, UpstreamError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let reply = format!("HTTP/1.1 {status} X\r\nsesamegap-request: {ID}\r\n{framing}\r\n{body}");
    tokio::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _some = tcp.read(&mut request).await.unwrap();
        tcp.write_all(reply.as_bytes()).await.unwrap();
        tcp.shutdown().await.unwrap();
    });
    let call = Call {
        request: ID.parse().unwrap(),
        method: "GET".into(),
        path: "/orders".to_owned(),
        content_type: None,
        body: bytes::Bytes::new(),
        idempotency_key: None,
        timeout: Duration::from_secs(5),
    };
    HttpWorker::new(url, Settings::default()).call(call).await
}

/// Guards against a half reply that is taken for whole since its worker ended, and its connection with it.
#[tokio::test]
async fn a_reply_that_ends_with_its_connection_is_not_whole() {
    for framing in [
        "",
        "content-type: text/plain\r\n",
        "transfer-encoding: chunked\r\n",
        "transfer-encoding: chunked, identity\r\n",
        "content-length: 40\r\n",
    ] {
        let body = if framing.ends_with("chunked\r\n") {
            "a\r\nfirst half\r\n"
        } else {
            "first half"
        };
        let error = call(200, framing, body).await.expect_err(framing);
        assert_eq!((error.fault(), error.ran()), (Fault::Broken, Ran::Unknown));
    }
}

#[tokio::test]
async fn a_reply_with_a_length_or_chunks_is_whole() {
    let chunks = "transfer-encoding: chunked\r\n";
    for (status, framing, body, expected) in [
        (200, "content-length: 5\r\n", "whole", "whole"),
        (200, "content-length: 0\r\n", "", ""),
        (200, chunks, "5\r\nwhole\r\n0\r\n\r\n", "whole"),
        (204, "", "", ""),
    ] {
        let reply = call(status, framing, body).await.unwrap();
        assert_eq!(reply.body, expected.as_bytes());
    }
}
