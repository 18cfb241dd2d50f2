//! The count of an event's bytes against a naive one.

use quickcheck::{Gen, QuickCheck};
use sesamegap_http::sse::EventSizeLimit;

/// The longest event of a text, its line ends of whatever kind counted as one byte.
fn longest(text: &str) -> usize {
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut longest = 0;
    let mut event = 0;
    for line in text.split_inclusive('\n') {
        event += line.len();
        longest = longest.max(event);
        if line == "\n" {
            event = 0;
        }
    }
    longest
}

fn cases() -> QuickCheck {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(2000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(cases)
}

/// A text of few different characters, so that line ends of all kinds meet.
fn text(codes: Vec<u8>) -> String {
    let letter = |code: u8| ['a', '\n', '\r'][usize::from(code % 3)];
    codes.into_iter().map(letter).collect()
}

#[test]
fn the_meter_agrees_with_counting_by_lines() {
    fn agrees(codes: Vec<u8>, cut: usize, limit: usize) -> bool {
        let text = text(codes);
        let limit = limit % 20;
        let (head, tail) = text.as_bytes().split_at(cut % (text.len() + 1));
        let mut meter = EventSizeLimit::new(limit);
        let allowed = meter.allows(head) && meter.allows(tail);
        allowed == (longest(&text) <= limit)
    }
    cases().quickcheck(agrees as fn(Vec<u8>, usize, usize) -> bool);
}

/// The same test must catch a meter that forgets its count where a chunk ends.
#[test]
fn a_meter_that_starts_anew_with_each_chunk_is_caught() {
    let text = "aaaa";
    let (head, tail) = text.as_bytes().split_at(2);
    let forgetful = EventSizeLimit::new(3).allows(head) && EventSizeLimit::new(3).allows(tail);
    assert_ne!(forgetful, longest(text) <= 3);
}
