//! Streams a response's body so that its caller can tell a failure from the end.
//!
//! An HTTP/1.1 caller notices a failure by the missing last chunk. A body for an HTTP/1.0 caller ends
//! with its connection, so only a reset shows the failure: its connection is set to be reset from the
//! beginning to the end of the body, which also shows that this process was killed meanwhile. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#ends-of-responses).

use std::cell::RefCell;
use std::io;
use std::rc::{Rc, Weak};

use actix_web::body::SizedStream;
use actix_web::http::{ConnectionType, Version};
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::unread;
use futures_util::stream::{Stream, StreamExt};
use tokio::task::yield_now;
use tokio::time::sleep;

use super::closed::Connection;
use crate::shared::Shared;

/// The most bytes of a complete body that the server copies at a time.
const PIECE_BYTES: usize = 32 << 10;
/// The pause between two looks at whether a caller takes its response.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// What a caller has still to take of a complete body.
#[derive(Debug)]
struct Rest {
    /// Empty once the body has been given up.
    body: Option<Bytes>,
    taken_at: Instant,
}

impl Rest {
    /// The next piece; `None` at the end of the body.
    fn next(&mut self) -> io::Result<Option<Bytes>> {
        self.taken_at = Instant::now();
        let Some(body) = &mut self.body else {
            return Err(io::Error::other("the response was left unread"));
        };
        let piece = body.split_to(body.len().min(PIECE_BYTES));
        Ok(Some(piece).filter(|piece| !piece.is_empty()))
    }
}

/// Gives up a body that its caller leaves unread while other responses need the memory.
async fn give_up_unread(shared: Shared, rest: Weak<RefCell<Rest>>) {
    let memory = &shared.memory.responses;
    loop {
        sleep(LOOK_PAUSE).await;
        let Some(rest) = rest.upgrade() else { return };
        let mut rest = rest.borrow_mut();
        let paused = Instant::now().saturating_duration_since(rest.taken_at);
        if unread::is_given_up(paused, memory.used(), memory.total()) {
            let bytes = rest.body.take().map_or(0, |body| body.len());
            let paused = paused.as_millis();
            log::warn!("event=response_unread bytes={bytes} paused_ms={paused} action=cut_off");
            shared.metrics.unread.inc();
            return;
        }
    }
}

/// Builds a response with a complete body.
///
/// The server copies a body as a whole before the caller takes any of it, so a long one is handed over in
/// pieces. One that the caller leaves unread is given up while memory is short, and its connection closed.
pub fn complete(shared: &Shared, mut response: HttpResponseBuilder, body: Bytes) -> HttpResponse {
    if body.len() <= PIECE_BYTES {
        return response.body(body);
    }
    let length = body.len();
    let rest = Rc::new(RefCell::new(Rest { body: Some(body), taken_at: Instant::now() }));
    actix_rt::spawn(give_up_unread(shared.clone(), Rc::downgrade(&rest)));
    let pieces = futures_util::stream::try_unfold(rest, async |rest| {
        let piece = rest.borrow_mut().next()?;
        Ok::<_, io::Error>(piece.map(|piece| (piece, rest)))
    });
    response.body(SizedStream::new(length as u64, Box::pin(pieces)))
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
