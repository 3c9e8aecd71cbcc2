//! What identifies a request, and the parts of its prompt, among others.

use crate::prelude::*;

/// The maximum number of parts of a prompt that are watched, so that a request's strikes fit a few
/// datagrams.
pub const MAX_PARTS: usize = 16;
/// Set in the fingerprints of parts, and not in those of requests.
const PART_BIT: u64 = 1 << 63;

plain! { data
    /// What may have crashed the upstream that ran a request.
    #[derive(Eq)]
    pub struct Fingerprints {
        /// The request as a whole; see [`fingerprint`].
        pub request: Tag,
        /// The parts of its prompt that other requests may have, too; see [`part`].
        pub parts: Vec<Tag>,
    }
}

impl Fingerprints {
    /// Those of a request whose prompt has no known parts.
    pub const fn of_request(request: Tag) -> Self {
        Self { request, parts: Vec::new() }
    }

    /// All fingerprints, that of the request first.
    pub fn all(&self) -> impl Iterator<Item = Tag> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

/// Digests the parts that make two requests of a team the same, each with its length.
pub fn fingerprint(team: Tag, parts: &[&[u8]]) -> Tag {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&team.0.to_le_bytes());
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Tag(first_bytes(&hasher).0 & !PART_BIT)
}

/// Identifies a part of the prompts for a service.
///
/// The same for all teams: the upstreams that the part crashes are the same, too.
pub fn part(service: Tag, id: &[u8]) -> Tag {
    Tag(fingerprint(service, &[id]).0 | PART_BIT)
}

/// Whether a fingerprint is that of a part.
pub(super) const fn is_part(fingerprint: Tag) -> bool {
    fingerprint.0 & PART_BIT != 0
}

/// The first eight bytes of the digest as a tag.
pub(super) fn first_bytes(hasher: &blake3::Hasher) -> Tag {
    let digest = hasher.finalize();
    let (head, _) = digest.as_bytes().split_at(8);
    Tag(u64::from_le_bytes(head.try_into().expect("eight bytes")))
}
