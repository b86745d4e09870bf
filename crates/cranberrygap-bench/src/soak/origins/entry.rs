//! One entry: its view, its lease and what it keeps of streams.

use cranberrygap_entry::view as held;
use cranberrygap_model::{address, duration, id, number};
use cranberrygap_routing::origin;
use cranberrygap_wire::view;

use super::network::Queue;

/// Time between two confirmations, and between two that a change asks for.
const CONFIRM_INTERVAL: duration::Span = duration::Span::from_millis(500);
const URGENT_INTERVAL: duration::Span = duration::Span::from_millis(20);

/// What an entry receives.
#[derive(Debug)]
pub enum Message {
    Frame(Box<view::Frame>),
    Confirmed(duration::Instant, view::Confirmed),
    Record(origin::Record),
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    pub number: usize,
    pub boot: u64,
    pub holder: held::Holder,
    pub keeper: origin::Keeper,
    pub inbox: Queue<Message>,
    /// Until when it is down, stands still, or does not reach the control processes.
    pub down_until: duration::Instant,
    pub frozen_until: duration::Instant,
    pub cut_until: duration::Instant,
    /// Time that frames take to reach it, until then.
    pub slow_feed: (duration::Span, duration::Instant),
    /// Whether it has to be sent the whole view.
    pub has_gap: bool,
    /// When something was done to it last.
    pub disturbed_at: duration::Instant,
    applied: number::Revision,
    confirmed: number::Revision,
    confirmed_at: duration::Instant,
    last_frame_at: duration::Instant,
}

impl Entry {
    pub fn new(now: duration::Instant, number: usize, boot: u64) -> Self {
        Self {
            number,
            boot,
            holder: held::Holder::default(),
            keeper: origin::Keeper::new(instance(number)),
            inbox: Queue::default(),
            down_until: now,
            frozen_until: now,
            cut_until: now,
            slow_feed: (duration::Span(0), now),
            has_gap: true,
            disturbed_at: now,
            applied: number::Revision(0),
            confirmed: number::Revision(0),
            confirmed_at: duration::Instant(0),
            last_frame_at: now,
        }
    }

    pub fn runs(&self, now: duration::Instant) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    pub fn reaches_control(&self, now: duration::Instant) -> bool {
        self.runs(now) && now >= self.cut_until
    }

    /// When a frame arrives that takes `delay`; one connection keeps its order.
    pub fn frame_arrival(
        &mut self,
        now: duration::Instant,
        delay: duration::Span,
    ) -> duration::Instant {
        let (slow, until) = self.slow_feed;
        let delay = if now < until { slow.max(delay) } else { delay };
        self.last_frame_at = self.last_frame_at.max(now.after(delay));
        self.last_frame_at
    }

    /// Applies what has arrived; returns what has to be told to whom.
    pub fn receive(&mut self, now: duration::Instant) -> Vec<(address::Socket, origin::Record)> {
        let mut told = Vec::new();
        while let Some(message) = self.inbox.take(now) {
            match message {
                Message::Frame(frame) => {
                    if self.holder.apply_frame(*frame).is_err() {
                        self.has_gap = true;
                    }
                }
                Message::Confirmed(sent, confirmed) => {
                    self.holder.apply_confirmation(sent, &confirmed);
                }
                Message::Record(record) => {
                    self.keeper.apply_record(now, &record);
                }
            }
        }
        let latest = self.holder.latest();
        if let Some(view) = latest.filter(|view| view.revision() != self.applied) {
            self.applied = view.revision();
            let entries = view.active_entries().map(|member| origin::Entry {
                instance: member.instance.clone(),
                domain: member.domain.clone(),
                address: member.address,
            });
            let contested = origin::contested(view.versions(), view.former_routes(), None);
            told = self.keeper.apply_view(now, entries.collect(), contested);
        }
        told
    }

    /// A confirmation, if one is due.
    pub fn confirm(&mut self, now: duration::Instant) -> Option<view::Confirm> {
        let since = now.since(self.confirmed_at);
        let is_urgent = self.holder.binding_revision() != self.confirmed;
        if since < CONFIRM_INTERVAL && !(is_urgent && since >= URGENT_INTERVAL) {
            return None;
        }
        self.confirmed_at = now;
        self.confirmed = self.holder.binding_revision();
        let member = member(self.number, view::Phase::Active);
        Some(view::Confirm {
            instance: member.instance,
            boot: number::Boot(self.boot),
            domain: member.domain,
            address: member.address,
            phase: member.phase,
            revision: self.holder.revision(),
            seen: Vec::new(),
            announcements: Vec::new(),
            demands: Vec::new(),
            endpoints: None,
            lending: None,
        })
    }
}

pub fn instance(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("a name")
}

/// The entry as the fleet knows it.
pub fn member(number: usize, phase: view::Phase) -> view::Member {
    const DOMAINS: usize = 3;
    let number_bytes = u16::try_from(number)
        .expect("a few hundred entries")
        .to_be_bytes();
    let ip = [10, 0, number_bytes[0], number_bytes[1]];
    view::Member {
        instance: instance(number),
        domain: format!("domain-{}", number % DOMAINS)
            .parse()
            .expect("a name"),
        role: view::Role::Entry,
        address: address::Socket((ip, 7_601).into()),
        endpoints: None,
        lending: None,
        phase,
    }
}
