//! A stand-in for the platform behind the ports, with header names of its own.

use bytes::Bytes;
use futures_util::FutureExt;
use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderName, HeaderValue};
use sesamegap_entry::ports::{
    AnswerHead, CacheUpdate, Dispatch, EngineCall, EngineReport, Engines, Headers, InvalidHeader,
    LoadOrder, OrderAnswer, Ports, PromptPart, Record, Records, Reply, RequestHead, Store,
    StoreCall, StoreError, Table, Weights,
};
use sesamegap_policy::agreement::timelines::ReportedTimeline;
use sesamegap_policy::quarantine;
use sesamegap_policy::resumption::Partition;
use sesamegap_wire::{
    Incarnation, Offset, ServiceId, SoftwareVersion, Timeline, Tokens, UpstreamId, VmId,
    WeightsVersion,
};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader> {
        let parts = text(headers, &HeaderName::from_static("x-parts"));
        let parts = parts.unwrap_or_default();
        let parts = parts.split(',').filter(|name| !name.is_empty());
        Ok(RequestHead {
            id: text(headers, &ID).ok_or(InvalidHeader("no id"))?,
            // What is left stands in a request that comes through a peer.
            timeout: text(headers, &LEFT)
                .or_else(|| text(headers, &HeaderName::from_static("x-patience")))
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            key: text(headers, &AUTHORIZATION),
            model: text(headers, &MODEL),
            usage: text(headers, &HeaderName::from_static("x-usage"))
                .and_then(|all| all.parse().ok()),
            parts: parts
                .map(|name| PromptPart {
                    name: name.into(),
                    tokens: Tokens(500),
                })
                .collect(),
            after: text(headers, &AFTER),
            resumes: text(headers, &HeaderName::from_static("x-resumes")),
        })
    }

    fn reserved(&self) -> &[HeaderName] {
        &RESERVED
    }

    fn essential(&self) -> &[HeaderName] {
        &ESSENTIAL
    }

    fn write_dispatch(&self, dispatch: &Dispatch, headers: &mut HeaderMap) {
        let mut set = |name: &HeaderName, value: Option<String>| {
            if let Some(value) = value {
                headers.insert(name, HeaderValue::from_str(&value).unwrap());
            }
        };
        set(&LEFT, Some(dispatch.time_left.as_millis().to_string()));
        set(&MEANT, dispatch.upstream.as_ref().map(ToString::to_string));
        set(&TEAM, dispatch.team.as_ref().map(ToString::to_string));
        set(&SPACE, dispatch.namespace.as_ref().map(ToString::to_string));
        set(&AFTER, dispatch.after.map(|event| event.to_string()));
    }

    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            id: text(headers, &ID),
            not_run: headers.contains_key("x-not-run"),
            upstream: text(headers, &MEANT).and_then(|id| id.parse::<UpstreamId>().ok()),
            load: None,
            weights: text(headers, &HeaderName::from_static("x-weights"))
                .and_then(|version| version.parse().ok()),
            sealed: headers.contains_key("x-seal"),
            brittle: text(headers, &HeaderName::from_static("x-brittle"))
                .and_then(|bound| bound.parse().ok()),
            limit: text(headers, &HeaderName::from_static("x-limit")).map(|rate| rate.parse()),
        }
    }
}

/// An engine that accepts orders to load weights.
#[derive(Debug)]
pub struct StandinEngine {
    pub addr: SocketAddr,
    pub version: u32,
    /// Orders that it has accepted.
    pub orders: Vec<LoadOrder>,
    /// Number of further orders that it does not answer.
    pub unanswered_orders: u32,
    /// Whether another instance is at its address now.
    pub moved: bool,
    /// The last unanswered order, to be executed late.
    pub late: Option<LoadOrder>,
    /// Incarnation that it states, if any.
    pub born: Option<Incarnation>,
    /// Number of orders that it accepted before its last restart and no longer knows.
    pub orders_before_restart: usize,
    /// Number of further orders during which it restarts.
    pub restarts: u32,
    /// Number of reports that it was asked for.
    pub reports: u32,
    /// Time to load weights.
    pub load_time: Duration,
    /// Time when the current load completes.
    pub loading_until: Option<Instant>,
}

impl StandinEngine {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            version: 1,
            orders: Vec::new(),
            unanswered_orders: 0,
            moved: false,
            late: None,
            born: None,
            orders_before_restart: 0,
            restarts: 0,
            reports: 0,
            load_time: Duration::ZERO,
            loading_until: None,
        }
    }

    /// Number of orders accepted since its last restart.
    pub fn taken(&self) -> u64 {
        (self.orders.len() - self.orders_before_restart) as u64
    }

    /// Whether it is loading weights.
    pub fn is_loading(&self) -> bool {
        self.loading_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Restarts with the same weights.
    pub fn restart(&mut self) {
        self.born = self.born.map(|Incarnation(born)| Incarnation(born + 1));
        self.orders_before_restart = self.orders.len();
    }

    /// Executes an order if it expects the present number of accepted orders; returns whether it
    /// did.
    pub fn execute(&mut self, order: &LoadOrder) -> bool {
        let accepted = order.expected == self.taken();
        if accepted {
            self.orders.push(order.clone());
            if self.restarts > 0 {
                self.restarts -= 1;
                self.restart();
            } else {
                self.version = order.weights.version.0;
                self.loading_until = Some(Instant::now() + self.load_time);
            }
        }
        accepted
    }
}

/// A kept-KV store that answers with news.
#[derive(Debug)]
pub struct StandinKvStore {
    pub news: CacheUpdate,
    /// Numbers since which news were requested.
    pub asked: Vec<u64>,
}

/// A store that can be unavailable, and engines that accept orders.
#[derive(Debug, Default)]
pub struct Platform {
    pub is_unavailable: Mutex<bool>,
    pub engines: Mutex<Vec<StandinEngine>>,
    pub cache: Mutex<Option<StandinKvStore>>,
    /// Weights announced in the store.
    pub named_weights: Mutex<Option<Weights>>,
    /// Whether the next call for changes reports that its records were compacted.
    pub dropped: Mutex<bool>,
    /// Timeline that the store states, if any: how often it was restored from a backup.
    pub timeline: Mutex<Option<Timeline>>,
    /// Records of its tables; all tables return the same ones.
    pub records: Mutex<Vec<Record>>,
    /// VMs whose entries were written.
    pub announced: Mutex<Vec<VmId>>,
    /// VMs whose entries were removed.
    pub removed: Mutex<Vec<VmId>>,
    /// Records of requests that crashed upstreams.
    pub quarantine: Mutex<Vec<quarantine::Record>>,
    /// Software versions that can have begun streams, by service.
    pub versions: Mutex<BTreeMap<ServiceId, BTreeSet<SoftwareVersion>>>,
    /// Appends to each partition of the log of streams.
    pub streams: Mutex<BTreeMap<Partition, Vec<Bytes>>>,
    /// Time that an append to it takes.
    pub append_time: Mutex<Duration>,
    leases: Mutex<Vec<Bytes>>,
}

impl Platform {
    pub fn ports(self: &Arc<Self>) -> Ports {
        Ports {
            store: Arc::clone(self) as Arc<dyn Store>,
            headers: Arc::new(PlainHeaders),
            engines: Arc::clone(self) as Arc<dyn Engines>,
        }
    }

    /// Restores the store from a backup with these table records and this many claims of the lease
    /// log.
    pub fn restore(&self, records: Vec<Record>, claims: usize) {
        let mut timeline = self.timeline.lock().unwrap();
        *timeline = Some(Timeline(timeline.map_or(0, |timeline| timeline.0) + 1));
        *self.records.lock().unwrap() = records;
        self.leases.lock().unwrap().truncate(claims);
    }

    fn check_available(&self) -> Result<(), StoreError> {
        if *self.is_unavailable.lock().unwrap() {
            return Err(StoreError::Busy);
        }
        Ok(())
    }

    /// Records of a table from an offset on, if the store is available.
    fn table(&self, from: Offset) -> Result<Records, StoreError> {
        self.check_available()?;
        let records = self.records.lock().unwrap();
        let next = Offset(records.len() as u64);
        if from > next {
            return Err(StoreError::Compacted(Offset(0)));
        }
        let numbered = (0..).map(Offset).zip(records.iter().cloned());
        Ok(Records {
            records: numbered.filter(|(at, _)| *at >= from).collect(),
            next,
            end: next,
            calls: 1,
        })
    }

    /// The newest record of each key.
    fn newest(&self) -> Result<Records, StoreError> {
        let mut table = self.table(Offset(0))?;
        let named = self.named_weights.lock().unwrap().clone();
        let records = named.map(|weights| (Offset(0), Record::Weights(weights)));
        table.records.extend(records);
        Ok(table)
    }

    fn reply<T>(&self, outcome: Result<T, StoreError>) -> Reply<T> {
        let timeline = *self.timeline.lock().unwrap();
        let stated = timeline.map_or(ReportedTimeline::Missing, ReportedTimeline::At);
        Reply {
            timeline: Some(stated),
            outcome,
        }
    }

    /// Calls a function with the engine at an address.
    fn with<T>(
        &self,
        addr: SocketAddr,
        call: impl FnOnce(&mut StandinEngine) -> Result<T, String>,
    ) -> Result<T, String> {
        let mut engines = self.engines.lock().unwrap();
        let engine = engines.iter_mut().find(|engine| engine.addr == addr);
        engine.map_or(Err("no engine there".to_owned()), call)
    }
}

impl Store for Platform {
    fn snapshot(&self, table: Table) -> StoreCall<'_, Records> {
        let quarantined = || {
            self.check_available()?;
            let records = self.quarantine.lock().unwrap();
            let records = records.iter().cloned().map(Box::new);
            Ok(Records {
                next: Offset(records.len() as u64),
                end: Offset(records.len() as u64),
                calls: 1,
                records: (0..)
                    .map(Offset)
                    .zip(records.map(Record::Quarantine))
                    .collect(),
            })
        };
        let versions = || {
            self.check_available()?;
            let versions = self.versions.lock().unwrap();
            let records = versions.iter();
            let records =
                records.map(|(service, known)| Record::Versions(service.clone(), known.clone()));
            Ok(Records {
                records: (0..).map(Offset).zip(records).collect(),
                next: Offset(0),
                end: Offset(0),
                calls: 1,
            })
        };
        let found = match table {
            Table::Quarantine => quarantined(),
            Table::Versions => versions(),
            _ => self.newest(),
        };
        async move { self.reply(found) }.boxed()
    }

    fn changes(&self, _table: Table, from: Offset, wait: Duration) -> StoreCall<'_, Records> {
        async move {
            tokio::time::sleep(wait.min(Duration::from_millis(50))).await;
            if std::mem::take(&mut *self.dropped.lock().unwrap()) {
                return self.reply(Err(StoreError::Compacted(Offset(0))));
            }
            self.reply(self.table(from))
        }
        .boxed()
    }

    fn write_vm_entry(&self, vm: &VmId, _peers: SocketAddr) -> StoreCall<'_, ()> {
        self.announced.lock().unwrap().push(vm.clone());
        async move { self.reply(self.check_available()) }.boxed()
    }

    fn remove_vm_entry(&self, vm: &VmId, at: Offset) -> StoreCall<'_, Offset> {
        self.removed.lock().unwrap().push(vm.clone());
        async move { self.reply(self.check_available().map(|()| at.next())) }.boxed()
    }

    fn write_quarantine_records(&self, records: &[quarantine::Record]) -> StoreCall<'_, ()> {
        let written = self.check_available().map(|()| {
            let mut kept = self.quarantine.lock().unwrap();
            kept.retain(|old| records.iter().all(|new| new.fingerprint != old.fingerprint));
            kept.extend_from_slice(records);
        });
        async move { self.reply(written) }.boxed()
    }

    fn write_versions(
        &self,
        service: &ServiceId,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> StoreCall<'_, ()> {
        let written = self.check_available().map(|()| {
            let mut kept = self.versions.lock().unwrap();
            kept.insert(service.clone(), versions.clone());
        });
        async move { self.reply(written) }.boxed()
    }

    fn stream_records(
        &self,
        partition: Partition,
        from: Offset,
    ) -> StoreCall<'_, (Vec<Bytes>, Offset)> {
        async move {
            let read = self.check_available().map(|()| {
                let streams = self.streams.lock().unwrap();
                let records = streams.get(&partition).cloned().unwrap_or_default();
                let end = Offset(records.len() as u64);
                let from = usize::try_from(from.0).unwrap();
                (records.into_iter().skip(from).collect(), end)
            });
            self.reply(read)
        }
        .boxed()
    }

    fn append_streams(&self, partition: Partition, record: Bytes) -> StoreCall<'_, ()> {
        async move {
            let time = *self.append_time.lock().unwrap();
            tokio::time::sleep(time).await;
            let appended = self.check_available().map(|()| {
                let mut streams = self.streams.lock().unwrap();
                streams.entry(partition).or_default().push(record);
            });
            self.reply(appended)
        }
        .boxed()
    }

    fn lease_records(&self, from: Offset) -> StoreCall<'_, (Vec<Bytes>, Offset)> {
        async move {
            let read = self.check_available().map(|()| {
                let leases = self.leases.lock().unwrap();
                let seen = leases.iter().skip(usize::try_from(from.0).unwrap());
                (seen.cloned().collect(), Offset(leases.len() as u64))
            });
            self.reply(read)
        }
        .boxed()
    }

    fn lease_append(&self, record: Bytes, at: Offset) -> StoreCall<'_, Offset> {
        async move {
            let done = self.check_available().and_then(|()| {
                let mut leases = self.leases.lock().unwrap();
                let end = Offset(leases.len() as u64);
                if at != end {
                    return Err(StoreError::Conflict(end));
                }
                leases.push(record);
                Ok(end)
            });
            self.reply(done)
        }
        .boxed()
    }
}

impl Engines for Platform {
    fn report(&self, addr: SocketAddr) -> EngineCall<'_, EngineReport> {
        let report = self.with(addr, |engine| {
            engine.reports += 1;
            Ok(EngineReport {
                weights: vec![Weights {
                    model: "m".into(),
                    version: WeightsVersion(engine.version),
                }],
                busy: engine.is_loading(),
                orders: engine.taken(),
                born: engine.born,
            })
        });
        async move { report }.boxed()
    }

    fn cache_update(
        &self,
        _addr: SocketAddr,
        since: u64,
        _wait: Duration,
    ) -> EngineCall<'_, CacheUpdate> {
        let mut cache = self.cache.lock().unwrap();
        let news = cache.as_mut().map(|cache| {
            cache.asked.push(since);
            cache.news
        });
        async move { news.ok_or("silent".to_owned()) }.boxed()
    }

    fn load(
        &self,
        addr: SocketAddr,
        _engine: UpstreamId,
        order: LoadOrder,
    ) -> EngineCall<'_, OrderAnswer> {
        let answer = self.with(addr, |engine| {
            if engine.moved {
                engine.orders.push(order);
                return Ok(OrderAnswer::Elsewhere);
            }
            if engine.unanswered_orders > 0 {
                engine.unanswered_orders -= 1;
                engine.late = Some(order);
                return Err("no answer".to_owned());
            }
            Ok(if engine.execute(&order) {
                OrderAnswer::Taken
            } else {
                OrderAnswer::Conflict
            })
        });
        async move { answer }.boxed()
    }
}
