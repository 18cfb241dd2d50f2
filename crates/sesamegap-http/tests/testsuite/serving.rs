//! Callers' connections and their ends.

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use sesamegap_http::serving::{self, Bounds, CloseReason, ConnectionPolicy, guard_body};
use std::io::{Read, Write};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A wait that ends only if something hangs.
const PATIENCE: Duration = Duration::from_secs(30);

/// Far more than the sockets of a connection hold.
const LARGE: usize = 32 << 20;

struct Short {
    idle: Duration,
}

impl ConnectionPolicy for Short {
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

/// A caller that has asked for a large answer and does not read, and the server's end.
async fn caller() -> (std::net::TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    let mut caller = std::net::TcpStream::connect(at).unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: router\r\n\r\n")
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    (caller, stream)
}

async fn large(
    _request: http::Request<hyper::body::Incoming>,
    busy: serving::RequestGuard,
) -> Response<UnsyncBoxBody<Bytes, std::convert::Infallible>> {
    let body = Full::new(Bytes::from(vec![b'x'; LARGE]));
    Response::new(guard_body(body, busy))
}

/// A caller asks for a large answer and does not read it. The answer was handed over whole, so the
/// connection counts as idle; waiting for its last bytes to go would hold it, and a place among
/// the connections, for good.
#[tokio::test]
async fn a_caller_that_does_not_read_cannot_hold_a_closed_connection() {
    let (caller, stream) = caller().await;
    let terms = Short {
        idle: Duration::from_millis(100),
    };
    let served = serving::serve(stream, &terms, large, std::future::pending());
    let ended = timeout(PATIENCE, served)
        .await
        .expect("the connection ends");
    assert!(matches!(ended, CloseReason::TimedOut(_)), "{ended:?}");
    drop(caller);
}

/// A caller on a slow line reads a large answer while the server stops. For the server the answer
/// is done, and the connection idle; closing it would cut the answer in its last part.
#[tokio::test]
async fn a_stop_waits_for_the_last_bytes_to_a_slow_caller() {
    let (mut caller, stream) = caller().await;
    let terms = Short { idle: PATIENCE };
    // The caller begins to read only after the server has looked several times.
    let read = tokio::task::spawn_blocking(move || {
        std::thread::sleep(Duration::from_millis(500));
        let mut got = Vec::new();
        drop(caller.read_to_end(&mut got));
        let head = got.windows(4).position(|four| four == b"\r\n\r\n");
        let body = &got[head.unwrap() + 4..];
        body.iter().take_while(|byte| **byte == b'x').count()
    });
    let ended = serving::serve(stream, &terms, large, std::future::ready(())).await;
    assert!(matches!(ended, CloseReason::Stopped), "{ended:?}");
    assert_eq!(read.await.unwrap(), LARGE);
}
