//! Streams a response to its caller as server-sent events.

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
    record: Option<idempotency::Record>,
    id: Request,
}

/// Builds the body that sends pieces as they arrive and records them for repeats.
pub fn body(
    first: String,
    receiver: mpsc::UnboundedReceiver<Piece>,
    id: Request,
    record: idempotency::Record,
) -> impl futures_util::Stream<Item = Result<web::Bytes, std::io::Error>> {
    let (first, record) = (Some(first), Some(record));
    let state = Body { receiver, first, sent: String::new(), record, id };
    futures_util::stream::unfold(state, |mut state| async move {
        let text = state.next_text().await?;
        Some((Ok(web::Bytes::from(text)), state))
    })
}

impl Body {
    /// The next events to send; `None` once the stream has ended.
    async fn next_text(&mut self) -> Option<String> {
        if let Some(first) = self.first.take() {
            return Some(self.record_sent(first));
        }
        match self.receiver.recv().await? {
            Piece::Text(text) => Some(self.record_sent(text)),
            Piece::End(end) => {
                let id = self.id;
                let text = end.unwrap_or_else(|refusal| openai::event(&refusal.body(id)));
                let text = self.record_sent(text);
                let record = self.record.take()?;
                record.finish(idempotency::Response::event_stream(
                    std::mem::take(&mut self.sent),
                    id,
                ));
                Some(text)
            }
        }
    }

    /// Appends events to the recording if the request has an idempotency key.
    fn record_sent(&mut self, text: String) -> String {
        if self.record.as_ref().is_some_and(idempotency::Record::is_keyed) {
            self.sent.push_str(&text);
        }
        text
    }
}
