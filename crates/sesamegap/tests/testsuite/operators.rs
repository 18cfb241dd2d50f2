//! A router as far as operators see it: a fold behind the operators' interface, and faults.

use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use reqwest::StatusCode;
use serde_json::{Value, json};
use sesamegap::admin::{self, ChangeAnswer, ChangeRequest};
use sesamegap::config::CtlConfig;
use sesamegap::ctl::Client;
use sesamegap_settings::{ChangeId, Fold};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What happens to one posted change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// The router is gone before it takes effect, and says nothing.
    Silent,
    /// The log is down.
    LogDown,
}

#[derive(Debug, Default)]
struct State {
    fold: Fold,
    fates: VecDeque<Fate>,
    posted: Vec<ChangeId>,
}

/// A running stand-in for a router's operators' interface.
#[derive(Debug, Clone)]
pub struct Operators {
    state: Arc<Mutex<State>>,
    pub url: String,
}

impl Operators {
    /// Starts one on a free port.
    pub async fn start() -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let listener = TcpListener::bind("127.0.0.1:0")
            .into_acceptor()
            .await
            .unwrap();
        let addr = listener.local_addr().remove(0);
        let port = addr.as_socket_addr().unwrap().port();
        let routes = Route::new()
            .at("/admin/changes", post(publish))
            .at("/admin/tree", get(tree))
            .at("/admin/effective/*path", get(effective))
            .at("/admin/history", get(history))
            .at("/v1/address", get(address))
            .data(Arc::clone(&state));
        tokio::spawn(Server::new_with_acceptor(listener).run(routes));
        Self {
            state,
            url: format!("http://127.0.0.1:{port}"),
        }
    }

    /// Lets these things happen to the next changes, one each.
    pub fn fates(&self, fates: impl IntoIterator<Item = Fate>) {
        self.state.lock().unwrap().fates.extend(fates);
    }

    /// The ids of all changes posted.
    pub fn posted(&self) -> Vec<ChangeId> {
        self.state.lock().unwrap().posted.clone()
    }

    /// How many records changes have made.
    pub fn records(&self) -> u64 {
        self.state.lock().unwrap().fold.next().0
    }

    /// A client of this router and then of others.
    pub fn client(&self, others: &[&str]) -> Client {
        let all = [&[self.url.as_str()], others].concat();
        let config = CtlConfig {
            routers: all.into_iter().map(Into::into).collect(),
            call: Duration::from_millis(400),
            patience: Duration::from_secs(20),
            ..CtlConfig::default()
        };
        Client::new(config).unwrap()
    }
}

type Shared = Arc<Mutex<State>>;

#[handler]
async fn publish(Json(request): Json<ChangeRequest>, Data(state): Data<&Shared>) -> Response {
    let id = request.id.unwrap();
    let fate = {
        let mut state = state.lock().unwrap();
        state.posted.push(id);
        state.fates.pop_front()
    };
    let answer = match fate {
        Some(Fate::LogDown) => ChangeAnswer::Unavailable {
            id,
            message: "the log is down".to_owned(),
        },
        Some(Fate::Silent) => std::future::pending().await,
        _ => judge(&mut state.lock().unwrap().fold, request, id),
    };
    if fate == Some(Fate::AnswerLost) {
        std::future::pending::<()>().await;
    }
    let status = StatusCode::from_u16(answer.status()).unwrap();
    Json(answer).with_status(status).into_response()
}

/// Judges a change as a router does, with the log inside.
fn judge(fold: &mut Fold, request: ChangeRequest, id: ChangeId) -> ChangeAnswer {
    let change = match request.into_change(id) {
        Ok(change) => change,
        Err(findings) => return ChangeAnswer::Invalid { id, findings },
    };
    if let Some(refusal) = admin::refusal(fold, &change) {
        return refusal;
    }
    let next = fold.next();
    fold.apply(next, 0, &change.encode().unwrap());
    admin::answer(fold, id).unwrap()
}

#[handler]
fn tree(Data(state): Data<&Shared>) -> Response {
    Json(admin::tree(&state.lock().unwrap().fold)).into_response()
}

#[handler]
fn effective(Path(path): Path<String>, Data(state): Data<&Shared>) -> Response {
    match admin::effective(&state.lock().unwrap().fold, &path.parse().unwrap()) {
        Some(answer) => Json(answer).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
fn history(Data(state): Data<&Shared>) -> Response {
    Json(admin::history(&state.lock().unwrap().fold)).into_response()
}

#[handler]
fn address() -> Json<Value> {
    Json(json!({"addresses": ["127.0.0.1:7000"], "ttl_ms": 2000}))
}
