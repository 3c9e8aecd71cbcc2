//! Messages between entry hosts and a scheduler.

use crate::prelude::*;
use crate::route::Pair;

/// Tokens in one block of a prompt, the unit of the engines' prefix cache.
pub const BLOCK_TOKENS: u32 = 256;
/// Largest number of leading prompt blocks that a demand lists, so that it fits a datagram.
pub const MAX_BLOCKS: usize = 32;
/// Tokens in one piece, the unit in which engine memory is counted.
pub const PIECE_TOKENS: u32 = 2_000;

plain! { data
    /// A request's demand for a pair of engines.
    pub struct Demand {
        /// The request's id.
        pub request: Request,
        /// The number of pairs that were granted to this request before.
        pub attempt: u32,
        /// The model service that runs the request.
        pub service: Tag,
        /// The team whose quota is charged.
        pub team: Tag,
        /// The team's weight in the fair queue: its rate in tokens per second.
        pub weight: f64,
        /// Length of the prompt, in tokens.
        pub prompt_tokens: u32,
        /// The largest number of tokens to generate.
        pub output_tokens: u32,
        /// Cumulative hashes of the prompt's leading blocks, at most [`MAX_BLOCKS`].
        pub blocks: Vec<u32>,
        /// Time left until the first token is due.
        pub due_in: Duration,
        /// Time left until the caller gives up; a request still queued then is refused.
        pub patience: Duration,
        /// The upstream whose crash this request is suspected to have caused, if any.
        pub suspect: Option<Tag>,
        /// Engines that already failed this request and must not be granted to it again.
        pub avoid: Vec<Tag>,
        /// Whether the request was already redirected from another domain; it is redirected once.
        pub redirected: bool,
    }
}

impl Demand {
    /// Engine memory for the prompt and all output tokens, in pieces.
    pub const fn pieces(&self) -> u32 {
        (self.prompt_tokens + self.output_tokens).div_ceil(PIECE_TOKENS)
    }

    /// The cost in the fair queue: prompt and output tokens.
    pub fn cost(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.output_tokens)
    }
}

plain! { value
    /// The phase that a request is in.
    #[derive(Eq)]
    pub enum Phase {
        /// The request waits for a pair.
        Waiting,
        /// The prompt runs, or its KV cache is being transferred.
        Prefill,
        /// The decode engine generates tokens.
        Decode,
    }
}

plain! { value
    /// A host's claim, which renews a lease or a queue entry.
    pub struct Claim {
        /// The request's id.
        pub request: Request,
        /// The phase that the request has reached.
        pub phase: Phase,
        /// The pair that the request holds; `None` while it waits.
        pub pair: Option<Pair>,
        /// Engine memory that the request holds, in pieces.
        pub pieces: u32,
        /// Mean time between the latest tokens, in microseconds; 0 if there were none.
        pub gap_micros: u32,
    }
}

plain! { value
    /// A host's message that a request no longer needs its lease or queue entry.
    pub struct Release {
        /// The request's id.
        pub request: Request,
        /// The engine that failed the request; `None` if it ended for another reason.
        pub failed: Option<Tag>,
    }
}

/// A scheduler's decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A lease on a pair of engines.
    Grant {
        /// The request's id.
        request: Request,
        /// The request's team.
        team: Tag,
        /// The pair of engines.
        pair: Pair,
        /// Reserved engine memory, in pieces.
        pieces: u32,
        /// Prompt tokens expected in the prefill engine's prefix cache.
        cached_tokens: u32,
        /// Time that the request spent in the queue.
        waited: Duration,
        /// Whether the request came from the late lane.
        is_late: bool,
    },
    /// The request gets no pair.
    Refuse {
        /// The request's id.
        request: Request,
        /// The request's team.
        team: Tag,
        /// The reason of the refusal.
        kind: Kind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request should be sent to another domain, which happens at most once.
    Redirect {
        /// The request's id.
        request: Request,
        /// The domain with the most headroom.
        domain: Tag,
    },
    /// The lease expired unclaimed; the engines may still hold work for the request.
    Cancel {
        /// The request's id.
        request: Request,
        /// The pair of the expired lease.
        pair: Pair,
    },
}
