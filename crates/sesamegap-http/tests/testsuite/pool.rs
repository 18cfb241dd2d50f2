//! Connections: kept, replaced, given up.

use crate::server::{Manner, Server};
use bytes::Bytes;
use reqwest::Method;
use sesamegap_http::{Builder, Failure, Pool, Settings};
use std::time::Duration;
use tokio::net::TcpListener;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
const HELLO: Manner = Manner::Answer(ANSWER);

fn settings() -> Builder {
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
async fn a_connection_is_used_again() {
    let server = Server::start(HELLO).await;
    let pool = Pool::new(server.url(), settings().build());
    for _ in 0..3 {
        assert_eq!(get(&pool).await.unwrap(), "hello");
    }
    assert_eq!(server.connections(), 1);
}

/// A connection that was open for long may have been forgotten by something between its ends.
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

/// A request on a mute connection gets no answer, and the next one opens a new connection.
#[tokio::test]
async fn a_silent_connection_is_not_used_again() {
    let server = Server::start(Manner::Mute).await;
    let pool = Pool::new(server.url(), settings().build());
    for times in 1..=2 {
        assert_eq!(get(&pool).await, Err(Failure::timed_out()));
        assert_eq!(server.connections(), times);
    }
}

/// Nobody listens, so that nothing can have been written.
#[tokio::test]
async fn a_refused_connection_is_unreached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let pool = Pool::new(format!("http://{addr}"), settings().build());
    let failure = get(&pool).await.unwrap_err();
    assert!(matches!(failure, Failure::Unreached(_)), "{failure}");
}

/// The target reads a request and hangs up. Sending it again would run it twice.
#[tokio::test]
async fn a_request_that_was_read_is_not_sent_again() {
    let server = Server::start(Manner::Close).await;
    let pool = Pool::new(server.url(), settings().build());
    let failure = get(&pool).await.unwrap_err();
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    assert_eq!(server.requests(), 1);
}

/// The target reads a request on a connection used before and hangs up. A library that takes this
/// for a connection closed while idle would send the request again on a new one.
#[tokio::test]
async fn nor_is_it_on_a_connection_used_before() {
    let server = Server::start(Manner::AnswerOnce(ANSWER)).await;
    let pool = Pool::new(server.url(), settings().build());
    get(&pool).await.unwrap();
    let failure = get(&pool).await.unwrap_err();
    assert!(matches!(failure, Failure::Broken(_)), "{failure}");
    assert_eq!((server.connections(), server.requests()), (1, 2));
}

/// A redirect would write the same request to a second place.
#[tokio::test]
async fn a_redirect_is_not_followed() {
    let answer = "HTTP/1.1 307 Again\r\nlocation: /there\r\ncontent-length: 0\r\n\r\n";
    let server = Server::start(Manner::Answer(answer)).await;
    let pool = Pool::new(server.url(), settings().build());
    get(&pool).await.unwrap();
    assert_eq!(server.requests(), 1);
}

/// A target never stops sending. Without a bound the router would run out of memory.
#[tokio::test]
async fn an_endless_body_is_cut_off() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    let server = Server::start(Manner::Endless(head, b'x')).await;
    let pool = Pool::new(server.url(), settings().max_body_bytes(10_000).build());
    assert_eq!(get(&pool).await, Err(Failure::Oversized(10_000)));
}

/// A target sends a body so slowly that it never falls silent and never ends.
#[tokio::test]
async fn a_body_that_takes_too_long_is_given_up() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n";
    let server = Server::start(Manner::Endless(head, b'x')).await;
    let short = settings()
        .body_timeout(Duration::ZERO)
        .max_body_bytes(usize::MAX)
        .build();
    let failure = get(&Pool::new(server.url(), short)).await;
    assert_eq!(failure, Err(Failure::timed_out()));
}
