//! Fuzzes the putting together of answers.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sesamegap::router::streams::{Assembly, Step};
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{Seq, Tokens};

/// What happens to one chunk on its way.
#[derive(Debug, Clone, Copy)]
enum Luck {
    Arrives,
    Lost,
    Doubled,
    /// Swapped with the next one.
    Overtaken,
    /// The connection breaks here.
    Cut,
}

impl Arbitrary for Luck {
    fn arbitrary(g: &mut Gen) -> Self {
        // Most chunks arrive, so that long answers come to their end.
        let kinds = [
            Self::Arrives,
            Self::Arrives,
            Self::Arrives,
            Self::Arrives,
            Self::Lost,
            Self::Doubled,
            Self::Overtaken,
            Self::Cut,
        ];
        *g.choose(&kinds).expect("there are kinds")
    }
}

/// What one connection delivers of an answer of `count` tokens, from a place on.
fn deliver(from: u64, count: u64, lucks: &mut impl Iterator<Item = Luck>) -> Vec<Chunk> {
    let mut sent = vec![Chunk::Start { cached: Tokens(0) }];
    sent.extend((from..count).map(|seq| Chunk::Token {
        seq: Seq(seq),
        text: format!("{seq} ").into(),
    }));
    sent.push(Chunk::End { count: Seq(count) });
    let mut got = Vec::new();
    let mut overtaken = None;
    for chunk in sent {
        match lucks.next().unwrap_or(Luck::Arrives) {
            Luck::Lost => {}
            Luck::Doubled => got.extend([chunk.clone(), chunk]),
            Luck::Overtaken if overtaken.is_none() => {
                overtaken = Some(chunk);
                continue;
            }
            Luck::Arrives | Luck::Overtaken => got.push(chunk),
            Luck::Cut => break,
        }
        got.extend(overtaken.take());
    }
    got
}

/// Puts an answer together over as many connections as it takes, at most `most`.
///
/// Returns the text and whether it was said to be whole.
fn receive(
    count: u64,
    lucks: Vec<Luck>,
    most: usize,
    mut feed: impl FnMut(&mut Assembly, Chunk) -> Step,
) -> (String, bool) {
    let mut lucks = lucks.into_iter();
    let mut assembly = Assembly::default();
    let mut text = String::new();
    for _ in 0..most {
        for chunk in deliver(assembly.next().0, count, &mut lucks) {
            match feed(&mut assembly, chunk) {
                Step::Text(more) => text.push_str(&more),
                Step::Gap => break,
                Step::Whole => return (text, true),
                Step::Nothing | Step::Started(_) => {}
            }
        }
    }
    (text, false)
}

fn expected(count: u64) -> String {
    let tokens: Vec<_> = (0..count).map(|seq| format!("{seq} ")).collect();
    tokens.concat()
}

/// Whether a caller got the whole answer once, or was told that it is not whole.
fn holds(count: u8, lucks: Vec<Luck>, feed: impl FnMut(&mut Assembly, Chunk) -> Step) -> bool {
    let count = u64::from(count % 40);
    let most = lucks.len() + 1;
    let (text, whole) = receive(count, lucks, most, feed);
    if whole {
        text == expected(count)
    } else {
        expected(count).starts_with(&text)
    }
}

fn cases() -> u64 {
    let set = std::env::var("SESAMEGAP_CASES").ok();
    set.and_then(|cases| cases.parse().ok()).unwrap_or(2000)
}

#[test]
fn an_answer_is_whole_and_once_or_said_not_to_be() {
    let property = |count: u8, lucks: Vec<Luck>| holds(count, lucks, Assembly::feed);
    QuickCheck::new()
        .tests(cases())
        .quickcheck(property as fn(u8, Vec<Luck>) -> bool);
}

/// With no more bad luck than connections, the answer does become whole.
#[test]
fn an_answer_becomes_whole_in_the_end() {
    fn property(count: u8, lucks: Vec<Luck>) -> bool {
        let count = u64::from(count % 40);
        let most = lucks.len() + 1;
        receive(count, lucks, most, Assembly::feed) == (expected(count), true)
    }
    QuickCheck::new()
        .tests(cases())
        .quickcheck(property as fn(u8, Vec<Luck>) -> bool);
}

/// Variants that pass on whatever comes, or believe any end, must be caught.
#[test]
fn broken_variants_are_caught() {
    fn trusting(assembly: &mut Assembly, chunk: Chunk) -> Step {
        match (chunk, assembly) {
            (Chunk::Token { text, .. }, _) => Step::Text(text),
            (chunk, assembly) => assembly.feed(chunk),
        }
    }
    fn hasty(assembly: &mut Assembly, chunk: Chunk) -> Step {
        match chunk {
            Chunk::End { .. } => Step::Whole,
            chunk => assembly.feed(chunk),
        }
    }
    type Feed = fn(&mut Assembly, Chunk) -> Step;
    for feed in [trusting as Feed, hasty] {
        let mut g = Gen::new(64);
        let caught = (0..cases()).any(|_| {
            let (count, lucks) = (u8::arbitrary(&mut g), Vec::arbitrary(&mut g));
            !holds(count, lucks, feed)
        });
        assert!(caught);
    }
}
