//! Bytes that a caller or a host has not read yet when the next request or the end of a connection comes.
//!
//! The HTTP server serves the requests of a connection one after the other, and keeps the responses that the
//! kernel does not take yet, without a limit on those without a body. So a request waits while its
//! caller leaves earlier responses unread.
//!
//! The HTTP server reads the rest of a chunked body that nobody holds any more, however long that takes.
//! While a body is held, it closes the connection after the response instead.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::dev::{Payload, ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web::Bytes;
use actix_web::{Error, HttpMessage as _};
use futures_util::stream::{self, Stream as _};

use super::closed::Connection;

/// A response's body that holds something until the server is done with it.
#[derive(Debug)]
pub struct Holding<T> {
    body: BoxBody,
    _held: T,
}

impl<T> Holding<T> {
    /// Holds `held` as long as `body`.
    pub const fn new(body: BoxBody, held: T) -> Self {
        Self { body, _held: held }
    }
}

impl<T: Unpin> MessageBody for Holding<T> {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(cx)
    }
}

/// Leaves a request unserved while its caller leaves earlier responses unread.
///
/// # Errors
///
/// Fails as the handler does.
pub async fn wait_for_caller<B: MessageBody + 'static>(
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error> {
    if let Some(connection) = Connection::of(request.request()) {
        connection.wait_writable().await;
    }
    next.call(request).await
}

/// Has the server close the connection after a response to a chunked request whose body was not read.
///
/// # Errors
///
/// Fails as the handler does.
pub async fn close_after_response(
    mut request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    if !request.chunked().unwrap_or(false) {
        return Ok(next.call(request).await?.map_into_boxed_body());
    }
    let held = Rc::new(RefCell::new(request.take_payload()));
    let shared = Rc::clone(&held);
    let read = stream::poll_fn(move |cx| Pin::new(&mut *shared.borrow_mut()).poll_next(cx));
    request.set_payload(Payload::Stream { payload: Box::pin(read) });
    let response = next.call(request).await?.map_into_boxed_body();
    Ok(response.map_body(|_head, body| BoxBody::new(Holding::new(body, held))))
}
