//! One entry: its view, its heartbeats and its subscription.

use cranberrygap_entry::view as held;
use cranberrygap_entry::view::source;
use cranberrygap_model::{duration, number};
use cranberrygap_policy::leader_calls;
use cranberrygap_wire::{traffic, view};

use super::flaw::Flaw;
use super::packet::{Packet, Place};

/// Times of the entry's task for heartbeats.
const PERIOD: u64 = 500_000;
const RETRY: u64 = 60_000;
const DEADLINE: u64 = 500_000;
/// Time for which a process that did not answer is not asked on another one's word.
const AVOIDED: u64 = 1_200_000;

/// A heartbeat that waits for its answer.
#[derive(Debug)]
struct Call {
    number: u64,
    sent: u64,
    binding: number::Revision,
}

/// A subscription.
#[derive(Debug)]
struct Follow {
    number: u64,
    source: source::Source,
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    pub number: usize,
    pub boot: u64,
    pub offset: u64,
    pub holder: held::Holder,
    pub frozen_until: u64,
    pub starts_at: Option<u64>,
    /// Highest version that it served by in this boot.
    pub served: u64,
    call: Option<Call>,
    next_beat: u64,
    /// When the leader answered last, and the time that lies between two calls.
    answered: u64,
    gap: u64,
    reached: bool,
    confirmed: number::Revision,
    target: usize,
    avoided: Option<(usize, u64)>,
    follow: Option<Follow>,
    next_follow: u64,
    rotation: usize,
    calls: u64,
    flaw: Flaw,
    /// Heartbeats without an answer in time.
    pub unanswered: u64,
    /// Whether it asks a source for what it lacks only.
    pub resumes: bool,
    /// Whether it asks for the whole view, since updates did not fit.
    pub needs_whole: bool,
}

impl Entry {
    pub fn new(number: usize, boot: u64, offset: u64, resumes: bool, flaw: Flaw) -> Self {
        Self {
            number,
            boot,
            offset,
            holder: held::Holder::default(),
            frozen_until: 0,
            starts_at: None,
            served: 0,
            call: None,
            next_beat: 0,
            answered: 0,
            gap: 0,
            reached: false,
            confirmed: number::Revision(0),
            target: number,
            avoided: None,
            follow: None,
            next_follow: 0,
            rotation: number,
            calls: boot << 32,
            flaw,
            unanswered: 0,
            resumes,
            needs_whole: false,
        }
    }

    pub fn clock(&self, now: u64) -> duration::Instant {
        duration::Instant(self.offset + now)
    }

    /// What it sends at `now`, of so many control processes.
    pub fn poll(&mut self, now: u64, controls: usize) -> Vec<(Place, Packet)> {
        let mut sends = Vec::new();
        self.beat(now, controls, &mut sends);
        self.subscribe(now, controls, &mut sends);
        sends
    }

    /// The revision that the leader is to be told of.
    fn binding(&self) -> number::Revision {
        match self.flaw {
            Flaw::EachRevisionBinds => self.holder.revision(),
            _ => self.holder.binding_revision(),
        }
    }

    fn beat(&mut self, now: u64, controls: usize, sends: &mut Vec<(Place, Packet)>) {
        let late = |call: &Call| now > call.sent + DEADLINE;
        if self.call.as_ref().is_some_and(late) {
            self.call = None;
            self.unanswered += 1;
            self.avoided = Some((self.target, now));
            self.target = (self.target + 1) % controls;
            self.reached = false;
            self.next_beat = now + RETRY.max(self.gap);
        }
        let news = self.reached && self.binding() != self.confirmed;
        let news = news && now >= self.answered + self.gap;
        if self.call.is_some() || (now < self.next_beat && !news) {
            return;
        }
        self.calls += 1;
        self.target %= controls;
        let revision = self.holder.revision();
        self.call = Some(Call {
            number: self.calls,
            sent: now,
            binding: self.binding(),
        });
        let serves = self.holder.current(self.clock(now)).is_some();
        let phase = if serves {
            view::Phase::Active
        } else {
            view::Phase::Draining
        };
        let confirm = view::Confirm {
            instance: format!("entry-{}", self.number)
                .parse()
                .expect("a plain name"),
            boot: number::Boot(self.boot),
            domain: "domain-1".parse().expect("a plain name"),
            address: "127.0.0.1:9".parse().expect("an address"),
            endpoints: None,
            lending: None,
            phase,
            revision,
            seen: Vec::new(),
            announcements: Vec::new(),
            demands: Vec::new(),
        };
        let call = self.calls;
        let packet = Packet::Confirm { call, confirm };
        sends.push((Place::Control(self.target), packet));
    }

    fn subscribe(&mut self, now: u64, controls: usize, sends: &mut Vec<(Place, Packet)>) {
        let clock = self.clock(now);
        let lost = self
            .follow
            .as_ref()
            .is_some_and(|follow| follow.source.failure(clock, &self.holder).is_some());
        if lost {
            self.unfollow(now);
        }
        if self.follow.is_some() || now < self.next_follow {
            return;
        }
        self.calls += 1;
        self.rotation = (self.rotation + 1) % controls;
        self.follow = Some(Follow {
            number: self.calls,
            source: source::Source::new(clock),
        });
        let wanted = view::Subscribe {
            instance: format!("entry-{}", self.number)
                .parse()
                .expect("a plain name"),
            boot: number::Boot(self.boot),
            revision: self.holder.revision(),
            founded: self
                .holder
                .latest()
                .and_then(|held| held.founded())
                .filter(|_| self.resumes && !self.needs_whole),
        };
        let call = self.calls;
        let packet = Packet::Subscribe { call, wanted };
        sends.push((Place::Control(self.rotation), packet));
    }

    fn unfollow(&mut self, now: u64) {
        self.follow = None;
        self.next_follow = now + source::RECONNECT_DELAY.0;
    }

    /// Takes a packet.
    pub fn take(&mut self, now: u64, packet: Packet) {
        match packet {
            Packet::Confirmed { call, answer } => self.confirmed(now, call, answer),
            Packet::Frame { call, frame } => self.frame(now, call, *frame),
            Packet::Refused { call }
                if self
                    .follow
                    .as_ref()
                    .is_some_and(|follow| follow.number == call) =>
            {
                self.unfollow(now);
            }
            _ => {}
        }
    }

    fn confirmed(&mut self, now: u64, number: u64, answer: Result<view::Confirmed, Option<usize>>) {
        let Some(call) = self.call.take_if(|call| call.number == number) else {
            return;
        };
        match answer {
            Ok(confirmed) => {
                let sent = duration::Instant(self.offset + call.sent);
                self.holder.apply_confirmation(sent, &confirmed);
                self.confirmed = call.binding;
                self.reached = true;
                self.answered = now;
                self.next_beat = now + PERIOD;
            }
            Err(leader) => {
                let avoided = |place: &usize| {
                    self.avoided
                        .is_some_and(|(at, since)| at == *place && now < since + AVOIDED)
                };
                let next = leader.filter(|place| !avoided(place));
                self.target = next.unwrap_or(self.target + 1);
                self.next_beat = if next.is_some() {
                    now
                } else {
                    now + RETRY.max(self.gap)
                };
                self.reached = false;
            }
        }
    }

    fn frame(&mut self, now: u64, number: u64, frame: view::Frame) {
        let clock = self.clock(now);
        let Some(follow) = self
            .follow
            .as_mut()
            .filter(|follow| follow.number == number)
        else {
            return;
        };
        follow.source.record_frame(clock);
        self.needs_whole = self.holder.apply_frame(frame).is_err();
        if self.needs_whole {
            self.unfollow(now);
        }
        let view = self.holder.latest();
        self.gap = match self.flaw {
            Flaw::EachRevisionBinds => 0,
            _ => leader_calls::min_interval(view.map_or(0, |view| view.entries())).0,
        };
    }

    /// Version of the plan that it serves by, if it may serve.
    pub fn decides_by(&self, now: u64) -> Option<u64> {
        let current = self.holder.current(self.clock(now))?;
        Some(current.traffic().map_or(0, |table| table.plan().version))
    }

    /// The plan that this entry decides by.
    pub fn plan(&self, now: u64) -> Option<traffic::Plan> {
        let current = self.holder.current(self.clock(now))?;
        current.traffic().map(|table| table.plan().clone())
    }
}
