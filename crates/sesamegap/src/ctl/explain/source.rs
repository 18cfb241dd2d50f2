//! Where lines come from: files, or standard input, which can be read only once.

use super::line::{Line, Said};
use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::PathBuf;

/// Bytes of a line that are read; the program's have under 2,000. A file without line ends would
/// else fill the memory.
const LONGEST: u64 = 64 << 10;

/// Lines of standard input that are held, without those of other requests: some 100 MB.
const HELD: usize = 100_000;

/// Where lines come from.
#[derive(Debug)]
pub enum Source {
    /// A file, read for each pass.
    File(PathBuf),
    /// Lines of standard input that may count.
    Held(VecDeque<Line>),
}

/// Lines that could not be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that cannot be read.
    pub unreadable: u64,
    /// Those of standard input that were dropped since too many came.
    pub dropped: u64,
}

impl Source {
    /// Reads standard input and holds what may count for a request.
    ///
    /// # Errors
    ///
    /// What reading failed with.
    pub fn hold(input: impl Read, counts: &mut Counts, id: &str) -> io::Result<Self> {
        let mut held = VecDeque::new();
        lines(input, "-", &mut counts.unreadable, |line| {
            let counted = match &line.said {
                Said::Step(request, _) => request == id,
                Said::Belief(_) | Said::Trouble => true,
                Said::Else => false,
            };
            if counted {
                held.push_back(line);
            }
            if held.len() > HELD {
                held.pop_front();
                counts.dropped += 1;
            }
        })?;
        Ok(Self::Held(held))
    }

    /// Gives each line.
    ///
    /// # Errors
    ///
    /// What opening or reading failed with.
    pub fn each(&self, unreadable: &mut u64, mut take: impl FnMut(Line)) -> io::Result<()> {
        match self {
            Self::File(path) => {
                let stem = path.file_stem().unwrap_or_default().to_string_lossy();
                lines(File::open(path)?, &stem, unreadable, take)
            }
            Self::Held(held) => {
                held.iter().cloned().for_each(&mut take);
                Ok(())
            }
        }
    }
}

fn lines(
    input: impl Read,
    stem: &str,
    unreadable: &mut u64,
    mut take: impl FnMut(Line),
) -> io::Result<()> {
    let mut input = BufReader::new(input);
    let mut bytes = Vec::new();
    let mut within = false;
    loop {
        bytes.clear();
        if input.by_ref().take(LONGEST).read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        // The rest of a line that is too long is no line of its own.
        let long = !bytes.ends_with(b"\n") && bytes.len() as u64 == LONGEST;
        if std::mem::replace(&mut within, long) {
            continue;
        }
        match Line::read(&String::from_utf8_lossy(&bytes), stem) {
            Ok(Some(line)) => take(line),
            Ok(None) => {}
            Err(_) => *unreadable += 1,
        }
    }
}
