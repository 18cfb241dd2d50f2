//! A caller: asks a locator where to go, keeps the answer for its time to live, and connects.
//!
//! It does what the pages for callers advise. A refusal that says the request was not run is tried
//! again elsewhere after the time it names; a broken stream is taken up by request id and last
//! event id at any router; a lost reply to a save is asked for again under the same key.

use super::stream::{Ending, Received, receive};
use super::traffic::{Ask, Question, What};
use crate::locator::http::Addresses;
use rand::RngExt;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde_json::{Value, json};
use sesamegap_standin::expected_answer;
use sesamegap_wire::{DomainId, ModelId, ServiceId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;
use uuid::Uuid;

/// Times a caller tries, as client libraries usually do, spread over the named addresses.
const TRIES: usize = 6;

/// Longest wait before another try.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Longest wait for a whole reply of the plain service.
const REPLY: Duration = Duration::from_secs(20);

/// How one request fared, as its caller saw it.
#[derive(Debug, Clone)]
pub struct Fared {
    /// What was asked.
    pub ask: Ask,
    /// What came of it.
    pub outcome: Outcome,
    /// Time from first sending to the first text, or to the whole reply of the service.
    pub first: Option<Duration>,
    /// Prompt tokens found in the engine's cache.
    pub cached: u64,
    /// The key under which a save was sent.
    pub key: Option<String>,
    /// Tries in all.
    pub tries: usize,
}

/// What came of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this very request.
    Whole,
    /// Refused for good; the code, and whether it was run.
    Refused(String, String),
    /// An explicit error after it began.
    Failed(String),
    /// A promise is broken: what is wrong with the answer.
    Wrong(String),
    /// No router could be reached.
    Unreached,
}

/// One organisation's client.
#[derive(Debug)]
pub struct Caller {
    http: Client,
    locators: Vec<SocketAddr>,
    domain: DomainId,
    model: ModelId,
    service: ServiceId,
    way: Duration,
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    routers: Arc<[String]>,
    until: Option<Instant>,
}

/// One try that did not bring the answer.
struct Missed {
    outcome: Outcome,
    wait: Duration,
    last: bool,
}

impl Caller {
    /// A client in a failure domain that knows the locators, `way` from any router.
    ///
    /// # Errors
    /// If the HTTP client cannot be set up.
    pub fn new(
        locators: Vec<SocketAddr>,
        domain: DomainId,
        (model, service): (ModelId, ServiceId),
        way: Duration,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            http: Client::builder().no_proxy().build()?,
            locators,
            domain,
            model,
            service,
            way,
            known: Mutex::default(),
        })
    }

    /// Sends one request and sees it through.
    pub async fn send(&self, ask: Ask, secret: &str) -> Fared {
        tokio::time::sleep(self.way).await;
        let key = matches!(ask.what, What::Save).then(|| Uuid::now_v7().to_string());
        let mut fared = Fared {
            outcome: Outcome::Unreached,
            first: None,
            cached: 0,
            key,
            tries: 0,
            ask,
        };
        let begun = Instant::now();
        while fared.tries < TRIES {
            fared.tries += 1;
            let missed = match fared.ask.what.clone() {
                What::Model(question) => self.question(&question, secret, begun, &mut fared).await,
                What::Lookup => self.call("lookup", true, secret, begun, &mut fared).await,
                What::Save => self.call("save", false, secret, begun, &mut fared).await,
            };
            let Err(missed) = missed else {
                fared.outcome = Outcome::Whole;
                return fared;
            };
            fared.outcome = missed.outcome;
            if missed.last {
                return fared;
            }
            tokio::time::sleep(missed.wait).await;
        }
        fared
    }

    async fn question(
        &self,
        question: &Question,
        secret: &str,
        begun: Instant,
        fared: &mut Fared,
    ) -> Result<(), Missed> {
        let router = self.router(fared.tries).await.ok_or_else(unreached)?;
        let body = json!({
            "model": self.model,
            "messages": question.messages(),
            "max_tokens": question.answer,
            "stream": true,
        });
        let request = self
            .http
            .post(format!("{router}/v1/chat/completions"))
            .bearer_auth(secret)
            .header("sesamegap-class", question.class.as_str())
            .json(&body);
        let response = self.open(request).await?;
        let id = header(&response, "sesamegap-request-id");
        let received = receive(response, begun, Received::default()).await;
        let received = self.take_up(received, id, secret, begun).await;
        fared.first = received.first;
        fared.cached = received.cached;
        judge(question, &received)
    }

    /// Takes a broken stream up again, at whatever router answers.
    async fn take_up(
        &self,
        mut received: Received,
        id: Option<String>,
        secret: &str,
        begun: Instant,
    ) -> Received {
        let Some(id) = id else { return received };
        for attempt in 0..TRIES {
            if received.end != Ending::Cut {
                break;
            }
            let Some(router) = self.router(attempt).await else {
                break;
            };
            let mut request = self
                .http
                .get(format!("{router}/v1/requests/{id}"))
                .bearer_auth(secret)
                .header("accept", "text/event-stream");
            if let Some(last) = &received.last {
                request = request.header("last-event-id", last);
            }
            match request.send().await {
                Ok(response) if response.status().is_success() => {
                    received = receive(response, begun, received).await;
                }
                Ok(response) if response.status() == StatusCode::GONE => {
                    received.end = Ending::Failed("gone".to_owned());
                }
                _ => tokio::time::sleep(LONGEST_WAIT / 10).await,
            }
        }
        received
    }

    async fn call(
        &self,
        what: &str,
        repeatable: bool,
        secret: &str,
        begun: Instant,
        fared: &mut Fared,
    ) -> Result<(), Missed> {
        let router = self.router(fared.tries).await.ok_or_else(unreached)?;
        let text = format!("{what} {}", fared.ask.number);
        let url = format!("{router}/v1/services/{}/{what}", self.service);
        let mut request = self
            .http
            .request(Method::POST, url)
            .bearer_auth(secret)
            .timeout(REPLY)
            .header(
                "sesamegap-repeatable",
                if repeatable { "yes" } else { "no" },
            )
            .body(text.clone());
        if let Some(key) = &fared.key {
            request = request.header("idempotency-key", key);
        }
        let response = self.open(request).await?;
        let reply: Value = response.json().await.map_err(|_| lost_reply())?;
        fared.first = Some(begun.elapsed());
        if reply["body"].as_str() != Some(&text) {
            return Err(wrong(format!("asked `{text}`, got `{}`", reply["body"])));
        }
        Ok(())
    }

    /// Sends a request and sorts out refusals.
    async fn open(&self, request: RequestBuilder) -> Result<Response, Missed> {
        let Ok(response) = request.send().await else {
            self.forget().await;
            return Err(unreached());
        };
        if response.status().is_success() {
            return Ok(response);
        }
        let wait = header(&response, "retry-after").and_then(|text| text.parse().ok());
        let status = response.status();
        let body: Value = response.json().await.unwrap_or_default();
        let text = |key: &str| body[key].as_str().unwrap_or("?").to_owned();
        let (code, ran) = (text("code"), text("ran"));
        if matches!(code.as_str(), "leaving" | "refusing" | "stopping") {
            self.forget().await;
        }
        let again = status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS;
        let wait = wait.map_or(LONGEST_WAIT / 20, Duration::from_secs_f64);
        Err(Missed {
            last: !again || ran != "no",
            outcome: Outcome::Refused(code, ran),
            wait: wait.min(LONGEST_WAIT),
        })
    }

    async fn router(&self, attempt: usize) -> Option<String> {
        let mut known = self.known.lock().await;
        if known.until.is_none_or(|until| until <= Instant::now()) {
            self.locate(&mut known).await;
        }
        let routers = &known.routers;
        let index = attempt.checked_rem(routers.len())?;
        routers.get(index).cloned()
    }

    async fn locate(&self, known: &mut Known) {
        let start = rand::rng().random_range(0..self.locators.len().max(1));
        for i in 0..self.locators.len() {
            let locator = self.locators[(start + i) % self.locators.len()];
            let url = format!("http://{locator}/v1/address?domain={}", self.domain);
            let asked = self.http.get(url).timeout(LONGEST_WAIT).send().await;
            let Ok(response) = asked else { continue };
            if let Ok(named) = response.json::<Addresses>().await {
                known.routers = named.addresses.into();
                known.until = Some(Instant::now() + Duration::from_millis(named.ttl_ms));
                return;
            }
        }
    }

    async fn forget(&self) {
        self.known.lock().await.until = None;
    }
}

fn judge(question: &Question, received: &Received) -> Result<(), Missed> {
    let expected: String = expected_answer(&question.prompt(), question.answer).concat();
    let prefix = expected.starts_with(&received.text);
    match &received.end {
        Ending::Whole if received.text == expected => Ok(()),
        Ending::Whole => Err(wrong(format!(
            "a clean end after {} of {} bytes",
            received.text.len(),
            expected.len()
        ))),
        _ if !prefix => Err(wrong("text that is not of this answer".to_owned())),
        Ending::Failed(code) => Err(last(Outcome::Failed(code.clone()))),
        Ending::Cut => Err(last(Outcome::Failed("cut".to_owned()))),
    }
}

fn last(outcome: Outcome) -> Missed {
    Missed {
        outcome,
        wait: Duration::ZERO,
        last: true,
    }
}

fn wrong(what: String) -> Missed {
    last(Outcome::Wrong(what))
}

/// The call may have run; the same key brings the kept reply or the truth about it.
fn lost_reply() -> Missed {
    Missed {
        outcome: Outcome::Failed("reply lost".to_owned()),
        wait: LONGEST_WAIT / 20,
        last: false,
    }
}

fn unreached() -> Missed {
    Missed {
        outcome: Outcome::Unreached,
        wait: LONGEST_WAIT / 20,
        last: false,
    }
}

fn header(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    Some(value.to_str().ok()?.to_owned())
}
