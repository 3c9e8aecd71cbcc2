//! Headers between callers and upstreams, whose HTTP libraries have types of their own.

use actix_web::http::header::{
    CONNECTION, HeaderMap as CallerHeaders, HeaderName as CallerName, HeaderValue as CallerValue,
};
use damaskhatch_exchange::{HeaderMap, HeaderName, HeaderValue};

/// Headers that concern one connection only, or that each connection sets itself.
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
/// Headers of requests that concern this host only.
const FOR_THIS_HOST: [&str; 3] = ["authorization", "expect", "proxy-authorization"];

/// A caller's headers as an upstream may see them, but for those that `is_dropped` names.
pub fn to_upstream(headers: &CallerHeaders, is_dropped: impl Fn(&str) -> bool) -> HeaderMap {
    let listed = headers.get_all(CONNECTION).filter_map(|value| value.to_str().ok());
    let named: Vec<String> =
        listed.flat_map(|list| list.split(',')).map(|n| n.trim().to_ascii_lowercase()).collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let text = name.as_str();
        let is_here = PER_CONNECTION.contains(&text) || FOR_THIS_HOST.contains(&text);
        if is_here || is_dropped(text) || named.iter().any(|n| n == text) {
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

/// Sets a header towards an upstream; a value that is no header value is left out.
pub fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        headers.insert(name, value);
    }
}

/// An upstream's headers as a caller may see them.
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
