//! The OpenAI-compatible request and response bodies.

use damaskhatch_policy::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use super::refusal::Refusal;

/// Bytes of text counted as one token; the host runs no tokenizer.
const BYTES_PER_TOKEN: usize = 4;
/// The largest `max_tokens` that is accepted in a request.
const MAX_OUTPUT_TOKENS: u32 = 100_000;

/// The API style of a request, which also decides the form of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    patience_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// A parsed and validated request body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The API style, by the endpoint that the request was sent to.
    pub style: Style,
    /// The model's name, which is the name of a service.
    pub model: String,
    /// The prompt; for a chat, one line `role: content` per message.
    pub prompt: String,
    /// The maximum number of tokens to generate; `None` applies the host's default.
    pub max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events.
    pub stream: bool,
    /// How long the request may wait for capacity; `None` applies the host's limit.
    pub patience: Option<Duration>,
}

impl Completion {
    /// Parses a request body; fails with [`Kind::Malformed`] if a value is missing or out of range.
    pub fn parse(style: Style, bytes: &[u8]) -> Result<Self, Refusal> {
        let body: Body =
            serde_json::from_slice(bytes).map_err(|_error| Refusal::from(Kind::Malformed))?;
        let prompt = match (style, body.prompt, body.messages) {
            (Style::Text, Some(prompt), _) => prompt,
            (Style::Chat, _, Some(messages)) => join_messages(&messages),
            _ => return Err(Kind::Malformed.into()),
        };
        let max_tokens = body.max_tokens.or(body.max_completion_tokens);
        let in_range = max_tokens.is_none_or(|limit| (1..=MAX_OUTPUT_TOKENS).contains(&limit));
        if prompt.is_empty() || !in_range {
            return Err(Kind::Malformed.into());
        }
        let patience = body.patience_ms.map(Duration::from_millis);
        Ok(Self { style, model: body.model, prompt, max_tokens, stream: body.stream, patience })
    }

    /// The prompt's length in tokens, estimated from its bytes.
    pub fn prompt_tokens(&self) -> u32 {
        estimate_tokens(self.prompt.len())
    }
}

/// Estimates the tokens of a text of this many bytes, rounded up.
pub fn estimate_tokens(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN).min(u32::MAX as usize) as u32
}

/// Flattens the messages of a chat into one prompt.
fn join_messages(messages: &[Message]) -> String {
    let lines = messages.iter().map(|Message { role, content }| format!("{role}: {content}\n"));
    lines.collect()
}

/// Formats one token of a streamed response as a server-sent event.
pub fn chunk(completion: &Completion, request: Request, text: &str) -> String {
    let choice = match completion.style {
        Style::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        Style::Chat => {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        }
    };
    event(&wrap_choice(completion, request, &choice, true))
}

/// Formats the events that end a streamed response: the finish reason and `[DONE]`.
pub fn last_chunk(completion: &Completion, request: Request, finish: &str) -> String {
    let choice = match completion.style {
        Style::Text => json!({ "index": 0, "text": "", "finish_reason": finish }),
        Style::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
    };
    event(&wrap_choice(completion, request, &choice, true)) + "data: [DONE]\n\n"
}

/// Formats a JSON value as a server-sent event.
pub fn event(body: &Value) -> String {
    format!("data: {body}\n\n")
}

/// Builds the JSON body of a response that is not streamed.
pub fn response(
    completion: &Completion,
    request: Request,
    text: &str,
    tokens: u32,
    finish: &str,
) -> Value {
    let choice = match completion.style {
        Style::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
        Style::Chat => json!({
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish,
        }),
    };
    let mut body = wrap_choice(completion, request, &choice, false);
    let prompt_tokens = completion.prompt_tokens();
    body["usage"] = json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    });
    body
}

/// Wraps a choice in the object that bodies and stream chunks share.
fn wrap_choice(completion: &Completion, request: Request, choice: &Value, is_chunk: bool) -> Value {
    let object = match (completion.style, is_chunk) {
        (Style::Text, _) => "text_completion",
        (Style::Chat, true) => "chat.completion.chunk",
        (Style::Chat, false) => "chat.completion",
    };
    json!({
        "id": request.to_string(),
        "object": object,
        "model": completion.model,
        "choices": [choice],
    })
}
