//! Reuse, replacement and discarding of pooled connections.

use crate::server::{Behavior, Server};
use bytes::Bytes;
use reqwest::Method;
use sesamegap_http::{Failure, Pool, Settings, SettingsBuilder};
use std::time::Duration;
use tokio::net::TcpListener;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
const HELLO: Behavior = Behavior::Answer(ANSWER);

fn settings() -> SettingsBuilder {
    Settings::builder()
        .read_timeout(Duration::from_secs(1))
        .connect_timeout(Duration::from_secs(20))
}

async fn get(pool: &Pool) -> Result<Bytes, Failure> {
    let request = pool.request(Method::GET, "/");
    let response = pool.send(request, Duration::ZERO).await?;
    pool.read_body(response).await
}

#[tokio::test]
async fn a_connection_is_reused() {
    let server = Server::start(HELLO).await;
    let pool = Pool::new(server.url(), settings().build());
    for _ in 0..3 {
        assert_eq!(get(&pool).await.unwrap(), "hello");
    }
    assert_eq!(server.connections(), 1);
}

/// A device between the two ends may have dropped the state of a connection that was open for long.
#[tokio::test]
async fn a_connection_past_its_age_is_replaced() {
    let server = Server::start(HELLO).await;
    let pool = Pool::new(
        server.url(),
        settings().max_connection_age(Duration::ZERO).build(),
    );
    for _ in 0..3 {
        get(&pool).await.unwrap();
    }
    assert_eq!(server.connections(), 3);
}

/// A request on an unresponsive connection times out, and the next one opens a new connection.
#[tokio::test]
async fn an_unresponsive_connection_is_not_reused() {
    let server = Server::start(Behavior::NoAnswer).await;
    let pool = Pool::new(server.url(), settings().build());
    for times in 1..=2 {
        assert_eq!(get(&pool).await, Err(Failure::timed_out()));
        assert_eq!(server.connections(), times);
    }
}

/// Nothing listens at the address, so nothing can have been sent.
#[tokio::test]
async fn a_refused_connection_is_unreached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(format!("http://{addr}"), settings().build());
    let failure = get(&pool).await.unwrap_err();
    assert!(matches!(failure, Failure::Unreached(_)), "{failure}");
}

/// The target reads a request and closes the connection. A retry would run the request twice.
#[tokio::test]
async fn a_request_that_was_read_is_not_sent_again() {
    let server = Server::start(Behavior::Close).await;
    let pool = Pool::new(server.url(), settings().build());
    let failure = get(&pool).await.unwrap_err();
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    assert_eq!(server.requests(), 1);
}

/// The target reads a request on a reused connection and closes it. An HTTP library that takes this
/// for a connection closed while idle would resend the request on a new one.
#[tokio::test]
async fn a_request_that_was_read_on_a_reused_connection_is_not_sent_again() {
    let server = Server::start(Behavior::AnswerOnce(ANSWER)).await;
    let pool = Pool::new(server.url(), settings().build());
    get(&pool).await.unwrap();
    let failure = get(&pool).await.unwrap_err();
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    assert_eq!((server.connections(), server.requests()), (1, 2));
}

/// Following a redirect would send the same request to a second target.
#[tokio::test]
async fn a_redirect_is_not_followed() {
    let answer = "HTTP/1.1 307 Again\r\nlocation: /there\r\ncontent-length: 0\r\n\r\n";
    let server = Server::start(Behavior::Answer(answer)).await;
    let pool = Pool::new(server.url(), settings().build());
    get(&pool).await.unwrap();
    assert_eq!(server.requests(), 1);
}

/// A target never stops sending. Without a size limit the router would run out of memory.
#[tokio::test]
async fn an_endless_body_exceeds_the_size_limit() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    let server = Server::start(Behavior::Endless(head, b'x')).await;
    let pool = Pool::new(server.url(), settings().max_body_bytes(10_000).build());
    assert_eq!(get(&pool).await, Err(Failure::Oversized(10_000)));
}

/// A target sends an endless body without ever exceeding the read timeout.
#[tokio::test]
async fn a_body_that_takes_too_long_times_out() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    let server = Server::start(Behavior::Endless(head, b'x')).await;
    let short = settings()
        .body_timeout(Duration::ZERO)
        .max_body_bytes(usize::MAX)
        .build();
    let failure = get(&Pool::new(server.url(), short)).await;
    assert_eq!(failure, Err(Failure::timed_out()));
}
