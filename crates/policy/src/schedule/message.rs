//! What entry hosts and a scheduler tell each other.

use crate::prelude::*;
use crate::route::Pair;

/// Tokens of one block of a prompt that engines cache as a whole.
pub const BLOCK_TOKENS: u32 = 256;
/// Leading blocks of a prompt that are named, so that a demand fits a datagram.
pub const MAX_BLOCKS: usize = 32;
/// Tokens of one piece of engine memory.
pub const PIECE_TOKENS: u32 = 2_000;

plain! { data
    /// A request that wants a pair of engines.
    pub struct Demand {
        /// The request.
        pub request: Request,
        /// Counts the pairs this request was given before.
        pub attempt: u32,
        /// The model.
        pub service: Tag,
        /// The team that pays.
        pub team: Tag,
        /// The team's weight in the queue: its rate.
        pub weight: f64,
        /// Prompt tokens.
        pub prompt_tokens: u32,
        /// The most tokens to generate.
        pub output_tokens: u32,
        /// Cumulative hashes of the leading blocks of the prompt.
        pub blocks: Vec<u32>,
        /// Time left until the first token is due.
        pub due_in: Duration,
        /// Time left until the caller gives up.
        pub patience: Duration,
        /// The crash this request is suspected of.
        pub suspect: Option<Tag>,
        /// Engines that failed this request, which it should not get again.
        pub avoid: Vec<Tag>,
        /// Whether another domain was asked already.
        pub redirected: bool,
    }
}

impl Demand {
    /// The engine memory that the whole request needs.
    pub const fn pieces(&self) -> u32 {
        (self.prompt_tokens + self.output_tokens).div_ceil(PIECE_TOKENS)
    }

    /// The cost that the fair queue counts.
    pub fn cost(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.output_tokens)
    }
}

plain! { value
    /// How far a request has come.
    #[derive(Eq)]
    pub enum Phase {
        /// It waits for a pair.
        Waiting,
        /// Its prompt runs, or its cache is on the way.
        Prefill,
        /// Its tokens are generated.
        Decode,
    }
}

plain! { value
    /// A claim that renews the lease on a pair, or on a place in the queue.
    pub struct Claim {
        /// The request.
        pub request: Request,
        /// How far it has come.
        pub phase: Phase,
        /// The pair it holds, unless it waits.
        pub pair: Option<Pair>,
        /// The engine memory it holds.
        pub pieces: u32,
        /// The mean time between its latest tokens, in microseconds; 0 without any.
        pub gap_micros: u32,
    }
}

plain! { value
    /// The end of a lease.
    pub struct Release {
        /// The request.
        pub request: Request,
        /// The engine that failed it, if one did.
        pub failed: Option<Tag>,
    }
}

/// What a scheduler decides.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request may use a pair.
    Grant {
        /// The request.
        request: Request,
        /// The team.
        team: Tag,
        /// The pair.
        pair: Pair,
        /// The engine memory reserved.
        pieces: u32,
        /// Prompt tokens expected to be cached.
        cached_tokens: u32,
        /// How long it waited.
        waited: Duration,
        /// Whether it waited in the late lane.
        is_late: bool,
    },
    /// The request is given up.
    Refuse {
        /// The request.
        request: Request,
        /// The team.
        team: Tag,
        /// Why.
        kind: Kind,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request should try another domain once.
    Redirect {
        /// The request.
        request: Request,
        /// The domain with the most headroom.
        domain: Tag,
    },
    /// Nobody claims what these engines hold for the request.
    Cancel {
        /// The request.
        request: Request,
        /// Its pair.
        pair: Pair,
    },
}
