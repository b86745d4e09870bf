//! Loan requests of a holder to the entries that lend.

use std::collections::BTreeMap;

use cranberrygap_model::{duration, id, number};
use cranberrygap_wire::share;

use super::super::amount::Amount;
use super::super::loan_issuer::LOAN_DURATION;
use super::super::loan_requests::{LoanRequests, LoanSource};
use super::super::local_bucket::LocalBucket;
use super::Holder;

/// Most workspaces in one loan request, so that it fits into a datagram.
const MAX_WORKSPACES: usize = 16;

impl Holder {
    /// Sets the lender of each workspace; the leader lends for workspaces without one.
    pub fn set_lenders(
        &mut self,
        now: duration::Instant,
        lenders: &BTreeMap<id::Workspace, id::Instance>,
    ) {
        for (workspace, lender) in lenders {
            let bucket = self
                .buckets
                .entry(workspace.clone())
                .or_insert_with(|| LocalBucket::new(now));
            if bucket.lender.as_ref() != Some(lender) {
                bucket.set_lender(Some(lender.clone()));
            }
            self.lenders.entry(lender.clone()).or_default();
        }
        for (workspace, bucket) in &mut self.buckets {
            if bucket.lender.is_some() && !lenders.contains_key(workspace) {
                bucket.set_lender(None);
            }
        }
        let current_lenders: Vec<&id::Instance> = lenders.values().collect();
        self.lenders
            .retain(|lender, _| current_lenders.contains(&lender));
    }

    /// Returns the time at which [`Holder::due_loan_requests`] next has something to send.
    #[must_use]
    pub fn next_loan_request_at(&self) -> Option<duration::Instant> {
        let lenders = self.lenders.iter();
        lenders
            .filter_map(|(lender, requests)| self.lender_request_at(lender, requests))
            .min()
    }

    fn lender_request_at(
        &self,
        lender: &id::Instance,
        requests: &LoanRequests,
    ) -> Option<duration::Instant> {
        let Some(earliest) = requests.next_request_at() else {
            return requests.resend_at();
        };
        if self.closed {
            return None;
        }
        let source = LoanSource::Entry(lender.clone());
        let buckets = self.buckets.values();
        let has_lender = |bucket: &&LocalBucket| bucket.lender.as_ref() == Some(lender);
        let buckets = buckets.filter(has_lender);
        let due = buckets.filter_map(|bucket| {
            if !bucket.borrows_from_lender() {
                return bucket.retry_lender_at().map(|at| at.max(earliest));
            }
            let return_at = bucket.return_loans_at(&source).map(|at| at.max(earliest));
            bucket
                .next_request_at(earliest)
                .into_iter()
                .chain(return_at)
                .min()
        });
        due.min()
    }

    /// Returns the loan requests to send now, each with its lender.
    pub fn due_loan_requests(
        &mut self,
        now: duration::Instant,
    ) -> Vec<(id::Instance, share::Renew)> {
        self.buckets
            .values_mut()
            .for_each(|bucket| bucket.advance(now));
        let lenders = self.lenders.iter();
        let due = lenders.filter(|(lender, requests)| {
            let due = self.lender_request_at(lender, requests);
            due.is_some_and(|due| now >= due)
        });
        let due: Vec<id::Instance> = due.map(|(lender, _)| lender.clone()).collect();
        let sent = due.into_iter().filter_map(|lender| {
            let request = self.loan_request(now, &lender)?;
            Some((lender, request))
        });
        sent.collect()
    }

    fn loan_request(
        &mut self,
        now: duration::Instant,
        lender: &id::Instance,
    ) -> Option<share::Renew> {
        let requests = self.lenders.get_mut(lender)?;
        if requests.give_up_expired(now) {
            // The leader is workspaces meanwhile; the lender is workspaces again after a pause.
            return None;
        }
        if let Some(resent) = requests.resend(now) {
            return Some(resent);
        }
        let may_borrow = !requests.is_silent();
        let source = LoanSource::Entry(lender.clone());
        let workspaces = workspaces_to_report(&self.buckets, lender, self.renewals.sequence());
        let mut demands = Vec::with_capacity(workspaces.len());
        for workspace in workspaces {
            if let Some(bucket) = self.buckets.get_mut(&workspace) {
                bucket.advance(now);
                demands.push(bucket.take_loan_demand(now, &workspace, &source, may_borrow));
            }
        }
        let request = share::Renew {
            instance: self.instance.clone(),
            boot: self.boot,
            sequence: self.renewals.next_sequence(),
            lends: false,
            demands,
        };
        requests.record_sent(now, request.clone());
        Some(request)
    }

    /// Applies a lender's answer; returns true if it was the awaited one.
    ///
    /// [`Holder::poll`] must be called then.
    pub fn apply_loans(
        &mut self,
        now: duration::Instant,
        lender: &id::Instance,
        answer: &share::Granted,
    ) -> bool {
        let requests = self.lenders.get_mut(lender);
        let answered = requests.and_then(|requests| requests.take_answer(answer.sequence));
        let Some((request, sent)) = answered else {
            return false;
        };
        let source = LoanSource::Entry(lender.clone());
        let until = sent.after(answer.lease.min(LOAN_DURATION));
        for demand in &request.demands {
            let Some(bucket) = self.buckets.get_mut(&demand.workspace) else {
                continue;
            };
            let mut grants = answer.grants.iter();
            let Some(grant) = grants.find(|grant| grant.workspace == demand.workspace) else {
                bucket.record_denial(now, &source);
                continue;
            };
            bucket.advance(now);
            if now < until && !self.closed {
                bucket.add_loan(now, grant, until, &source);
            }
            bucket.record_answer(&source);
        }
        true
    }
}

/// Returns the workspaces for the next loan request to one lender.
///
/// Workspaces with waiting requests come first, and take turns where they are too many for
/// one request.
fn workspaces_to_report(
    buckets: &BTreeMap<id::Workspace, LocalBucket>,
    lender: &id::Instance,
    turn: number::Sequence,
) -> Vec<id::Workspace> {
    let source = LoanSource::Entry(lender.clone());
    let reporting = buckets.iter().filter(|(_, bucket)| {
        let has_lender = bucket.borrows_from_lender() && bucket.lender.as_ref() == Some(lender);
        has_lender && bucket.has_report_for(&source)
    });
    let (mut waiting, others): (Vec<_>, Vec<_>) =
        reporting.partition(|(_, bucket)| bucket.shortage() > Amount::ZERO);
    if waiting.len() > MAX_WORKSPACES {
        let turn = usize::try_from(turn.0).unwrap_or_default() * MAX_WORKSPACES;
        let start = turn % waiting.len();
        waiting.rotate_left(start);
    }
    let selected = waiting.into_iter().chain(others).take(MAX_WORKSPACES);
    selected.map(|(workspace, _)| workspace.clone()).collect()
}
