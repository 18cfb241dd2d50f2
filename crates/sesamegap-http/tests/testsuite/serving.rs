//! The close of callers' connections.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use sesamegap_http::serving::{self, Bounds, CloseReason, ConnectionPolicy, guard_body};
use std::io::{Read, Write};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout that expires only if something hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Body size far above the socket buffers of a connection.
const LARGE_BODY_BYTES: usize = 32 << 20;

struct IdlePolicy {
    idle: Duration,
}

impl ConnectionPolicy for IdlePolicy {
    fn bounds(&self) -> Bounds {
        Bounds {
            head: Duration::from_secs(10),
            idle: self.idle,
        }
    }

    fn max_head_bytes(&self) -> usize {
        8 << 10
    }

    fn closing_response(&self) -> Bytes {
        Bytes::from_static(b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n")
    }
}

/// Connects a caller that has sent a request and reads nothing; returns it and the server's stream.
async fn connect_caller() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let mut caller = std::net::TcpStream::connect(at).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: router\r\n\r\n")
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    (caller, stream)
}

async fn answer_large(
    _request: http::Request<hyper::body::Incoming>,
    guard: serving::RequestGuard,
) -> Response<UnsyncBoxBody<Bytes, std::convert::Infallible>> {
    let body = Full::new(Bytes::from(vec![b'x'; LARGE_BODY_BYTES]));
    Response::new(guard_body(body, guard))
}

/// A caller requests a large response and does not read it. The body was handed to hyper at once,
/// so the connection counts as idle. Waiting until all bytes are sent would keep the connection,
/// and its share of the connection limit, forever.
#[tokio::test]
async fn a_caller_that_does_not_read_cannot_delay_the_idle_close() {
    let (caller, stream) = connect_caller().await;
    let policy = IdlePolicy {
        idle: Duration::from_millis(100),
    };
    let served = serving::serve(stream, &policy, answer_large, std::future::pending());
    let ended = timeout(HANG_TIMEOUT, served)
        .await
        .expect("the connection ends");
    assert!(matches!(ended, CloseReason::TimedOut(_)), "{ended:?}");
    drop(caller);
}

/// A slow caller reads a large response while the server stops. For the server the response is
/// complete and the connection idle; closing it then would truncate the response.
#[tokio::test]
async fn a_stop_waits_for_the_last_bytes_to_a_slow_caller() {
    let (mut caller, stream) = connect_caller().await;
    let policy = IdlePolicy { idle: HANG_TIMEOUT };
    // The caller starts reading only after the server has checked the connection several times.
    let read = tokio::task::spawn_blocking(move || {
        std::thread::sleep(Duration::from_millis(500));
        let mut got = Vec::new();
        drop(caller.read_to_end(&mut got));
        let head = got.windows(4).position(|four| four == b"\r\n\r\n");
        let body = &got[head.unwrap() + 4..];
        body.iter().take_while(|byte| **byte == b'x').count()
    });
    let ended = serving::serve(stream, &policy, answer_large, std::future::ready(())).await;
    assert!(matches!(ended, CloseReason::Stopped), "{ended:?}");
    assert_eq!(read.await.unwrap(), LARGE_BODY_BYTES);
}
