//! The choice among the engines that hold a model.

use cranberrygap_model::{duration, id};

use super::{backlog, latency, window};

/// Part of its shared tokens, in tenths, that a session is taken to find at the engine that it
/// belongs to, while this entry has not sent it there itself.
const LIKELY_KEPT_TENTHS: u64 = 6;

/// Weight of a recent failure: it counts like a wait of so long.
const FAILURE: duration::Span = duration::Span::from_millis(400);

/// Weight of an engine at which the prompt would have to wait for its turn: half of the
/// time over which sends are summed.
const CROWDED: duration::Span = duration::Span(window::LENGTH.0 / 2);

/// What is known of one engine that could serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'known> {
    /// Its name.
    pub endpoint: &'known id::Endpoint,
    /// What waits there.
    pub backlog: backlog::Backlog,
    /// Reading of what was sent there within the last moments.
    pub recent_prefill: duration::Span,
    /// Tokens of the prompt that this entry knows to be kept there.
    pub cached_tokens: u64,
    /// Whether the prompt's session belongs there.
    pub has_affinity: bool,
    /// Whether it lies in this entry's failure domain.
    pub same_domain: bool,
    /// Whether it holds the adapter that is wanted, if one is.
    pub has_adapter: bool,
    /// Part of the requests sent there of late that it failed, 0 to 1.
    pub failure_rate: f64,
}

/// A request as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Its rank, 0 is the most urgent.
    pub rank: usize,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that others share.
    pub shared_tokens: u64,
    /// Reading that an engine may get within [`window::LENGTH`].
    pub prefill_budget: duration::Span,
    /// Reading beside which a large prompt may go though it does not fit.
    pub large_prompt_grace: duration::Span,
    /// What requests for its model take.
    pub latency: latency::Estimate,
    /// Requests in one batch of an engine; 0 where that is not known.
    pub slots: u32,
    /// What an engine in another failure domain costs beyond one that is near,
    /// counted as waiting time.
    pub remote_penalty: duration::Span,
    /// What an adapter that has to be fetched costs, counted as waiting time.
    pub adapter_penalty: duration::Span,
}

/// An engine and what to expect of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The engine.
    pub endpoint: id::Endpoint,
    /// Predicted time to the first event.
    pub time_to_first_event: duration::Span,
    /// Prompt tokens that it has to read.
    pub uncached_tokens: u64,
    /// Time that it takes to read these.
    pub prefill_time: duration::Span,
    /// Reading that waits there already.
    pub queued_prefill: duration::Span,
    /// What of it comes before this prompt.
    pub prefill_ahead: duration::Span,
    /// Requests that run or wait there.
    pub running: u32,
    /// Reading of what was sent there within the last moments.
    pub recent_prefill: duration::Span,
}

impl Choice {
    /// Whether the prompt fits beside what was sent there lately. One that is larger
    /// than the room by itself goes to an engine that got nothing.
    #[must_use]
    pub const fn fits(&self, wanted: &Request) -> bool {
        wanted.fits(self.recent_prefill, self.prefill_time)
    }
}

/// Part of the room, one in so many, from which on a prompt is large.
const LARGE: u64 = 4;

impl Request {
    /// Whether a prompt that takes `reading` may go where as much as `recent` was sent.
    #[must_use]
    pub const fn fits(&self, recent: duration::Span, reading: duration::Span) -> bool {
        let large = reading.0 > self.prefill_budget.0 / LARGE;
        let all = recent.0 + reading.0;
        recent.0 == 0
            || all <= self.prefill_budget.0
            || (large && recent.0 <= self.large_prompt_grace.0)
    }
}

/// The engine with the earliest first event, costs counted as time.
#[must_use]
pub fn choose<'known>(
    wanted: &Request,
    candidates: impl Iterator<Item = Candidate<'known>>,
) -> Option<Choice> {
    let scored = candidates.map(|candidate| {
        let fresh = fresh(wanted, &candidate);
        let pace = &wanted.latency;
        let reading = pace.prefill_time(fresh);
        let first_event =
            pace.time_to_first_event(&candidate.backlog, wanted.rank, fresh, wanted.slots);
        let far = if candidate.same_domain {
            0
        } else {
            wanted.remote_penalty.0
        };
        let fetch = if candidate.has_adapter {
            0
        } else {
            wanted.adapter_penalty.0
        };
        let crowded = if wanted.fits(candidate.recent_prefill, reading) {
            0
        } else {
            CROWDED.0
        };
        let failing = FAILURE.scaled(candidate.failure_rate).0;
        let cost = first_event.0 + candidate.recent_prefill.0 + far + fetch + crowded + failing;
        let choice = Choice {
            endpoint: candidate.endpoint.clone(),
            time_to_first_event: first_event,
            uncached_tokens: fresh,
            prefill_time: reading,
            queued_prefill: candidate.backlog.total_prefill(),
            prefill_ahead: candidate.backlog.prefill_ahead(wanted.rank),
            running: candidate.backlog.running,
            recent_prefill: candidate.recent_prefill,
        };
        (cost, choice)
    });
    let best = scored.min_by(|(cost, choice), (other_cost, other)| {
        (cost, &choice.endpoint).cmp(&(other_cost, &other.endpoint))
    });
    best.map(|(_, choice)| choice)
}

fn fresh(wanted: &Request, candidate: &Candidate<'_>) -> u64 {
    let likely = if candidate.has_affinity {
        wanted.shared_tokens * LIKELY_KEPT_TENTHS / 10
    } else {
        0
    };
    wanted
        .prompt_tokens
        .saturating_sub(candidate.cached_tokens.max(likely))
}
