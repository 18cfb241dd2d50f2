//! Stand-ins for the platform behind the ports, in words of their own.

use bytes::Bytes;
use futures_util::FutureExt;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName, HeaderValue};
use sesamegap_entry::ports::{
    Asked, BadHead, Batch, Call, EngineCall, Engines, Headers, KvChanges, LoadOrder, OrderAnswer,
    Part, Ports, Report, Said, Store, StoreError, Table, Told,
};
use sesamegap_wire::{Offset, Tokens, UpstreamId, VmId};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TEAM: HeaderName = HeaderName::from_static("x-team");
const LEFT: HeaderName = HeaderName::from_static("x-left");
const MEANT: HeaderName = HeaderName::from_static("x-meant");
const SPACE: HeaderName = HeaderName::from_static("x-space");
const AFTER: HeaderName = HeaderName::from_static("x-after");
const ID: HeaderName = HeaderName::from_static("x-id");
const MODEL: HeaderName = HeaderName::from_static("x-model");

static RESERVED: [HeaderName; 5] = [AUTHORIZATION, TEAM, LEFT, MEANT, SPACE];
static ESSENTIAL: [HeaderName; 2] = [ID, MODEL];

/// Headers of the stand-in platform.
#[derive(Debug)]
pub struct PlainHeaders;

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    let value = headers.get(name)?;
    Some(SmolStr::new(value.to_str().ok()?))
}

impl Headers for PlainHeaders {
    fn asked(&self, headers: &HeaderMap) -> Result<Asked, BadHead> {
        let parts = text(headers, &HeaderName::from_static("x-parts"));
        let parts = parts.unwrap_or_default();
        let parts = parts.split(',').filter(|name| !name.is_empty());
        Ok(Asked {
            id: text(headers, &ID).ok_or(BadHead("no id"))?,
            patience: text(headers, &HeaderName::from_static("x-patience"))
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            key: text(headers, &AUTHORIZATION),
            model: text(headers, &MODEL),
            parts: parts
                .map(|name| Part {
                    name: name.into(),
                    tokens: Tokens(500),
                })
                .collect(),
        })
    }

    fn reserved(&self) -> &[HeaderName] {
        &RESERVED
    }

    fn essential(&self) -> &[HeaderName] {
        &ESSENTIAL
    }

    fn tell(&self, told: &Told, headers: &mut HeaderMap) {
        let mut set = |name: &HeaderName, value: Option<String>| {
            if let Some(value) = value {
                headers.insert(name, HeaderValue::from_str(&value).unwrap());
            }
        };
        set(&LEFT, Some(told.left.as_millis().to_string()));
        set(&MEANT, told.upstream.as_ref().map(ToString::to_string));
        set(&TEAM, told.team.as_ref().map(ToString::to_string));
        set(&SPACE, told.namespace.as_ref().map(ToString::to_string));
        set(&AFTER, told.after.map(|event| event.to_string()));
    }

    fn said(&self, _status: u16, headers: &HeaderMap) -> Said {
        Said {
            id: text(headers, &ID),
            not_run: headers.contains_key("x-not-run"),
            upstream: text(headers, &MEANT).and_then(|id| id.parse::<UpstreamId>().ok()),
            load: None,
            weights: None,
            sealed: headers.contains_key("x-seal"),
        }
    }
}

/// A store that can be away, and engines that answer nothing.
#[derive(Debug, Default)]
pub struct Platform {
    pub away: Mutex<bool>,
    pub settings: Mutex<Option<Batch>>,
    pub fleet: Mutex<Option<Batch>>,
}

impl Platform {
    pub fn ports(self: &Arc<Self>) -> Ports {
        Ports {
            store: Arc::clone(self) as Arc<dyn Store>,
            headers: Arc::new(PlainHeaders),
            engines: Arc::clone(self) as Arc<dyn Engines>,
        }
    }

    fn table(&self, table: Table) -> Result<Batch, StoreError> {
        if *self.away.lock().unwrap() {
            return Err(StoreError::Busy);
        }
        let batch = match table {
            Table::Settings => self.settings.lock().unwrap().clone(),
            Table::Fleet => self.fleet.lock().unwrap().clone(),
            Table::Vms => None,
        };
        Ok(batch.unwrap_or(Batch {
            records: Vec::new(),
            next: Offset(0),
        }))
    }
}

impl Store for Platform {
    fn snapshot(&self, table: Table) -> Call<'_, Batch> {
        async move { self.table(table) }.boxed()
    }

    fn changes(&self, table: Table, from: Offset, wait: Duration) -> Call<'_, Batch> {
        async move {
            tokio::time::sleep(wait.min(Duration::from_millis(50))).await;
            let mut batch = self.table(table)?;
            batch.records.retain(|(at, _)| *at >= from);
            Ok(batch)
        }
        .boxed()
    }

    fn announce(&self, _vm: &VmId, _peers: SocketAddr) -> Call<'_, ()> {
        async move { self.table(Table::Vms).map(|_| ()) }.boxed()
    }

    fn lease_records(&self, _from: Offset) -> Call<'_, (Vec<Bytes>, Offset)> {
        async move { Err(StoreError::Busy) }.boxed()
    }

    fn lease_append(&self, _record: Bytes, _at: Offset) -> Call<'_, Offset> {
        async move { Err(StoreError::Busy) }.boxed()
    }
}

impl Engines for Platform {
    fn report(&self, _addr: SocketAddr) -> EngineCall<'_, Report> {
        async move { Err("silent".to_owned()) }.boxed()
    }

    fn held(&self, _addr: SocketAddr) -> EngineCall<'_, KvChanges> {
        async move { Err("silent".to_owned()) }.boxed()
    }

    fn changes(
        &self,
        _addr: SocketAddr,
        _since: u64,
        _wait: Duration,
    ) -> EngineCall<'_, KvChanges> {
        async move { Err("silent".to_owned()) }.boxed()
    }

    fn load(
        &self,
        _addr: SocketAddr,
        _engine: UpstreamId,
        _order: LoadOrder,
    ) -> EngineCall<'_, OrderAnswer> {
        async move { Err("silent".to_owned()) }.boxed()
    }
}
