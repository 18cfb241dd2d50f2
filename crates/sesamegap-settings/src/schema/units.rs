//! Parsing and formatting of durations and sizes with units.

use std::time::Duration;

const SPANS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SIZES: [(&str, u64); 4] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("B", 1),
];

fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

fn format_scaled(count: u64, units: &[(&str, u64)]) -> String {
    let fits = |(_, factor): &&(&str, u64)| count >= *factor && count.is_multiple_of(*factor);
    let best = units.iter().filter(fits).max_by_key(|(_, factor)| *factor);
    let (name, factor) = best.or(units.iter().min_by_key(|u| u.1)).expect("units");
    format!("{}{name}", count / factor)
}

/// Parses a duration such as `250ms`, `2s`, `5m` or `1h`.
pub fn span(text: &str) -> Option<Duration> {
    parse_scaled(text, &SPANS).map(Duration::from_millis)
}

/// Formats a duration so that [`span`] can parse it.
pub fn span_text(span: Duration) -> String {
    format_scaled(u64::try_from(span.as_millis()).unwrap_or(u64::MAX), &SPANS)
}

/// Parses a size such as `512B`, `64KiB`, `8MiB` or `1GiB`.
pub fn size(text: &str) -> Option<u64> {
    parse_scaled(text, &SIZES)
}

/// Formats a size so that [`size`] can parse it.
pub fn size_text(bytes: u64) -> String {
    format_scaled(bytes, &SIZES)
}
