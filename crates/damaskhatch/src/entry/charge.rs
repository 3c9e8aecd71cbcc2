//! Charges a request to its team's rate limit before any upstream is called.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::quota::{ADMISSION_TTL, Charge, Verdict};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Entry;
use super::access::Caller;
use super::hold::Charged;
use super::refusal::Refusal;
use crate::control::quota::{Admit, Reply, UNREACHABLE_RETRY_AFTER};

/// How long a handler waits for the control thread beyond [`ADMISSION_TTL`], the time limit
/// of a charge.
const REPLY_MARGIN: Duration = Duration::from_millis(300);

/// Charges `tokens` to the caller's team; an anonymous caller is not charged.
pub async fn charge(
    entry: &Entry,
    request: Request,
    caller: &Caller,
    tokens: f64,
) -> Result<Option<Charged>, Refusal> {
    if caller.team.is_none() {
        return Ok(None);
    }
    let (sender, receiver) = oneshot::channel();
    let charge = Charge { request, team: caller.tag, tokens };
    entry.control.quota.do_send(Admit { charge, reply: sender });
    let reply =
        timeout(ADMISSION_TTL + REPLY_MARGIN, receiver).await.ok().and_then(Result::ok).flatten();
    let Some(Reply { verdict, domain }) = reply else {
        return Err(Refusal::after(Kind::Unavailable, UNREACHABLE_RETRY_AFTER));
    };
    match verdict {
        Verdict::Admitted => Ok(Some(Charged {
            control: entry.control.clone(),
            request,
            team: caller.tag,
            domain,
            total: tokens,
            unused: tokens,
        })),
        Verdict::Short { retry_after } => Err(Refusal::after(Kind::OverRate, retry_after)),
        Verdict::OverBurst => Err(Kind::OverBurst.into()),
    }
}
