//! Decoding of events and refusals, valid and corrupted.

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
fn a_chunk_is_accepted_only_by_its_own_attempt() {
    fn accepted_by_own_attempt(kind: u8, seq: u64, attempt: u32, asked: (u64, u32)) -> bool {
        let chunk = chunk(kind, seq);
        let envelope = Envelope {
            request: request(seq % 3),
            attempt: attempt % 2,
            chunk: chunk.clone(),
        };
        let data = serde_json::to_string(&envelope).unwrap();
        let asked = (asked.0 % 3, asked.1 % 2);
        match ChunkDecoder::new(&request(asked.0), asked.1).decode(&data) {
            Ok(decoded) => asked == (seq % 3, attempt % 2) && decoded == chunk,
            Err(error) => asked != (seq % 3, attempt % 2) && error.fault() == Fault::Crossed,
        }
    }
    cases().quickcheck(accepted_by_own_attempt as fn(u8, u64, u32, (u64, u32)) -> bool);
}

/// An upstream sends garbage, or its data is truncated or corrupted in transit.
#[test]
fn corrupted_data_is_an_error_and_not_a_panic() {
    fn corrupted(kind: u8, cut: usize, garbage: String) -> bool {
        let envelope = Envelope {
            request: request(1),
            attempt: 0,
            chunk: chunk(kind, 5),
        };
        let json = serde_json::to_string(&envelope).unwrap();
        let mut at = cut % json.len();
        while !json.is_char_boundary(at) {
            at -= 1;
        }
        let data = format!("{}{garbage}", &json[..at]);
        data == json
            || ChunkDecoder::new(&request(1), 0)
                .decode(&data)
                .is_err_and(|e| e.ran() == Ran::Unknown)
    }
    fn garbage(data: String) -> bool {
        ChunkDecoder::new(&request(1), 0).decode(&data).is_err()
    }
    cases().quickcheck(corrupted as fn(u8, usize, String) -> bool);
    cases().quickcheck(garbage as fn(String) -> bool);
}

/// A refusal applied to another request would wrongly report that this one did not run.
#[test]
fn a_refusal_applies_only_to_its_own_attempt() {
    fn applies_to_own_attempt(seq: u64, attempt: u32) -> bool {
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
    cases().quickcheck(applies_to_own_attempt as fn(u64, u32) -> bool);
}
