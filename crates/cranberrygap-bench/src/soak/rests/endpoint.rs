//! An endpoint that rejects in waves, drains and restarts.

use cranberrygap_model::{duration, id, number};

/// Time in which the requests that an endpoint takes are counted.
const WINDOW: duration::Span = duration::Span::from_millis(100);

/// Requests that an endpoint takes in that time.
pub const CAPACITY: usize = 10;

/// Rest that a full endpoint asks for.
const FULL_REST: duration::Span = duration::Span::from_millis(600);

/// What an endpoint responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// The rest that it asks for in place of running the request.
    pub rest: Option<duration::Span>,
    /// Whether it says that it drains.
    pub is_draining: bool,
}

/// An endpoint as it is.
#[derive(Debug)]
pub struct Endpoint {
    /// Name of all its processes.
    pub name: id::Endpoint,
    /// The process that runs, or starts next.
    pub boot: number::Boot,
    /// Whether the process says that it drains.
    pub is_draining: bool,
    /// Until when it is down.
    pub down_until: duration::Instant,
    /// Until when it rejects everything, and the rest that it asks for.
    pub rejects: (duration::Instant, duration::Span),
    taken: Vec<duration::Instant>,
}

impl Endpoint {
    /// Creates an endpoint that takes requests.
    #[must_use]
    pub fn new(name: id::Endpoint) -> Self {
        Self {
            name,
            boot: number::Boot(1),
            is_draining: false,
            down_until: duration::Instant::default(),
            rejects: <_>::default(),
            taken: Vec::new(),
        }
    }

    /// Ends the process; the next one starts after some time.
    pub fn restart(&mut self, now: duration::Instant, after: duration::Span) {
        self.boot = self.boot.next();
        self.is_draining = false;
        self.down_until = now.after(after);
        self.rejects = <_>::default();
        self.taken.clear();
    }

    /// Responds to a request; `None` if nothing listens.
    pub fn respond(&mut self, now: duration::Instant) -> Option<Response> {
        if now < self.down_until {
            return None;
        }
        let (until, rest) = self.rejects;
        let rest = if now < until {
            Some(rest)
        } else {
            self.taken.retain(|at| now.since(*at) < WINDOW);
            let is_full = self.taken.len() >= CAPACITY;
            if !is_full {
                self.taken.push(now);
            }
            is_full.then_some(FULL_REST)
        };
        Some(Response {
            rest,
            is_draining: self.is_draining,
        })
    }
}
