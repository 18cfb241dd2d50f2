//! A server that handles every request in the same way and counts requests and connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// How the server handles each request.
#[derive(Debug, Clone, Copy)]
pub enum Behavior {
    /// Writes this and keeps the connection.
    Answer(&'static str),
    /// Writes this and then repeats a byte endlessly.
    Endless(&'static str, u8),
    /// Writes nothing and keeps the connection.
    NoAnswer,
    /// Closes the connection.
    Close,
    /// Answers the first request on a connection with this and closes it at the second.
    AnswerOnce(&'static str),
}

#[derive(Debug)]
pub struct Server {
    pub addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Server {
    pub async fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            requests: Arc::default(),
        };
        let connections = Arc::clone(&server.connections);
        let requests = Arc::clone(&server.requests);
        tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::AcqRel);
                tokio::spawn(serve(tcp, behavior, Arc::clone(&requests)));
            }
        });
        server
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

async fn serve(mut tcp: TcpStream, behavior: Behavior, requests: Arc<AtomicUsize>) {
    let mut head = Vec::new();
    let mut answered = false;
    while let Ok(byte) = tcp.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        requests.fetch_add(1, Ordering::AcqRel);
        match behavior {
            Behavior::Answer(text) => drop(tcp.write_all(text.as_bytes()).await),
            Behavior::Endless(text, byte) => {
                drop(tcp.write_all(text.as_bytes()).await);
                while tcp.write_all(&[byte; 1024]).await.is_ok() {}
            }
            Behavior::NoAnswer => {}
            Behavior::Close => return,
            Behavior::AnswerOnce(_) if answered => return,
            Behavior::AnswerOnce(text) => {
                answered = true;
                drop(tcp.write_all(text.as_bytes()).await);
            }
        }
    }
}
