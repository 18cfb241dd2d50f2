//! Callers that keep using an open connection while its router stops.
//!
//! A caller holds a connection to a router that is told to stop, and sends its next request at the
//! moment at which the router closes idle connections. Either the request lies in the router's
//! socket, unread (105 between 102 and 103 in the log), or it is sent just after the close, which
//! the caller has not seen yet (no 105, the error comes right after 103). In both cases the caller
//! had an error that leaves open whether the request ran, and a filing must not be sent again then.

use crate::support::{ALPHA, Got, PATIENCE, Site, plan, plan_with, question, url};
use reqwest::StatusCode;
use serde_json::Value;
use sesamegap::router::phase::Phase;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A question of team alpha, as it stands on the wire.
fn request() -> String {
    let body = question("hello", 2, false).to_string();
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {ALPHA}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Opens a connection and has one question answered on it, away from the test's own thread.
async fn used_connection(router: SocketAddr) -> TcpStream {
    let opened = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(router).unwrap();
        stream.write_all(request().as_bytes()).unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).unwrap();
        assert_eq!(&head, b"HTTP/1.1 200");
        stream
    });
    opened.await.unwrap()
}

/// The last answer on a connection, as its status and its body.
async fn last_answer(mut stream: TcpStream) -> (u16, Value) {
    let read = tokio::task::spawn_blocking(move || {
        let mut text = Vec::new();
        // A reset after the answer takes nothing from what was read.
        drop(stream.read_to_end(&mut text));
        String::from_utf8(text).unwrap()
    });
    let text = read.await.unwrap();
    let (_, last) = text.rsplit_once("HTTP/1.1 ").expect("an answer");
    let status = last[..3].parse().unwrap();
    let body = last.split_once("\r\n\r\n").expect("a whole head").1;
    (status, serde_json::from_str(body).expect("a whole body"))
}

#[tokio::test]
async fn a_request_sent_after_the_close_is_told_that_it_did_not_run() {
    let mut site = Site::start(plan(), 2).await;
    let stopping = site.routers.remove(0);
    let kept = used_connection(stopping.addr()).await;
    let before = site.deployment.executions().requests.len();
    stopping.stop().await;
    let mut crossing = kept.try_clone().unwrap();
    // The router may be gone altogether; what it sent before can be read all the same.
    drop(crossing.write_all(request().as_bytes()));
    let (status, body) = last_answer(kept).await;
    assert_eq!(status, StatusCode::REQUEST_TIMEOUT);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"closing".into(), &"no".into())
    );
    assert_eq!(site.deployment.executions().requests.len(), before);
}

#[tokio::test]
async fn answers_of_a_leaving_router_end_their_connections() {
    let mut site = Site::start_tuned(plan(), 2, |config| {
        config.timing.address = Duration::from_millis(400);
    })
    .await;
    let leaving = site.routers.remove(0);
    let at = leaving.addr();
    let http = site.http.clone();
    let stop = tokio::spawn(leaving.stop());
    let mut told = false;
    while !told {
        let ask = http.post(format!("{}/v1/chat/completions", url(at)));
        let ask = ask.bearer_auth(ALPHA).json(&question("hi", 1, false));
        let Ok(answer) = ask.send().await else {
            break;
        };
        told = answer
            .headers()
            .get("connection")
            .is_some_and(|value| value == "close");
    }
    assert!(told, "no answer said that its connection ends");
    stop.await.unwrap();
}

/// Guards against a request whose body ends after its router has begun to refuse, and that is run and cut.
#[tokio::test]
async fn a_request_whose_body_ends_while_the_router_refuses_is_not_run() {
    let slow = plan_with(Duration::from_millis(8));
    let mut site = Site::start(slow, 2).await;
    let running = site.stream("hello", 400).await;
    let stopping = site.routers.remove(0);
    let mut half = TcpStream::connect(stopping.addr()).unwrap();
    let text = request();
    let (first, rest) = text.split_at(text.len() - 5);
    half.write_all(first.as_bytes()).unwrap();
    let core = Arc::clone(stopping.core());
    let stop = tokio::spawn(stopping.stop());
    let refuses = async {
        while core.phases.now() < Phase::Refusing {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, refuses).await.unwrap();
    let before = site.deployment.executions().requests.len();
    half.write_all(rest.as_bytes()).unwrap();
    let (status, body) = last_answer(half).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (&body["code"], &body["ran"]),
        (&"stopping".into(), &"no".into())
    );
    assert_eq!(site.deployment.executions().requests.len(), before);
    assert!(Got::all(running).await.done);
    stop.await.unwrap();
}
