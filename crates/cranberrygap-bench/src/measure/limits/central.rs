//! Baseline: one bucket at the leader that is asked on each request.

use std::collections::{BTreeMap, VecDeque};

use cranberrygap_model::{duration, token};

use super::demand;
use super::scheme::{Decision, ONE_WAY, Scheme};
use super::split::Bucket;

pub(super) struct Central {
    bucket: Bucket,
    leads: bool,
    /// Questions on their way to the leader, then answers on their way back.
    questions: VecDeque<(duration::Instant, u64, u64)>,
    answers: VecDeque<(duration::Instant, u64, bool)>,
    running: BTreeMap<u64, u64>,
    decisions: Vec<(u64, Decision)>,
    messages: u64,
}

impl Central {
    pub(super) fn new() -> Self {
        Self {
            bucket: Bucket::new(demand::RATE as f64, demand::BURST as f64),
            leads: true,
            questions: VecDeque::new(),
            answers: VecDeque::new(),
            running: BTreeMap::new(),
            decisions: Vec::new(),
            messages: 0,
        }
    }

    fn answer(&mut self, at: duration::Instant, request: u64, cost: u64) {
        // Without a leader nobody may say yes.
        let admits = self.leads && self.bucket.take(at, cost);
        if admits {
            self.running.insert(request, cost);
        }
        self.answers.push_back((at.after(ONE_WAY), request, admits));
    }
}

impl Scheme for Central {
    fn name(&self) -> &'static str {
        "central bucket"
    }

    fn arrive(&mut self, now: duration::Instant, _entry: usize, request: u64, cost: token::Count) {
        self.messages += 1;
        self.questions
            .push_back((now.after(ONE_WAY), request, cost.0));
    }

    fn end(&mut self, now: duration::Instant, request: u64, used: token::Count) {
        self.messages += 1;
        if let Some(cost) = self.running.remove(&request) {
            self.bucket.refund(now, cost - used.0);
        }
    }

    fn lead(&mut self, now: duration::Instant, leads: bool) {
        self.leads = leads;
        if leads {
            // A new leader does not know what its predecessor had admitted.
            let mut bucket = Bucket::new(demand::RATE as f64, demand::BURST as f64);
            bucket.take(now, demand::BURST);
            self.bucket = bucket;
        }
    }

    fn next(&self) -> Option<duration::Instant> {
        let question = self.questions.front().map(|(at, ..)| *at);
        let answer = self.answers.front().map(|(at, ..)| *at);
        question.into_iter().chain(answer).min()
    }

    fn advance(&mut self, now: duration::Instant) {
        while let Some((at, request, cost)) = self.questions.front().copied() {
            if at > now {
                break;
            }
            self.questions.pop_front();
            self.answer(at, request, cost);
        }
        while let Some((at, request, admits)) = self.answers.front().copied() {
            if at > now {
                break;
            }
            self.answers.pop_front();
            let decision = if admits {
                Decision::Admitted
            } else {
                Decision::Refused
            };
            self.decisions.push((request, decision));
        }
    }

    fn decisions(&mut self) -> Vec<(u64, Decision)> {
        std::mem::take(&mut self.decisions)
    }

    fn costs(&self) -> (u64, u64) {
        (self.messages, 0)
    }
}
