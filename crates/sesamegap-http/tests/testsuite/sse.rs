//! Compares the event size limit with a naive count.

use quickcheck::{Gen, QuickCheck};
use sesamegap_http::sse::EventSizeLimit;

/// Size of the longest event of a text, with every kind of line ending counted as one byte.
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

/// Builds a text from three characters, so that all kinds of line endings occur next to each other.
fn text(codes: Vec<u8>) -> String {
    let letter = |code: u8| ['a', '\n', '\r'][usize::from(code % 3)];
    codes.into_iter().map(letter).collect()
}

#[test]
fn size_limit_agrees_with_counting_by_lines() {
    fn agrees(codes: Vec<u8>, cut: usize, limit: usize) -> bool {
        let text = text(codes);
        let limit = limit % 20;
        let (head, tail) = text.as_bytes().split_at(cut % (text.len() + 1));
        let mut size_limit = EventSizeLimit::new(limit);
        let allowed = size_limit.allows(head) && size_limit.allows(tail);
        allowed == (longest(&text) <= limit)
    }
    cases().quickcheck(agrees as fn(Vec<u8>, usize, usize) -> bool);
}

/// Checks that the comparison above detects a limit that resets its count at each chunk.
#[test]
fn reset_at_each_chunk_is_detected() {
    let text = "aaaa";
    let (head, tail) = text.as_bytes().split_at(2);
    let resetting = EventSizeLimit::new(3).allows(head) && EventSizeLimit::new(3).allows(tail);
    assert_ne!(resetting, longest(text) <= 3);
}
