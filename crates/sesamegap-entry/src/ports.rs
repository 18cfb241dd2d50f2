//! Interfaces that an adapter implements for the platform on which the process runs.

use crate::catalogue::Document;
use crate::fleet::Entry;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::header::HeaderName;
use serde::{Deserialize, Serialize};
use sesamegap_policy::agreement::timelines::{ReportedTimeline, TimelineStatus};
use sesamegap_policy::quarantine;
use sesamegap_policy::resumption::Partition;
use sesamegap_wire::{
    Fence, Incarnation, LogPosition, Offset, ParseError, RequestRate, ServiceId, SoftwareVersion,
    TeamId, Timeline, Tokens, UpstreamId, VmId, WeightsVersion, WorkPercent,
};
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A table of the store, which consists of the newest record of each key and a log of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Table {
    /// Documents and named weights.
    Settings,
    /// Upstreams.
    Fleet,
    /// Entry VMs.
    Vms,
    /// Requests during which upstreams crashed.
    Quarantine,
    /// Software versions that can have begun streams which still go on.
    Versions,
}

/// A decoded record of a table.
#[derive(Debug, Clone)]
pub enum Record {
    /// The operator published a document.
    Document(Arc<Document>),
    /// The operator named weights.
    Weights(Weights),
    /// An upstream's entry.
    Upstream(UpstreamId, Box<Entry>),
    /// An upstream's entry was removed.
    Removed(UpstreamId),
    /// The address at which an entry VM receives its peers' messages.
    Vm(VmId, SocketAddr),
    /// An entry VM's entry was removed.
    VmRemoved(VmId),
    /// A quarantine record of a request during which upstreams crashed.
    Quarantine(Box<quarantine::Record>),
    /// The software versions of a service that can have begun streams which still go on.
    Versions(ServiceId, BTreeSet<SoftwareVersion>),
    /// A record that cannot be decoded.
    Unreadable(Unreadable),
}

/// Longest key or field name in a report on an undecodable record, in bytes. No valid key is longer, but another
/// writer's key may be as long as the store accepts.
const MAX_NAME_BYTES: usize = 64;

/// Longest reason in such a report, in bytes. A few of them fit into one datagram and into a log line.
const MAX_REASON_BYTES: usize = 120;

/// Report on a record that cannot be decoded: its location and the error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// The table that it belongs to.
    pub table: Table,
    /// Its offset in the log.
    pub offset: Offset,
    /// Its key, as far as it can be decoded.
    pub key: SmolStr,
    /// The field that is missing or invalid; unset if the record cannot be decoded at all.
    pub field: Option<SmolStr>,
    /// The reason.
    pub why: SmolStr,
}

impl Unreadable {
    /// Creates a report; text chosen by another writer is truncated and escaped.
    pub fn new(table: Table, offset: Offset, key: &str, why: &dyn fmt::Display) -> Self {
        Self {
            table,
            offset,
            key: escape_and_truncate(key, MAX_NAME_BYTES),
            field: None,
            why: escape_and_truncate(&why.to_string(), MAX_REASON_BYTES),
        }
    }

    /// Sets the field that is missing or invalid.
    #[must_use]
    pub fn with_field(mut self, field: &str) -> Self {
        self.field = Some(escape_and_truncate(field, MAX_NAME_BYTES));
        self
    }
}

/// Escapes text to one line and truncates it to about `max_bytes`; truncated text ends with an ellipsis.
///
/// No valid name contains the ellipsis, so a truncated key is never mistaken for another upstream's key.
fn escape_and_truncate(text: &str, max_bytes: usize) -> SmolStr {
    let mut escaped = text.chars().flat_map(char::escape_default);
    let shown: String = escaped.by_ref().take(max_bytes).collect();
    match escaped.next() {
        Some(_) => format_smolstr!("{shown}…"),
        None => shown.into(),
    }
}

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: SmolStr,
    /// The version.
    pub version: WeightsVersion,
}

/// Records of a table as returned by the store, and where to continue reading.
#[derive(Debug, Clone)]
pub struct Records {
    /// Records in log order.
    pub records: Vec<(Offset, Record)>,
    /// Offset to read from next.
    pub next: Offset,
    /// End of the log; records up to it are still to be read.
    pub end: Offset,
    /// Number of calls that the read took.
    pub calls: u32,
}

/// Records of a table on one timeline, and where to continue reading.
#[derive(Debug, Clone)]
pub struct Batch {
    /// Records in log order.
    pub records: Vec<(LogPosition, Record)>,
    /// Position to read from next.
    pub next: LogPosition,
    /// End of the log; records up to it are still to be read.
    pub end: LogPosition,
}

/// Error of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not process the call: it is rate limiting or rejecting calls.
    Busy,
    /// The requested records were removed by compaction; carries the offset of the oldest remaining one.
    Compacted(Offset),
    /// The expected end of a conditional append did not match; carries the end of the log.
    Conflict(Offset),
    /// The store was restored from a backup, and the requested position belongs to an earlier timeline; carries the
    /// current one.
    Restored(Timeline),
    /// The reply does not belong to the current timeline.
    OffTimeline(TimelineStatus),
    /// The connection failed.
    Unreached(String),
    /// No reply; an append may have been applied, or may still be.
    Unanswered(String),
    /// The reply cannot be decoded.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("the store rejected the call"),
            Self::Compacted(first) => write!(f, "records before {first} were compacted"),
            Self::Conflict(end) => write!(f, "the log ends at {end}"),
            Self::Restored(timeline) => write!(f, "the log moved to timeline {timeline}"),
            Self::OffTimeline(status) => write!(f, "not from the current timeline: {status:?}"),
            Self::Unreached(why) => write!(f, "connection failed: {why}"),
            Self::Unanswered(why) => write!(f, "no reply: {why}"),
            Self::Malformed(why) => write!(f, "malformed reply: {why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Reply to a call to the store.
#[derive(Debug, Clone)]
pub struct Reply<T> {
    /// The timeline that the reply reports; unset if there was no reply.
    pub timeline: Option<ReportedTimeline>,
    /// The result of the call.
    pub outcome: Result<T, StoreError>,
}

/// The future of a call to the store.
pub type StoreCall<'a, T> = BoxFuture<'a, Reply<T>>;

/// The durable store; offsets refer to the timeline that the reply reports.
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads the newest record of each key of a table.
    fn snapshot(&self, table: Table) -> StoreCall<'_, Records>;

    /// Reads changes starting at an offset; waits at most `wait` for the first one.
    fn changes(&self, table: Table, from: Offset, wait: Duration) -> StoreCall<'_, Records>;

    /// Writes this VM's entry.
    fn write_vm_entry(&self, vm: &VmId, peers: SocketAddr) -> StoreCall<'_, ()>;

    /// Removes an entry VM's entry, if the list's log ends at this offset; returns the new end.
    fn remove_vm_entry(&self, vm: &VmId, at: Offset) -> StoreCall<'_, Offset>;

    /// Writes quarantine records of requests during which upstreams crashed; each replaces its previous record.
    fn write_quarantine_records(&self, records: &[quarantine::Record]) -> StoreCall<'_, ()>;

    /// Writes the software versions of a service that can have begun streams which still go on.
    fn write_versions(
        &self,
        service: &ServiceId,
        versions: &BTreeSet<SoftwareVersion>,
    ) -> StoreCall<'_, ()>;

    /// Reads a partition of the log of streams starting at an offset; returns the records and where to continue.
    fn stream_records(
        &self,
        partition: Partition,
        from: Offset,
    ) -> StoreCall<'_, (Vec<Bytes>, Offset)>;

    /// Appends a record to a partition of the log of streams.
    fn append_streams(&self, partition: Partition, record: Bytes) -> StoreCall<'_, ()>;

    /// Reads the lease log starting at an offset; returns the records and the end of the log.
    fn lease_records(&self, from: Offset) -> StoreCall<'_, (Vec<Bytes>, Offset)>;

    /// Appends to the lease log if the log ends at this offset.
    fn lease_append(&self, record: Bytes, at: Offset) -> StoreCall<'_, Offset>;
}

/// A named part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its name, the same in all prompts that share the part.
    pub name: SmolStr,
    /// Its length in tokens.
    pub tokens: Tokens,
}

/// Parsed headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Id of the attempt.
    pub id: SmolStr,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<SmolStr>,
    /// The requested model.
    pub model: Option<SmolStr>,
    /// The parts of the prompt, in order; only the last one is not shared.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt and the longest answer, if the request states them.
    pub usage: Option<u64>,
    /// Id of the last event that the caller received of a stream that it takes up again.
    pub after: Option<SmolStr>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumes: Option<SmolStr>,
}

/// Values that the process sends to an upstream in the headers of a request.
#[derive(Debug, Clone, Default)]
pub struct Dispatch {
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// The intended upstream instance.
    pub upstream: Option<UpstreamId>,
    /// The team of the caller.
    pub team: Option<TeamId>,
    /// Cache namespace.
    pub namespace: Option<SmolStr>,
    /// Weights version that the engine must hold.
    pub weights: Option<WeightsVersion>,
    /// Address to fetch cached parts from.
    pub fetch: Option<SocketAddr>,
    /// Address to save parts to.
    pub save: Option<SocketAddr>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Event id after which to resume, in place of the one from the caller.
    pub after: Option<u64>,
}

/// Parsed headers of an upstream's response.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// Id of the attempt that it responds to.
    pub id: Option<SmolStr>,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// The upstream instance that responded.
    pub upstream: Option<UpstreamId>,
    /// The load that the upstream reports.
    pub load: Option<Load>,
    /// The weights version that the upstream holds.
    pub weights: Option<WeightsVersion>,
    /// Whether the response carries the upstream's seal header.
    pub sealed: bool,
    /// Rejections a second above which the upstream falls over, if it says that it is brittle.
    pub brittle: Option<u32>,
    /// Requests a second that the upstream takes from all VMs together, if it names such a limit, or the error if its limit
    /// cannot be read.
    pub limit: Option<Result<RequestRate, ParseError>>,
}

/// Load that an upstream reports in its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes on its machine at this moment, if it says so.
    pub work: Option<WorkPercent>,
}

/// Why the headers of a request are rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHeader(pub &'static str);

/// Parses and writes the platform's headers.
pub trait Headers: fmt::Debug + Send + Sync {
    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// If a required header is missing or malformed.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, InvalidHeader>;

    /// Returns the headers that only the process may set, and those that it does not forward.
    fn reserved(&self) -> &[HeaderName];

    /// Returns the headers that are end-to-end even if a caller lists them in its `Connection` header.
    fn essential(&self) -> &[HeaderName];

    /// Writes the headers for an upstream.
    fn write_dispatch(&self, dispatch: &Dispatch, headers: &mut HeaderMap);

    /// Parses the headers of an upstream's response.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead;
}

/// State that an engine reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Weights that it holds.
    pub weights: Vec<Weights>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted.
    pub orders: u64,
    /// Incarnation that it refers to; unset if not reported.
    pub born: Option<Incarnation>,
}

/// Reply of a cache to a poll for changes of its contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Sequence number for the next poll; valid only within one incarnation of the cache.
    pub next: u64,
    /// Incarnation that it refers to; unset if not reported.
    pub born: Option<Incarnation>,
}

/// How requests in progress are handled when weights are loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunningRequests {
    /// The engine finishes them before it loads the weights.
    Finish,
    /// They continue with the new weights.
    Continue,
}

/// An order to load weights.
#[derive(Debug, Clone)]
pub struct LoadOrder {
    /// The weights to load.
    pub weights: Weights,
    /// How running requests are handled.
    pub running: RunningRequests,
    /// The lease holder that gives the order.
    pub holder: VmId,
    /// Fencing number of the lease.
    pub fence: Fence,
    /// Number of orders that the engine must have accepted before this one.
    pub expected: u64,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted the order and is carrying it out.
    Taken,
    /// The engine already holds the weights.
    Holds,
    /// Another order is in progress or was accepted in between.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another instance uses the address.
    Elsewhere,
    /// The engine rejects the order permanently.
    Invalid,
}

/// The future of a call to an engine; the error is the reason for the missing response.
pub type EngineCall<'a, T> = BoxFuture<'a, Result<T, String>>;

/// Queries engines and gives them orders.
pub trait Engines: fmt::Debug + Send + Sync {
    /// Queries the state of an engine.
    fn report(&self, addr: SocketAddr) -> EngineCall<'_, EngineReport>;

    /// Polls a cache for changes of its contents; waits at most `wait`.
    fn cache_update(
        &self,
        addr: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> EngineCall<'_, CacheUpdate>;

    /// Orders an engine to load weights.
    fn load(
        &self,
        addr: SocketAddr,
        engine: UpstreamId,
        order: LoadOrder,
    ) -> EngineCall<'_, OrderAnswer>;
}

/// All interfaces that an adapter provides to a process.
#[derive(Debug, Clone)]
pub struct Ports {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Headers.
    pub headers: Arc<dyn Headers>,
    /// Engines.
    pub engines: Arc<dyn Engines>,
}
