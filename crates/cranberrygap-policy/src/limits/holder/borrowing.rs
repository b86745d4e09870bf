//! Questions to the entries that lend.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

use super::super::amount::Amount;
use super::super::loan_issuer::LOAN_DURATION;
use super::super::stock::Stock;
use super::super::stream::{Source, Stream};
use super::Holder;

/// Workspaces of one question, so that it fits into a datagram.
const MOST_TOGETHER: usize = 16;

impl Holder {
    /// Takes over which entry lends the tokens of which workspace; the leader lends the others'.
    pub fn set_lenders(
        &mut self,
        now: duration::Instant,
        lenders: &BTreeMap<id::Workspace, id::Instance>,
    ) {
        for (workspace, lender) in lenders {
            let stock = self
                .stocks
                .entry(workspace.clone())
                .or_insert_with(|| Stock::new(now));
            if stock.lender.as_ref() != Some(lender) {
                stock.turn_to(Some(lender.clone()));
            }
            self.lenders.entry(lender.clone()).or_default();
        }
        for (workspace, stock) in &mut self.stocks {
            if stock.lender.is_some() && !lenders.contains_key(workspace) {
                stock.turn_to(None);
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
            .filter_map(|(lender, stream)| self.asks_lender_at(lender, stream))
            .min()
    }

    fn asks_lender_at(&self, lender: &id::Instance, stream: &Stream) -> Option<duration::Instant> {
        let Some(soonest) = stream.soonest() else {
            return stream.again();
        };
        if self.closed {
            return None;
        }
        let source = Source::Entry(lender.clone());
        let stocks = self.stocks.values();
        let lent = |stock: &&Stock| stock.lender.as_ref() == Some(lender);
        let stocks = stocks.filter(lent);
        let due = stocks.filter_map(|stock| {
            if !stock.asks_lender() {
                return stock.denied_until().map(|at| at.max(soonest));
            }
            let returns = stock.returns_at(&source).map(|at| at.max(soonest));
            stock.asks_at(soonest).into_iter().chain(returns).min()
        });
        due.min()
    }

    /// Questions to send now, each to the entry that lends.
    pub fn due_loan_requests(
        &mut self,
        now: duration::Instant,
    ) -> Vec<(id::Instance, share::Renew)> {
        self.stocks
            .values_mut()
            .for_each(|stock| stock.advance(now));
        let lenders = self.lenders.iter();
        let due = lenders.filter(|(lender, stream)| {
            let due = self.asks_lender_at(lender, stream);
            due.is_some_and(|due| now >= due)
        });
        let due: Vec<id::Instance> = due.map(|(lender, _)| lender.clone()).collect();
        let asked = due.into_iter().filter_map(|lender| {
            let question = self.question(now, &lender)?;
            Some((lender, question))
        });
        asked.collect()
    }

    fn question(&mut self, now: duration::Instant, lender: &id::Instance) -> Option<share::Renew> {
        let stream = self.lenders.get_mut(lender)?;
        if stream.expire(now) {
            // The leader is asked meanwhile, and the lender again after a pause.
            return None;
        }
        if let Some(again) = stream.repeat(now) {
            return Some(again);
        }
        let borrows = !stream.is_silent();
        let source = Source::Entry(lender.clone());
        let asked = concerned(&self.stocks, lender, self.renewals.sequence());
        let mut demands = Vec::with_capacity(asked.len());
        for workspace in asked {
            if let Some(stock) = self.stocks.get_mut(&workspace) {
                stock.advance(now);
                demands.push(stock.question(now, &workspace, &source, borrows));
            }
        }
        let question = share::Renew {
            instance: self.instance.clone(),
            boot: self.boot,
            sequence: self.renewals.next(),
            lends: false,
            demands,
        };
        stream.asked(now, question.clone());
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
        let answered = stream.and_then(|stream| stream.answered(answer.sequence));
        let Some((question, sent)) = answered else {
            return false;
        };
        let source = Source::Entry(lender.clone());
        let until = sent.after(answer.lease.min(LOAN_DURATION));
        for demand in &question.demands {
            let Some(stock) = self.stocks.get_mut(&demand.workspace) else {
                continue;
            };
            let mut grants = answer.grants.iter();
            let Some(grant) = grants.find(|grant| grant.workspace == demand.workspace) else {
                stock.deny(now, &source);
                continue;
            };
            stock.advance(now);
            if now < until && !self.closed {
                stock.borrow(now, grant, until, &source);
            }
            stock.heard(&source);
        }
        true
    }
}

/// Workspaces of which a question to one lender tells: those in which somebody waits first,
/// each of them in its turn where they are too many.
fn concerned(
    stocks: &BTreeMap<id::Workspace, Stock>,
    lender: &id::Instance,
    turn: number::Sequence,
) -> Vec<id::Workspace> {
    let source = Source::Entry(lender.clone());
    let concerned = stocks.iter().filter(|(_, stock)| {
        let lent = stock.asks_lender() && stock.lender.as_ref() == Some(lender);
        lent && stock.concerns(&source)
    });
    let (mut short, rest): (Vec<_>, Vec<_>) =
        concerned.partition(|(_, stock)| stock.short() > Amount::ZERO);
    if short.len() > MOST_TOGETHER {
        let turn = usize::try_from(turn.0).unwrap_or_default() * MOST_TOGETHER;
        let begin = turn % short.len();
        short.rotate_left(begin);
    }
    let asked = short.into_iter().chain(rest).take(MOST_TOGETHER);
    asked.map(|(workspace, _)| workspace.clone()).collect()
}
