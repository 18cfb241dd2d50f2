//! Reading events and refusals from arbitrary bytes.

use quickcheck::{Gen, QuickCheck};
use sesamegap_upstream::engine::decoder::ChunkDecoder;
use sesamegap_upstream::wire::{Envelope, Refusal};
use sesamegap_upstream::{Fault, Ran};
use sesamegap_wire::engine::Chunk;
use sesamegap_wire::{RequestId, Seq, Tokens};

fn cases() -> QuickCheck {
    let cases = std::env::var("SESAMEGAP_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok()).unwrap_or(2000);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(cases)
}

fn request(seq: u64) -> RequestId {
    format!("vm-1~1~{seq:x}").parse().unwrap()
}

fn chunk(kind: u8, number: u64) -> Chunk {
    match kind % 4 {
        0 => Chunk::Start {
            cached: Tokens(number),
        },
        1 => Chunk::Token {
            seq: Seq(number),
            text: "word\n\u{1F511}".into(),
        },
        2 => Chunk::Beat,
        _ => Chunk::End { count: Seq(number) },
    }
}

#[test]
fn a_chunk_is_taken_only_by_its_own_attempt() {
    fn own(kind: u8, seq: u64, attempt: u32, asked: (u64, u32)) -> bool {
        let chunk = chunk(kind, seq);
        let envelope = Envelope {
            request: request(seq % 3),
            attempt: attempt % 2,
            chunk: chunk.clone(),
        };
        let data = serde_json::to_string(&envelope).unwrap();
        let asked = (asked.0 % 3, asked.1 % 2);
        match ChunkDecoder::new(&request(asked.0), asked.1).decode(&data) {
            Ok(taken) => asked == (seq % 3, attempt % 2) && taken == chunk,
            Err(error) => asked != (seq % 3, attempt % 2) && error.fault() == Fault::Crossed,
        }
    }
    cases().quickcheck(own as fn(u8, u64, u32, (u64, u32)) -> bool);
}

/// An upstream sends rubbish, or something on the way cuts or spoils what it sent.
#[test]
fn spoilt_data_is_an_error_and_never_a_panic() {
    fn spoilt(kind: u8, cut: usize, rubbish: String) -> bool {
        let envelope = Envelope {
            request: request(1),
            attempt: 0,
            chunk: chunk(kind, 5),
        };
        let whole = serde_json::to_string(&envelope).unwrap();
        let mut at = cut % whole.len();
        while !whole.is_char_boundary(at) {
            at -= 1;
        }
        let data = format!("{}{rubbish}", &whole[..at]);
        data == whole
            || ChunkDecoder::new(&request(1), 0)
                .decode(&data)
                .is_err_and(|e| e.ran() == Ran::Unknown)
    }
    fn rubbish(data: String) -> bool {
        ChunkDecoder::new(&request(1), 0).decode(&data).is_err()
    }
    cases().quickcheck(spoilt as fn(u8, usize, String) -> bool);
    cases().quickcheck(rubbish as fn(String) -> bool);
}

/// A refusal of one request, believed of another, would be a false promise that it did not run.
#[test]
fn a_refusal_counts_for_its_own_attempt_alone() {
    fn about(seq: u64, attempt: u32) -> bool {
        let refusal = Refusal {
            request: request(1),
            attempt: 0,
            fault: Fault::Busy,
            ran: Ran::No,
            detail: String::new(),
        };
        let error = refusal.into_error_for(&request(seq % 3), attempt % 2);
        let own = (seq % 3, attempt % 2) == (1, 0);
        error.ran() == if own { Ran::No } else { Ran::Unknown }
    }
    cases().quickcheck(about as fn(u64, u32) -> bool);
}
