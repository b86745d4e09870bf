//! Questions to the entries that lend.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

use super::super::amount::Amount;
use super::super::loan_issuer::LOAN_DURATION;
use super::super::loan_requests::{LoanRequests, LoanSource};
use super::super::local_bucket::LocalBucket;
use super::Holder;

/// Workspaces of one question, so that it fits into a datagram.
const MAX_WORKSPACES: usize = 16;

impl Holder {
    /// Takes over which entry lends the tokens of which workspace; the leader lends the others'.
    pub fn set_lenders(
        &mut self,
        now: duration::Instant,
        lenders: &BTreeMap<id::Workspace, id::Instance>,
    ) {
        for (workspace, lender) in lenders {
            let stock = self
                .buckets
                .entry(workspace.clone())
                .or_insert_with(|| LocalBucket::new(now));
            if stock.lender.as_ref() != Some(lender) {
                stock.set_lender(Some(lender.clone()));
            }
            self.lenders.entry(lender.clone()).or_default();
        }
        for (workspace, stock) in &mut self.buckets {
            if stock.lender.is_some() && !lenders.contains_key(workspace) {
                stock.set_lender(None);
            }
        }
        let named: Vec<&id::Instance> = lenders.values().collect();
        self.lenders.retain(|lender, _| named.contains(&lender));
    }

    /// When [`Holder::due_loan_requests`] has something to send to an entry that lends.
    #[must_use]
    pub fn next_loan_request_at(&self) -> Option<duration::Instant> {
        let lenders = self.lenders.iter();
        lenders
            .filter_map(|(lender, stream)| self.lender_request_at(lender, stream))
            .min()
    }

    fn lender_request_at(
        &self,
        lender: &id::Instance,
        stream: &LoanRequests,
    ) -> Option<duration::Instant> {
        let Some(earliest) = stream.next_request_at() else {
            return stream.resend_at();
        };
        if self.closed {
            return None;
        }
        let source = LoanSource::Entry(lender.clone());
        let stocks = self.buckets.values();
        let lent = |stock: &&LocalBucket| stock.lender.as_ref() == Some(lender);
        let stocks = stocks.filter(lent);
        let due = stocks.filter_map(|stock| {
            if !stock.borrows_from_lender() {
                return stock.retry_lender_at().map(|at| at.max(earliest));
            }
            let returns = stock.return_loans_at(&source).map(|at| at.max(earliest));
            stock
                .next_request_at(earliest)
                .into_iter()
                .chain(returns)
                .min()
        });
        due.min()
    }

    /// Questions to send now, each to the entry that lends.
    pub fn due_loan_requests(
        &mut self,
        now: duration::Instant,
    ) -> Vec<(id::Instance, share::Renew)> {
        self.buckets
            .values_mut()
            .for_each(|stock| stock.advance(now));
        let lenders = self.lenders.iter();
        let due = lenders.filter(|(lender, stream)| {
            let due = self.lender_request_at(lender, stream);
            due.is_some_and(|due| now >= due)
        });
        let due: Vec<id::Instance> = due.map(|(lender, _)| lender.clone()).collect();
        let asked = due.into_iter().filter_map(|lender| {
            let question = self.loan_request(now, &lender)?;
            Some((lender, question))
        });
        asked.collect()
    }

    fn loan_request(
        &mut self,
        now: duration::Instant,
        lender: &id::Instance,
    ) -> Option<share::Renew> {
        let stream = self.lenders.get_mut(lender)?;
        if stream.give_up_expired(now) {
            // The leader is asked meanwhile, and the lender again after a pause.
            return None;
        }
        if let Some(again) = stream.resend(now) {
            return Some(again);
        }
        let borrows = !stream.is_silent();
        let source = LoanSource::Entry(lender.clone());
        let asked = workspaces_to_report(&self.buckets, lender, self.renewals.sequence());
        let mut demands = Vec::with_capacity(asked.len());
        for workspace in asked {
            if let Some(stock) = self.buckets.get_mut(&workspace) {
                stock.advance(now);
                demands.push(stock.take_loan_demand(now, &workspace, &source, borrows));
            }
        }
        let question = share::Renew {
            instance: self.instance.clone(),
            boot: self.boot,
            sequence: self.renewals.next_sequence(),
            lends: false,
            demands,
        };
        stream.record_sent(now, question.clone());
        Some(question)
    }

    /// Takes what an entry lends; true when it was the awaited answer. [`Holder::poll`] is to
    /// be called then.
    pub fn apply_loans(
        &mut self,
        now: duration::Instant,
        lender: &id::Instance,
        answer: &share::Granted,
    ) -> bool {
        let stream = self.lenders.get_mut(lender);
        let answered = stream.and_then(|stream| stream.take_answer(answer.sequence));
        let Some((question, sent)) = answered else {
            return false;
        };
        let source = LoanSource::Entry(lender.clone());
        let until = sent.after(answer.lease.min(LOAN_DURATION));
        for demand in &question.demands {
            let Some(stock) = self.buckets.get_mut(&demand.workspace) else {
                continue;
            };
            let mut grants = answer.grants.iter();
            let Some(grant) = grants.find(|grant| grant.workspace == demand.workspace) else {
                stock.record_denial(now, &source);
                continue;
            };
            stock.advance(now);
            if now < until && !self.closed {
                stock.add_loan(now, grant, until, &source);
            }
            stock.record_answer(&source);
        }
        true
    }
}

/// Workspaces of which a question to one lender tells: those in which somebody waits first,
/// each of them in its turn where they are too many.
fn workspaces_to_report(
    stocks: &BTreeMap<id::Workspace, LocalBucket>,
    lender: &id::Instance,
    turn: number::Sequence,
) -> Vec<id::Workspace> {
    let source = LoanSource::Entry(lender.clone());
    let concerned = stocks.iter().filter(|(_, stock)| {
        let lent = stock.borrows_from_lender() && stock.lender.as_ref() == Some(lender);
        lent && stock.has_report_for(&source)
    });
    let (mut short, rest): (Vec<_>, Vec<_>) =
        concerned.partition(|(_, stock)| stock.shortage() > Amount::ZERO);
    if short.len() > MAX_WORKSPACES {
        let turn = usize::try_from(turn.0).unwrap_or_default() * MAX_WORKSPACES;
        let begin = turn % short.len();
        short.rotate_left(begin);
    }
    let asked = short.into_iter().chain(rest).take(MAX_WORKSPACES);
    asked.map(|(workspace, _)| workspace.clone()).collect()
}
