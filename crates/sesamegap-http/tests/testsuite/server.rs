//! A server that answers every request with the same bytes and counts its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What is done with each request.
#[derive(Debug, Clone, Copy)]
pub enum Manner {
    /// Writes this and keeps the connection.
    Answer(&'static str),
    /// Writes this and then the same byte for ever.
    Endless(&'static str, u8),
    /// Writes nothing and keeps the connection.
    Mute,
    /// Closes the connection.
    Close,
    /// Writes this to the first request on a connection, and closes it at the second.
    AnswerOnce(&'static str),
}

#[derive(Debug)]
pub struct Server {
    pub addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Server {
    pub async fn start(manner: Manner) -> Self {
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
                tokio::spawn(serve(tcp, manner, Arc::clone(&requests)));
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

async fn serve(mut tcp: TcpStream, manner: Manner, requests: Arc<AtomicUsize>) {
    let mut head = Vec::new();
    let mut answered = false;
    while let Ok(byte) = tcp.read_u8().await {
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        requests.fetch_add(1, Ordering::AcqRel);
        match manner {
            Manner::Answer(text) => drop(tcp.write_all(text.as_bytes()).await),
            Manner::Endless(text, byte) => {
                drop(tcp.write_all(text.as_bytes()).await);
                while tcp.write_all(&[byte; 1024]).await.is_ok() {}
            }
            Manner::Mute => {}
            Manner::Close => return,
            Manner::AnswerOnce(_) if answered => return,
            Manner::AnswerOnce(text) => {
                answered = true;
                drop(tcp.write_all(text.as_bytes()).await);
            }
        }
    }
}
