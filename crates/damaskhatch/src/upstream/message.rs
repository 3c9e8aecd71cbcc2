//! The JSON bodies of the engines' HTTP interface.

use damaskhatch_policy::prelude::plain;

plain! { data
    /// `POST /prefill`: runs a prompt and keeps its KV cache for export.
    pub struct Prefill {
        /// The request's id.
        pub request: String,
        /// The team's name.
        pub team: String,
        /// The prompt.
        pub prompt: String,
        /// The scheduling priority; higher runs first.
        pub priority: i32,
    }
}

plain! { data
    /// The response to `POST /prefill`, and to `POST /prefilled` once the prompt has run.
    pub struct Prefilled {
        /// The request's id.
        pub request: String,
        /// The handle by which a decode engine imports the KV cache.
        pub kv: String,
        /// Prompt tokens that were found in the engine's prefix cache.
        pub cached_tokens: u32,
    }
}

plain! { data
    /// `POST /decode`: imports a KV cache and generates tokens.
    pub struct Decode {
        /// The request's id.
        pub request: String,
        /// The team's name.
        pub team: String,
        /// The prompt, which an engine needs to resume generation at a later token.
        pub prompt: String,
        /// The handle of the KV cache, from [`Prefilled::kv`].
        pub kv: String,
        /// The address of the engine that exports the KV cache, as `IP:port`.
        pub kv_address: String,
        /// The most tokens to generate.
        pub max_tokens: u32,
        /// The index of the first token to send.
        pub from: u32,
        /// The scheduling priority; higher runs first.
        pub priority: i32,
    }
}

plain! { data
    /// `POST /resume`: reopens the token stream of a request that the engine still runs.
    pub struct Resume {
        /// The request's id.
        pub request: String,
        /// The index of the first token to send.
        pub from: u32,
    }
}

plain! { data
    /// `POST /prefilled` and `POST /cancel`, which need only the request's id.
    pub struct RequestId {
        /// The request's id.
        pub request: String,
    }
}

plain! { data
    /// What one line of a token stream reports.
    #[serde(rename_all = "snake_case")]
    pub enum Event {
        /// A generated token.
        Token {
            /// Its index, from 0.
            index: u32,
            /// Its text.
            text: String,
        },
        /// A heartbeat, sent while there is no token to send.
        Beat,
        /// The end of the generation; the last line of its stream.
        Done {
            /// Tokens generated in all, from index 0.
            tokens: u32,
            /// The finish reason: `stop` or `length`.
            finish: String,
        },
        /// The engine stopped the request before its end.
        Failed {
            /// The engine's description of the failure.
            reason: String,
        },
    }
}

plain! { data
    /// One line of a token stream.
    pub struct Line {
        /// The request's id, which detects lines of another request.
        pub request: String,
        /// What the line reports.
        pub event: Event,
    }
}

plain! { data
    /// The response to `GET /requests`: the requests for which an engine holds any state.
    pub struct Requests {
        /// The requests' ids.
        pub requests: Vec<String>,
    }
}
