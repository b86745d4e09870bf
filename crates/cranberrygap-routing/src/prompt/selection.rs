//! Chooses among the engines that hold a model.

use cranberrygap_model::{duration, id};

use super::{backlog, latency, speed, window};

/// Expected cached share, in tenths, of a session's shared tokens at its affinity engine,
/// while this entry has not sent the session there itself.
const EXPECTED_CACHED_TENTHS: u64 = 6;

/// Penalty of an engine that failed all recent requests, as waiting time.
const FAILURE_PENALTY: duration::Span = duration::Span::from_millis(400);

/// Penalty of an engine at which the prompt would exceed the prefill budget: half of the
/// window over which sends are summed.
const OVER_BUDGET_PENALTY: duration::Span = duration::Span(window::LENGTH.0 / 2);

/// State of one engine that could serve a request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'known> {
    /// Name of the engine.
    pub endpoint: &'known id::Endpoint,
    /// Work that waits at the engine.
    pub backlog: backlog::Backlog,
    /// Prefill time of the prompts sent to the engine within [`window::LENGTH`].
    pub recent_prefill: duration::Span,
    /// Tokens of the prompt that this entry knows to be cached at the engine.
    pub cached_tokens: u64,
    /// Whether the engine has the highest affinity to the prompt's session.
    pub has_affinity: bool,
    /// Whether the engine is in this entry's failure domain.
    pub same_domain: bool,
    /// Whether the engine holds the requested adapter, if one is requested.
    pub has_adapter: bool,
    /// Share of the recent requests to the engine that failed, 0 to 1.
    pub failure_rate: f64,
    /// The engine's own speed with the request's model, if it is known.
    pub speed: Option<speed::Speed>,
}

/// A request as the selection sees it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Rank of the request; 0 is the most urgent.
    pub rank: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens shared with other requests of the session.
    pub shared_tokens: u64,
    /// Prefill time that an engine of the speed of `latency` may get within [`window::LENGTH`].
    pub prefill_budget: duration::Span,
    /// Recent prefill time beside which a large prompt may exceed the budget.
    pub large_prompt_grace: duration::Span,
    /// Latency estimate of the request's model.
    pub latency: latency::Estimate,
    /// Requests in one batch of an engine; 0 if unknown.
    pub slots: u32,
    /// Penalty of an engine in another failure domain, as waiting time.
    pub remote_penalty: duration::Span,
    /// Penalty of each request that runs at an engine, as waiting time.
    pub running_penalty: duration::Span,
    /// Penalty of an engine that has to load the adapter, as waiting time.
    pub adapter_penalty: duration::Span,
}

/// The chosen engine and the predictions for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Name of the engine.
    pub endpoint: id::Endpoint,
    /// Predicted time to the first event.
    pub time_to_first_event: duration::Span,
    /// Prompt tokens that the engine has to prefill.
    pub uncached_tokens: u64,
    /// Time to prefill the uncached tokens.
    pub prefill_time: duration::Span,
    /// Prefill time of all prompts that wait at the engine.
    pub queued_prefill: duration::Span,
    /// Prefill time of the waiting prompts that come before this one.
    pub prefill_ahead: duration::Span,
    /// Requests that run or wait at the engine.
    pub running: u32,
    /// Prefill time of the prompts sent to the engine within [`window::LENGTH`].
    pub recent_prefill: duration::Span,
    /// Prefill time that the engine may get within [`window::LENGTH`].
    pub prefill_budget: duration::Span,
}

impl Choice {
    /// Whether the prompt fits beside what was sent to the engine recently. A prompt that
    /// exceeds the budget by itself goes to an engine that got nothing.
    #[must_use]
    pub const fn fits(&self, request: &Request) -> bool {
        let request = request.with_budget(self.prefill_budget);
        request.fits(self.recent_prefill, self.prefill_time)
    }
}

/// Divisor of the prefill budget; a prompt that takes more than the quotient is large.
const LARGE_PROMPT_DIVISOR: u64 = 4;

impl Request {
    /// This request at an engine with another prefill budget.
    const fn with_budget(self, prefill_budget: duration::Span) -> Self {
        Self {
            prefill_budget,
            ..self
        }
    }

    /// Prefill time that an engine may get within a pause, of which its own event takes a part.
    fn budget_at(&self, latency: &latency::Estimate) -> duration::Span {
        let usual = self.latency.event_interval().0;
        let pause = self.prefill_budget.0.saturating_add(usual);
        duration::Span(pause.saturating_sub(latency.event_interval().0))
    }

    /// Whether a prompt that takes `prefill_time` may go where `recent_prefill` was sent.
    #[must_use]
    pub const fn fits(&self, recent_prefill: duration::Span, prefill_time: duration::Span) -> bool {
        let large = prefill_time.0 > self.prefill_budget.0 / LARGE_PROMPT_DIVISOR;
        let total = recent_prefill.0 + prefill_time.0;
        recent_prefill.0 == 0
            || total <= self.prefill_budget.0
            || (large && recent_prefill.0 <= self.large_prompt_grace.0)
    }
}

/// Chooses the engine with the earliest first event, penalties included.
#[must_use]
pub fn choose<'known>(
    request: &Request,
    candidates: impl Iterator<Item = Candidate<'known>>,
) -> Option<Choice> {
    let scored = score(request, candidates);
    let best = scored.min_by(compare);
    best.map(|(_, choice)| choice)
}

/// Cost of one candidate, penalties included, as waiting time in microseconds.
#[must_use]
pub fn cost(request: &Request, candidate: Candidate<'_>) -> u64 {
    let mut scored = score(request, std::iter::once(candidate));
    scored.next().map_or(u64::MAX, |(cost, _)| cost)
}

fn compare(left: &(u64, Choice), right: &(u64, Choice)) -> std::cmp::Ordering {
    (left.0, &left.1.endpoint).cmp(&(right.0, &right.1.endpoint))
}

/// Cost of each candidate, as waiting time in microseconds, with the predictions for it.
fn score<'known>(
    request: &Request,
    candidates: impl Iterator<Item = Candidate<'known>>,
) -> impl Iterator<Item = (u64, Choice)> {
    candidates.map(move |candidate| {
        let uncached_tokens = uncached_tokens(request, &candidate);
        let latency = candidate
            .speed
            .map_or(request.latency, |speed| request.latency.at_speed(&speed));
        let prefill_budget = request.budget_at(&latency);
        let prefill_time = latency.prefill_time(uncached_tokens);
        let time_to_first_event = latency.time_to_first_event(
            &candidate.backlog,
            request.rank,
            uncached_tokens,
            request.slots,
        );
        let remote = if candidate.same_domain {
            0
        } else {
            request.remote_penalty.0
        };
        let adapter = if candidate.has_adapter {
            0
        } else {
            request.adapter_penalty.0
        };
        let budgeted = request.with_budget(prefill_budget);
        let over_budget = if budgeted.fits(candidate.recent_prefill, prefill_time) {
            0
        } else {
            OVER_BUDGET_PENALTY.0
        };
        let failure = FAILURE_PENALTY.scaled(candidate.failure_rate).0;
        let running = request.running_penalty.0 * u64::from(candidate.backlog.running);
        let cost = time_to_first_event.0
            + candidate.recent_prefill.0
            + running
            + remote
            + adapter
            + over_budget
            + failure;
        let choice = Choice {
            endpoint: candidate.endpoint.clone(),
            time_to_first_event,
            uncached_tokens,
            prefill_time,
            queued_prefill: candidate.backlog.total_prefill(),
            prefill_ahead: candidate.backlog.prefill_ahead(request.rank),
            running: candidate.backlog.running,
            recent_prefill: candidate.recent_prefill,
            prefill_budget,
        };
        (cost, choice)
    })
}

fn uncached_tokens(request: &Request, candidate: &Candidate<'_>) -> u64 {
    let expected = if candidate.has_affinity {
        request.shared_tokens * EXPECTED_CACHED_TENTHS / 10
    } else {
        0
    };
    request
        .prompt_tokens
        .saturating_sub(candidate.cached_tokens.max(expected))
}
