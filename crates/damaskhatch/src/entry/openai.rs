//! The OpenAI-compatible request and response bodies.

use damaskhatch_policy::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use super::refusal::Refusal;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// The largest output limit a request may name, in tokens.
const MAX_OUTPUT_TOKENS: u32 = 100_000;

/// Which of the two interfaces a request came through.
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

/// A parsed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The interface it came through.
    pub style: Style,
    /// The model's name.
    pub model: String,
    /// The prompt; of a chat, the messages one below the other.
    pub prompt: String,
    /// The most tokens to generate, if the request names a limit.
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// How long the caller waits at the most, if it says so.
    pub patience: Option<Duration>,
}

impl Completion {
    /// Parses a request body.
    pub fn parse(style: Style, bytes: &[u8]) -> Result<Self, Refusal> {
        let body: Body =
            serde_json::from_slice(bytes).map_err(|_error| Refusal::from(Kind::Malformed))?;
        let prompt = match (style, body.prompt, body.messages) {
            (Style::Text, Some(prompt), _) => prompt,
            (Style::Chat, _, Some(messages)) => transcript(&messages),
            _ => return Err(Kind::Malformed.into()),
        };
        let max_tokens = body.max_tokens.or(body.max_completion_tokens);
        let legal = max_tokens.is_none_or(|limit| (1..=MAX_OUTPUT_TOKENS).contains(&limit));
        if prompt.is_empty() || !legal {
            return Err(Kind::Malformed.into());
        }
        let patience = body.patience_ms.map(Duration::from_millis);
        Ok(Self { style, model: body.model, prompt, max_tokens, stream: body.stream, patience })
    }

    /// The prompt's tokens.
    pub fn prompt_tokens(&self) -> u32 {
        count_tokens(self.prompt.len())
    }
}

/// Tokens of a text with this many bytes.
pub fn count_tokens(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN).min(u32::MAX as usize) as u32
}

fn transcript(messages: &[Message]) -> String {
    let lines = messages.iter().map(|Message { role, content }| format!("{role}: {content}\n"));
    lines.collect()
}

/// One streamed token as an SSE event.
pub fn chunk(completion: &Completion, request: Request, text: &str) -> String {
    let choice = match completion.style {
        Style::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        Style::Chat => {
            json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
        }
    };
    event(&envelope(completion, request, &choice, true))
}

/// The last SSE events of an answer.
pub fn last_chunk(completion: &Completion, request: Request, finish: &str) -> String {
    let choice = match completion.style {
        Style::Text => json!({ "index": 0, "text": "", "finish_reason": finish }),
        Style::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
    };
    event(&envelope(completion, request, &choice, true)) + "data: [DONE]\n\n"
}

/// An SSE event.
pub fn event(body: &Value) -> String {
    format!("data: {body}\n\n")
}

/// A whole answer.
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
    let mut body = envelope(completion, request, &choice, false);
    let prompt_tokens = completion.prompt_tokens();
    body["usage"] = json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    });
    body
}

fn envelope(completion: &Completion, request: Request, choice: &Value, chunk: bool) -> Value {
    let object = match (completion.style, chunk) {
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
