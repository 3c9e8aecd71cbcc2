//! Streams a response to its caller as server-sent events.

use std::io;

use actix_web::{HttpResponse, web};
use damaskhatch_policy::prelude::*;
use tokio::sync::mpsc;

use super::refusal::Refusal;
use super::{idempotency, openai};

/// A part of a streamed response.
#[derive(Debug)]
pub enum Piece {
    /// Formatted events to send.
    Text(String),
    /// The last events, or the refusal that ends the stream early.
    End(Result<String, Refusal>),
}

/// Builds the response for an event stream that is already complete.
pub fn complete_response(id: Request, body: web::Bytes) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("x-request-id", id.to_string()))
        .body(body)
}

/// The state of a streamed body.
struct Body {
    receiver: mpsc::UnboundedReceiver<Piece>,
    first: Option<String>,
    sent: String,
    /// `None` once the last events have been returned.
    record: Option<idempotency::Record>,
    id: Request,
}

/// Returns the events of a body as they arrive, and records them for repeats.
///
/// An error item ends it if the sender is dropped before the last events.
pub fn events(
    first: String,
    receiver: mpsc::UnboundedReceiver<Piece>,
    id: Request,
    record: idempotency::Record,
) -> impl futures_util::Stream<Item = io::Result<web::Bytes>> {
    let (first, record) = (Some(first), Some(record));
    let state = Body { receiver, first, sent: String::new(), record, id };
    futures_util::stream::try_unfold(state, async |mut state| {
        Ok(state.next_text().await?.map(|text| (web::Bytes::from(text), state)))
    })
}

impl Body {
    /// The next events to send; `None` once the last have been sent.
    async fn next_text(&mut self) -> io::Result<Option<String>> {
        if let Some(first) = self.first.take() {
            return Ok(Some(self.record_sent(first)));
        }
        if self.record.is_none() {
            return Ok(None);
        }
        let piece = self.receiver.recv().await.ok_or_else(|| {
            io::Error::other(format!("generation of request {} ended before its end", self.id))
        })?;
        Ok(Some(match piece {
            Piece::Text(text) => self.record_sent(text),
            Piece::End(end) => self.finish(end),
        }))
    }

    /// Returns the last events and records the response.
    fn finish(&mut self, end: Result<String, Refusal>) -> String {
        let id = self.id;
        let text = end.unwrap_or_else(|refusal| openai::event(&refusal.body(id)));
        let text = self.record_sent(text);
        if let Some(record) = self.record.take() {
            let sent = std::mem::take(&mut self.sent);
            record.finish(idempotency::Response::event_stream(sent, id));
        }
        text
    }

    /// Appends events to the recording if the request has an idempotency key.
    fn record_sent(&mut self, text: String) -> String {
        if self.record.as_ref().is_some_and(idempotency::Record::is_keyed) {
            self.sent.push_str(&text);
        }
        text
    }
}
