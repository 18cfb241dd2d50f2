//! Encoding of the log's messages, and decoding of valid and corrupted bytes.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use sesamegap_platform::log::frame::{Append, Appended, Body, Expired, PageFrame};
use sesamegap_platform::{Page, Record};
use sesamegap_wire::{Offset, codec};

fn cases() -> QuickCheck {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(2000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 13))
        .tests(cases)
}

fn page(bodies: Vec<Vec<u8>>, from: u64) -> Page {
    let from = from % 1000;
    let record = |(offset, body): (u64, Vec<u8>)| Record {
        offset: Offset(offset),
        time_ms: offset,
        body: Bytes::from(body),
    };
    let end = Offset(from + bodies.len() as u64);
    Page {
        records: (from..).zip(bodies).map(record).collect(),
        next: end,
        end,
    }
}

#[test]
fn a_page_round_trips() {
    fn round_trips(bodies: Vec<Vec<u8>>, from: u64) -> bool {
        let page = page(bodies, from);
        let bytes = codec::encode(&PageFrame::from(page.clone())).unwrap();
        let back: PageFrame = codec::decode(&bytes).unwrap();
        Page::from(back) == page
    }
    cases().quickcheck(round_trips as fn(Vec<Vec<u8>>, u64) -> bool);
}

#[test]
fn an_append_round_trips() {
    fn round_trips(bodies: Vec<Vec<u8>>) -> bool {
        let records: Vec<_> = bodies.into_iter().map(|b| Body(b.into())).collect();
        let sent = Append {
            records: records.clone(),
        };
        let bytes = codec::encode(&sent).unwrap();
        codec::decode::<Append>(&bytes).unwrap().records == records
    }
    cases().quickcheck(round_trips as fn(Vec<Vec<u8>>) -> bool);
}

/// The platform sends garbage, or its data is corrupted in transit.
#[test]
fn arbitrary_bytes_are_decoded_without_a_panic() {
    fn decode_all(bytes: &[u8]) {
        drop(codec::decode::<PageFrame>(bytes));
        drop(codec::decode::<Append>(bytes));
        drop(codec::decode::<Appended>(bytes));
        drop(codec::decode::<Expired>(bytes));
    }
    fn garbage(bytes: Vec<u8>) -> bool {
        decode_all(&bytes);
        true
    }
    fn corrupted(bodies: Vec<Vec<u8>>, at: usize, byte: u8, cut: usize) -> bool {
        let mut bytes = codec::encode(&PageFrame::from(page(bodies, 3))).unwrap();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(1 + cut % bytes.len());
        decode_all(&bytes);
        true
    }
    cases().quickcheck(garbage as fn(Vec<u8>) -> bool);
    cases().quickcheck(corrupted as fn(Vec<Vec<u8>>, usize, u8, usize) -> bool);
}
