//! Bodies and heads of answers to callers.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt as _, Full};

/// Why a body ends before it is whole. The caller's connection is then cut, so that
/// a part is never taken for the whole.
pub(crate) type Cut = std::io::Error;

/// A body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Cut>;

/// A body that is there as a whole.
pub(crate) fn whole(content: impl Into<Bytes>) -> Body {
    let full = Full::new(content.into());
    full.map_err(|never| match never {}).boxed_unsync()
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Takes out what concerns one connection only, and what `Connection` names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
