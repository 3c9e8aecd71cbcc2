//! Streams an answer to its caller as server-sent events.

use actix_web::{HttpResponse, web};
use damaskhatch_policy::prelude::*;
use tokio::sync::mpsc;

use super::refusal::Refusal;
use super::{idempotency, openai};

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Piece {
    /// Events to send.
    Text(String),
    /// The last events, or why the answer breaks off.
    End(Result<String, Refusal>),
}

/// An event stream that is whole already.
pub fn complete_response(id: Request, body: web::Bytes) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("x-request-id", id.to_string()))
        .body(body)
}

struct Streaming {
    receiver: mpsc::UnboundedReceiver<Piece>,
    first: Option<String>,
    sent: String,
    record: Option<idempotency::Record>,
    id: Request,
}

/// The body that sends pieces as they come, and records what it sent.
pub fn body(
    first: String,
    receiver: mpsc::UnboundedReceiver<Piece>,
    id: Request,
    record: idempotency::Record,
) -> impl futures_util::Stream<Item = Result<web::Bytes, std::io::Error>> {
    let (first, record) = (Some(first), Some(record));
    let state = Streaming { receiver, first, sent: String::new(), record, id };
    futures_util::stream::unfold(state, |mut state| async move {
        let text = state.next().await?;
        Some((Ok(web::Bytes::from(text)), state))
    })
}

impl Streaming {
    async fn next(&mut self) -> Option<String> {
        if let Some(first) = self.first.take() {
            return Some(self.keep(first));
        }
        match self.receiver.recv().await? {
            Piece::Text(text) => Some(self.keep(text)),
            Piece::End(end) => {
                let id = self.id;
                let text = end.unwrap_or_else(|refusal| openai::event(&refusal.body(id)));
                let text = self.keep(text);
                let record = self.record.take()?;
                record.finish(idempotency::Response::event_stream(
                    std::mem::take(&mut self.sent),
                    id,
                ));
                Some(text)
            }
        }
    }

    /// Keeps what is sent for a repeat, where the caller named an idempotency key.
    fn keep(&mut self, text: String) -> String {
        if self.record.as_ref().is_some_and(idempotency::Record::is_kept) {
            self.sent.push_str(&text);
        }
        text
    }
}
