//! Which answer gives way when those that cannot be passed on yet hold too much memory.
//!
//! A VM buffers what it cannot pass on: a part of an event, an error body, a plain answer up to its end. Each is bounded,
//! but a faulty upstream may leave hundreds of them incomplete, and then their sum fills the VM's memory (load); the
//! process ends, and with it the requests of all callers (harm). So one bound holds for the sum. When it is reached, the
//! answer that holds most gives way, among those of the upstream whose answers hold most together: a sound answer is
//! incomplete only for as long as it travels, and a sound upstream's answers hold little beside those that do not end
//! (reason).

use rustc_hash::FxHashMap;
use sesamegap_wire::UpstreamId;

/// An answer that holds memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AnswerId(pub u64);

/// Memory that one answer holds.
#[derive(Debug)]
struct Holding {
    upstream: UpstreamId,
    bytes: usize,
}

/// An answer that gives way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    /// The answer.
    pub id: AnswerId,
    /// Its upstream.
    pub upstream: UpstreamId,
    /// Bytes that it held.
    pub bytes: usize,
}

/// Memory that answers hold, and its bound.
#[derive(Debug)]
pub struct AnswerMemory {
    limit: usize,
    held: usize,
    peak: usize,
    answers: FxHashMap<AnswerId, Holding>,
    upstreams: FxHashMap<UpstreamId, usize>,
}

impl AnswerMemory {
    /// Memory of which nothing is held.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: 0,
            peak: 0,
            answers: FxHashMap::default(),
            upstreams: FxHashMap::default(),
        }
    }

    /// Sets the bound; what is held above it gives way as answers grow.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Most bytes that were held at once.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Lets an answer hold `bytes` in all, and returns those that give way for it. The answer itself may be among them, and
    /// holds nothing then.
    pub fn grow(&mut self, id: AnswerId, upstream: &UpstreamId, bytes: usize) -> Vec<Victim> {
        self.release(id);
        self.held += bytes;
        *self.upstreams.entry(upstream.clone()).or_default() += bytes;
        let holding = Holding {
            upstream: upstream.clone(),
            bytes,
        };
        self.answers.insert(id, holding);
        let mut victims = Vec::new();
        while self.held > self.limit
            && let Some(victim) = self.largest()
        {
            self.release(victim.id);
            victims.push(victim);
        }
        self.peak = self.peak.max(self.held);
        victims
    }

    /// Frees what an answer holds.
    pub fn release(&mut self, id: AnswerId) {
        let Some(Holding { upstream, bytes }) = self.answers.remove(&id) else {
            return;
        };
        self.held -= bytes;
        if let Some(sum) = self.upstreams.get_mut(&upstream) {
            *sum -= bytes;
            if *sum == 0 {
                self.upstreams.remove(&upstream);
            }
        }
    }

    /// The answer that gives way next.
    fn largest(&self) -> Option<Victim> {
        let (heaviest, _) = self
            .upstreams
            .iter()
            .max_by(|a, b| (a.1, a.0).cmp(&(b.1, b.0)))?;
        let of_heaviest = self
            .answers
            .iter()
            .filter(|(_, holding)| holding.upstream == *heaviest);
        let (id, holding) = of_heaviest.max_by_key(|(id, holding)| (holding.bytes, **id))?;
        Some(Victim {
            id: *id,
            upstream: holding.upstream.clone(),
            bytes: holding.bytes,
        })
    }
}
