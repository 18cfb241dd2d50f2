//! Which headers go on, in both directions.

use crate::ports::{Dispatch, Headers};
use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Headers that concern one connection only.
const ONE_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    EXPECT,
];

/// Headers without a constant in the library that concern one connection only.
const ONE_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Headers for the upstream: the caller's, less those of its connection and those that only the
/// process may set, and then what the process tells.
pub fn for_upstream(from: &HeaderMap, dispatch: &Dispatch, headers: &dyn Headers) -> HeaderMap {
    let mut kept = without_hop(from, headers.essential());
    for name in headers.reserved() {
        kept.remove(name);
    }
    headers.write_dispatch(dispatch, &mut kept);
    kept
}

/// Headers for the caller: the upstream's, less those of its connection.
pub fn for_caller(from: &HeaderMap) -> HeaderMap {
    without_hop(from, &[])
}

fn without_hop(from: &HeaderMap, essential: &[HeaderName]) -> HeaderMap {
    let mut kept = from.clone();
    // The lengths are set anew by the library for what is really sent.
    kept.remove(CONTENT_LENGTH);
    for name in tied(from) {
        // Without its host a request cannot be told from one to another route.
        if name != HOST && !essential.contains(&name) {
            kept.remove(name);
        }
    }
    for name in ONE_HOP {
        kept.remove(name);
    }
    for name in ONE_HOP_NAMES {
        kept.remove(name);
    }
    kept
}

/// Headers that the sender tied to its connection.
fn tied(from: &HeaderMap) -> Vec<HeaderName> {
    let values = from.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}
