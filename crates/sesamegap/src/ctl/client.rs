//! Speaking to routers and locators.
//!
//! Reading goes to the first router that answers. A change goes with one id to one router after
//! the other until an answer tells the outcome: the answer, or the router, may be lost after the
//! log took the change, and only a repetition with the same id finds out without doing it twice.

use crate::admin::{ChangeAnswer, ChangeRequest, EffectiveAnswer, HistoryAnswer, TreeAnswer};
use crate::config::CtlConfig;
use reqwest::{Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;
use std::error::Error;
use std::fmt;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause before a change is sent again; a router needs about as long to hear from the log.
const PAUSE: Duration = Duration::from_millis(300);

/// Largest answer read, in bytes; the tree of 35,000 teams is a third of it.
const MAX_ANSWER: usize = 32 << 20;

/// Why an answer was not had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientError {
    /// No address was given to ask.
    Nowhere(&'static str),
    /// Nobody answered, or not as it should.
    Failed(String),
    /// A change was sent and its outcome is not known.
    Unknown(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nowhere(what) => write!(f, "no {what} given: use --{what} or --config"),
            Self::Failed(why) => f.write_str(why),
            Self::Unknown(why) => write!(f, "the outcome is not known: {why}"),
        }
    }
}

impl Error for ClientError {}

/// A client of the operators' interface.
#[derive(Debug)]
pub struct Client {
    config: CtlConfig,
    http: reqwest::Client,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    /// If the HTTP library cannot be set up.
    pub fn new(config: CtlConfig) -> Result<Self, ClientError> {
        let http = reqwest::Client::builder().timeout(config.call).no_proxy();
        let http = http
            .build()
            .map_err(|e| ClientError::Failed(e.to_string()))?;
        Ok(Self { config, http })
    }

    /// The settings it was made with.
    pub fn config(&self) -> &CtlConfig {
        &self.config
    }

    /// Asks for the tree in force.
    ///
    /// # Errors
    /// If no router answers.
    pub async fn tree(&self) -> Result<TreeAnswer, ClientError> {
        self.read("/admin/tree").await
    }

    /// Asks for the values in force at a path.
    ///
    /// # Errors
    /// If no router answers or nothing stands there.
    pub async fn effective(&self, path: &str) -> Result<EffectiveAnswer, ClientError> {
        self.read(&format!("/admin/effective/{path}")).await
    }

    /// Asks for the last changes.
    ///
    /// # Errors
    /// If no router answers.
    pub async fn history(&self) -> Result<HistoryAnswer, ClientError> {
        self.read("/admin/history").await
    }

    /// Asks a process for its state; without an address, the first router that answers.
    ///
    /// # Errors
    /// If it does not answer.
    pub async fn dump(&self, process: Option<&str>) -> Result<Value, ClientError> {
        match process {
            Some(server) => self.get(server, "/dump").await,
            None => self.read("/dump").await,
        }
    }

    /// Asks a locator which addresses callers are to use.
    ///
    /// # Errors
    /// If no locator answers.
    pub async fn address(&self) -> Result<Value, ClientError> {
        self.first(&self.config.locators, "locator", "/v1/address")
            .await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.first(&self.config.routers, "router", path).await
    }

    /// Asks one server after the other until one answers.
    async fn first<T: DeserializeOwned>(
        &self,
        servers: &[SmolStr],
        what: &'static str,
        path: &str,
    ) -> Result<T, ClientError> {
        let mut last = ClientError::Nowhere(what);
        for server in servers {
            match self.get(server, path).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn get<T: DeserializeOwned>(&self, server: &str, path: &str) -> Result<T, ClientError> {
        let failed = |why: String| ClientError::Failed(format!("{server}{path}: {why}"));
        let request = self.signed(self.http.get(format!("{server}{path}")));
        let answer = request.send().await.map_err(|e| failed(cause(&e)))?;
        let status = answer.status();
        let body = body(answer).await.map_err(failed)?;
        if !status.is_success() {
            let text: String = String::from_utf8_lossy(&body).chars().take(400).collect();
            return Err(failed(format!("{status}: {text}")));
        }
        serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
    }

    fn signed(&self, request: reqwest::RequestBuilder) -> reqwest::RequestBuilder {
        match &self.config.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }

    /// Publishes a change, repeated with the same id until its outcome is known.
    ///
    /// # Errors
    /// If the outcome is still not known when patience ends, or if the request is refused as such.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeAnswer, ClientError> {
        let routers = &self.config.routers;
        if routers.is_empty() {
            return Err(ClientError::Nowhere("router"));
        }
        let end = Instant::now() + self.config.patience;
        let mut sent = false;
        let mut last = String::new();
        for turn in 0.. {
            let server = &routers[turn % routers.len()];
            match self.post(server, request).await {
                Ok(ChangeAnswer::Unknown { message, .. }) => {
                    sent = true;
                    last = message;
                }
                Ok(ChangeAnswer::Unavailable { message, .. }) => last = message,
                Ok(known) => return Ok(known),
                Err(Trouble::Refused(why)) => return Err(ClientError::Failed(why)),
                Err(Trouble::Unsent(why)) => last = why,
                Err(Trouble::Lost(why)) => {
                    sent = true;
                    last = why;
                }
            }
            if Instant::now() + PAUSE >= end {
                break;
            }
            sleep(PAUSE).await;
        }
        // Only if no attempt can have reached the log does a failure mean that nothing took effect.
        if sent {
            Err(ClientError::Unknown(last))
        } else {
            Err(ClientError::Failed(last))
        }
    }

    async fn post(&self, server: &str, request: &ChangeRequest) -> Result<ChangeAnswer, Trouble> {
        let url = format!("{server}/admin/changes");
        let sent = self.signed(self.http.post(&url).json(request)).send().await;
        let answer = sent.map_err(|error| {
            let why = format!("{url}: {}", cause(&error));
            if error.is_connect() {
                Trouble::Unsent(why)
            } else {
                Trouble::Lost(why)
            }
        })?;
        let status = answer.status();
        let body = body(answer)
            .await
            .map_err(|why| Trouble::Lost(format!("{url}: {why}")))?;
        if let Ok(answer) = serde_json::from_slice(&body) {
            return Ok(answer);
        }
        let text: String = String::from_utf8_lossy(&body).chars().take(400).collect();
        let why = format!("{url}: {status}: {text}");
        let refused = status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS;
        Err(if refused {
            Trouble::Refused(why)
        } else {
            Trouble::Lost(why)
        })
    }
}

/// Why a posted change got no usable answer.
enum Trouble {
    /// Nothing was sent.
    Unsent(String),
    /// It may have been taken.
    Lost(String),
    /// The request was refused before anything was done.
    Refused(String),
}

/// The innermost cause, which says more than "error sending request".
fn cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// Reads a body within the bound.
async fn body(mut answer: Response) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = answer.chunk().await.map_err(|e| cause(&e))? {
        body.extend_from_slice(&chunk);
        if body.len() > MAX_ANSWER {
            return Err(format!("the answer is larger than {MAX_ANSWER} bytes"));
        }
    }
    Ok(body)
}
