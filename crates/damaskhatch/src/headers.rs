//! Converts headers between the HTTP library that serves callers and the one that calls upstreams,
//! without those that must not be forwarded.

use actix_web::http::header::{
    CONNECTION, HeaderMap as CallerHeaders, HeaderName as CallerName, HeaderValue as CallerValue,
};
use damaskhatch_exchange::{HeaderMap, HeaderName, HeaderValue};

/// Hop-by-hop headers, and headers that each connection sets itself.
const PER_CONNECTION: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Request headers that are meant for this host only.
const FOR_THIS_HOST: [&str; 3] = ["authorization", "expect", "proxy-authorization"];

/// The headers of a caller's request to forward to an upstream.
///
/// Leaves out hop-by-hop headers, those that the `Connection` header lists, those meant for this
/// host, and those for which `is_dropped` returns true.
pub fn to_upstream(headers: &CallerHeaders, is_dropped: impl Fn(&str) -> bool) -> HeaderMap {
    let listed = headers.get_all(CONNECTION).filter_map(|value| value.to_str().ok());
    let hop_by_hop: Vec<String> = listed
        .flat_map(|list| list.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let text = name.as_str();
        let is_local = PER_CONNECTION.contains(&text) || FOR_THIS_HOST.contains(&text);
        if is_local || is_dropped(text) || hop_by_hop.iter().any(|name| name == text) {
            continue;
        }
        let name = HeaderName::from_bytes(text.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            kept.append(name, value);
        }
    }
    kept
}

/// Whether the header `name` of a response names another request than `own`, the id that was sent.
pub fn names_another(headers: &HeaderMap, name: &str, own: Option<&[u8]>) -> bool {
    headers.get_all(name).iter().any(|id| Some(id.as_bytes()) != own)
}

/// Sets a header of a request to an upstream; does nothing if the name or value is invalid.
pub fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

/// The headers of an upstream's response to forward to the caller, without hop-by-hop ones.
pub fn to_caller(headers: &HeaderMap) -> CallerHeaders {
    let mut kept = CallerHeaders::new();
    for (name, value) in headers {
        if PER_CONNECTION.contains(&name.as_str()) {
            continue;
        }
        let name = CallerName::from_bytes(name.as_str().as_bytes());
        let value = CallerValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            kept.append(name, value);
        }
    }
    kept
}
