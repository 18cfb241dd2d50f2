//! Filters headers of forwarded requests and responses.

use crate::ports::{Dispatch, Headers};
use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    EXPECT,
];

/// Hop-by-hop headers for which the `http` crate has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Headers for the upstream: the caller's without hop-by-hop headers and without those reserved for this
/// process, plus those that describe the dispatch.
pub fn upstream_headers(from: &HeaderMap, dispatch: &Dispatch, headers: &dyn Headers) -> HeaderMap {
    let mut forwarded = strip_hop_by_hop(from, headers.essential());
    for name in headers.reserved() {
        forwarded.remove(name);
    }
    headers.write_dispatch(dispatch, &mut forwarded);
    forwarded
}

/// Headers for the caller: the upstream's without hop-by-hop headers.
pub fn caller_headers(from: &HeaderMap) -> HeaderMap {
    strip_hop_by_hop(from, &[])
}

/// Headers without those that concern only one connection; `essential` ones stay even if the sender names them as such.
pub fn strip_hop_by_hop(from: &HeaderMap, essential: &[HeaderName]) -> HeaderMap {
    let mut forwarded = from.clone();
    // hyper sets the length of the body that is actually sent.
    forwarded.remove(CONTENT_LENGTH);
    for name in connection_options(from) {
        // Without the host, requests of different routes cannot be told apart.
        if name != HOST && !essential.contains(&name) {
            forwarded.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        forwarded.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        forwarded.remove(name);
    }
    forwarded
}

/// Header names that the sender listed in `Connection`.
fn connection_options(from: &HeaderMap) -> Vec<HeaderName> {
    let values = from.get_all(CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}
