//! The two passes over the logs.

use super::belief::Beliefs;
use super::line::{Line, Said, Step};
use super::source::{Counts, Source};
use smol_str::SmolStr;
use std::io;

/// Lines of a request that are kept: it is sent some tens of times at most.
const KEPT: usize = 500;

/// What the logs tell of one request.
#[derive(Debug)]
pub struct Story {
    /// Its id.
    pub id: SmolStr,
    /// Its lines, in order of time.
    pub steps: Vec<Line>,
    /// What was believed meanwhile.
    pub beliefs: Beliefs,
    /// Lines that could not be used.
    pub counts: Counts,
    /// Sources that could not be read to their end, by their place, and why.
    pub failed: Vec<(usize, io::Error)>,
}

impl Story {
    /// Reads what the sources tell of a request.
    pub fn read(id: SmolStr, sources: &[Source], mut counts: Counts) -> Self {
        let mut failed = Vec::new();
        let mut steps: Vec<Line> = Vec::new();
        for (place, source) in sources.iter().enumerate() {
            let read = source.each(&mut counts.unreadable, |line| {
                if matches!(&line.said, Said::Step(request, _) if *request == id) {
                    if steps.len() < KEPT {
                        steps.push(line);
                    } else {
                        counts.dropped += 1;
                    }
                }
            });
            failed.extend(read.err().map(|error| (place, error)));
        }
        steps.sort_by_key(|line| line.at);
        let mut beliefs = Beliefs::new(&steps);
        for (place, source) in sources.iter().enumerate() {
            // The first pass has counted what cannot be read.
            let read = source.each(&mut 0, |line| beliefs.take(&line));
            let error = read.err().map(|error| (place, error));
            failed.extend(error.filter(|_| failed.iter().all(|(other, _)| *other != place)));
        }
        Self {
            id,
            steps,
            beliefs: beliefs.sorted(),
            counts,
            failed,
        }
    }

    /// The line that says how it ended.
    pub fn end(&self) -> Option<&Line> {
        let ends =
            |line: &&Line| matches!(line.step(), Some(Step::Ended | Step::Left | Step::Refused));
        self.steps.iter().rfind(ends)
    }

    /// When its last line was logged.
    pub fn last(&self) -> Option<time::OffsetDateTime> {
        self.steps.last().map(|line| line.at)
    }
}
