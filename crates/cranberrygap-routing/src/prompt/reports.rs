//! What an entry reports to the homes of the engines that it uses.

use std::collections::{BTreeMap, BTreeSet};

use cranberrygap_model::{address, duration};

use super::backlog;

/// Time after which an unchanged backlog is reported again. A home counts it for a little more
/// than twice as long.
const REPEAT_INTERVAL: duration::Span = duration::Span::from_millis(500);

/// The sender's whole backlog at the engines of one home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Address of the home.
    pub home: address::Socket,
    /// Backlog of each engine of this home, by the hash of its name.
    pub backlogs: Vec<(u32, backlog::Backlog)>,
}

/// Reports that an entry has sent.
#[derive(Debug, Default)]
pub struct Reports {
    /// The last report to each home, with its time.
    sent: BTreeMap<address::Socket, (duration::Instant, Vec<(u32, backlog::Backlog)>)>,
    /// Homes that were told of prompts since their last report.
    noticed: BTreeSet<address::Socket>,
}

impl Reports {
    /// Records that a home is told of prompts, which it counts until the next report.
    ///
    /// A request that ends before that changes no report. Without one its home would count it for
    /// a second after its end.
    pub fn record_notices(&mut self, home: address::Socket) {
        self.noticed.insert(home);
    }

    /// What is due to be reported at `now`, out of the whole backlog by home.
    pub fn due(
        &mut self,
        now: duration::Instant,
        mut backlogs: BTreeMap<address::Socket, Vec<(u32, backlog::Backlog)>>,
    ) -> Vec<Report> {
        for home in self.sent.keys().chain(&self.noticed) {
            backlogs.entry(*home).or_default();
        }
        let noticed = std::mem::take(&mut self.noticed);
        let mut due = Vec::new();
        for (home, backlogs) in backlogs {
            let last = self.sent.get(&home);
            let is_new = noticed.contains(&home) || last.is_none_or(|(_, last)| *last != backlogs);
            let is_old = last.is_none_or(|(at, _)| now.since(*at) >= REPEAT_INTERVAL);
            if !is_new && !is_old {
                continue;
            }
            if backlogs.is_empty() && !is_new {
                // Reported twice that nothing is left.
                self.sent.remove(&home);
            } else {
                self.sent.insert(home, (now, backlogs.clone()));
            }
            due.push(Report { home, backlogs });
        }
        due
    }
}
