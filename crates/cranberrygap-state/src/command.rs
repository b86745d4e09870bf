//! Commands that the replicated log carries.

use cranberrygap_model::number;
use cranberrygap_placement::journal;
use cranberrygap_wire::{operator, view};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    catalogue, claim, configuration, endpoint, evacuation, group, key, lender, member, quarantine,
    share, traffic,
};

/// A command and the leader's clock when it was proposed.
///
/// Replicas never read their own clocks while they apply commands, because they
/// would reach different states.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Unix time in milliseconds.
    pub at: u64,
    /// Command to apply.
    pub command: Command,
}

/// A change of the state, by subject.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "subject", content = "step", rename_all = "snake_case")]
pub enum Command {
    /// A new configuration.
    Configuration(configuration::Step),
    /// The weight store's list.
    Catalogue(catalogue::Step),
    /// Keys of callers.
    Key(key::Step),
    /// Endpoints and their health.
    Endpoint(endpoint::Step),
    /// Entries and control processes.
    Member(member::Step),
    /// Claims of bookings.
    Claim(claim::Step),
    /// Requests that crash endpoints.
    Quarantine(quarantine::Step),
    /// A change of the replicated group, recorded after it was made.
    Group(group::Step),
    /// Shares of the workspaces' rates and bursts.
    Share(share::Step),
    /// Entries that lend tokens in place of the leader.
    Lender(lender::Step),
    /// Orders to endpoints.
    Order(journal::Record),
    /// A new traffic plan as a whole, as earlier versions of the program propose it.
    Traffic(Box<traffic::Step>),
    /// Part of a change of the traffic plan.
    TrafficPart(Box<traffic::stage::Part>),
    /// Last part of a change of the traffic plan, which puts it in force.
    TrafficAdoption(Box<traffic::stage::Adoption>),
    /// Streams that began where routes led before the plan of this revision are over.
    FormerRoutes(number::Revision),
    /// Models and adapters that are being loaded or dropped at an endpoint.
    Residency(view::Residency),
    /// Takes an entry, control process or endpoint out of service by its name.
    Drain(operator::Drain),
    /// Evacuates a failure domain, or lets its endpoints get requests again.
    Evacuation(evacuation::Step),
    /// Ends the quarantine or probation of a request.
    Release(operator::Release),
}

impl Command {
    /// Returns the operator who asks; answers to operators are remembered by change id.
    #[must_use]
    pub const fn author(&self) -> Option<&operator::Author> {
        match self {
            Self::Configuration(step) => Some(&step.author),
            Self::Key(step) => Some(step.author()),
            Self::Group(step) => Some(&step.author),
            Self::Drain(drain) => Some(&drain.author),
            Self::Release(release) => Some(&release.author),
            Self::Evacuation(step) => step.author.as_ref(),
            Self::Catalogue(_)
            | Self::Endpoint(_)
            | Self::Member(_)
            | Self::Claim(_)
            | Self::Lender(_)
            | Self::Order(_)
            | Self::Quarantine(_)
            | Self::Traffic(_)
            | Self::TrafficPart(_)
            | Self::TrafficAdoption(_)
            | Self::FormerRoutes(_)
            | Self::Residency(_)
            | Self::Share(_) => None,
        }
    }

    /// Returns the subject of the command, in a word.
    #[must_use]
    pub const fn subject(&self) -> &'static str {
        match self {
            Self::Configuration(_) => "configuration",
            Self::Catalogue(_) => "catalogue",
            Self::Key(_) => "key",
            Self::Endpoint(_) => "endpoint",
            Self::Member(_) => "member",
            Self::Claim(_) => "claim",
            Self::Quarantine(_) | Self::Release(_) => "quarantine",
            Self::Group(_) => "group",
            Self::Share(_) => "share",
            Self::Lender(_) => "lender",
            Self::Order(_) => "order",
            Self::Traffic(_)
            | Self::TrafficPart(_)
            | Self::TrafficAdoption(_)
            | Self::FormerRoutes(_) => "traffic",
            Self::Residency(_) => "residency",
            Self::Drain(_) => "drain",
            Self::Evacuation(_) => "evacuation",
        }
    }

    /// Returns a description of the command, in a few words for the history.
    #[must_use]
    pub fn summary(&self) -> SmolStr {
        match self {
            Self::Key(step) => step.summary(),
            Self::Group(step) => format!("{} {}", step.instance, step.change).into(),
            Self::Drain(drain) => format!("drain {}", drain.name).into(),
            Self::Release(release) => format!("release {}", release.fingerprint).into(),
            Self::Evacuation(step) => step.summary(),
            Self::Traffic(step) => format!("traffic plan {}", step.plan.version).into(),
            _ => SmolStr::new_static(self.subject()),
        }
    }
}
