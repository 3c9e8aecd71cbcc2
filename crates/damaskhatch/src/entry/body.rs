//! Streams a response's body so that its caller can tell a failure from the end.
//!
//! An HTTP/1.1 caller notices a failure by the missing last chunk. A body for an HTTP/1.0 caller ends
//! with its connection, so only a reset shows the failure: its connection is set to be reset from the
//! beginning to the end of the body, which also shows that this process was killed meanwhile. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#ends-of-responses).

use std::convert::Infallible;
use std::io;

use actix_web::body::SizedStream;
use actix_web::http::{ConnectionType, Version};
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use futures_util::stream::{Stream, StreamExt};
use tokio::task::yield_now;

use super::closed::Connection;

/// The most bytes of a complete body that the server copies at a time.
const PIECE_BYTES: usize = 32 << 10;

/// Builds a response with a complete body.
///
/// The server copies a body as a whole before the caller takes any of it, so a long one is handed over in
/// pieces.
pub fn complete(mut response: HttpResponseBuilder, body: Bytes) -> HttpResponse {
    if body.len() <= PIECE_BYTES {
        return response.body(body);
    }
    let length = body.len();
    let pieces = (0..length)
        .step_by(PIECE_BYTES)
        .map(move |from| Ok::<_, Infallible>(body.slice(from..length.min(from + PIECE_BYTES))));
    response.body(SizedStream::new(length as u64, futures_util::stream::iter(pieces)))
}

/// Builds a response with a streamed body; an error item closes the caller's connection without
/// the end of the body.
pub fn streaming(
    request: &HttpRequest,
    mut response: HttpResponseBuilder,
    body: impl Stream<Item = io::Result<Bytes>> + 'static,
) -> HttpResponse {
    let has_chunks = request.version() >= Version::HTTP_11;
    let connection = Connection::of(request).filter(|_| !has_chunks);
    if let Some(connection) = &connection {
        connection.reset_on_close();
    }
    let body = body.then(move |item| async move {
        if item.is_err() {
            // The server sends the items before the failure while it waits for this one.
            yield_now().await;
        }
        item
    });
    // The server polls no further after a failure.
    let end = futures_util::stream::once(async move {
        if let Some(connection) = connection {
            connection.end_on_close();
        }
        None
    });
    let body = body.map(Some).chain(end).filter_map(std::future::ready);
    let mut response = response.streaming(body);
    if !has_chunks {
        response.head_mut().no_chunking(true);
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}
