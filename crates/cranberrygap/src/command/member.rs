//! `cranberrygap member`: who belongs to the fleet.

use clap::Subcommand;
use cranberrygap_wire::operator;

use super::{Ask, show};

pub mod add;
pub mod list;
pub mod remove;

/// What to do with members.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Add a control process, which must run with `join = true`.
    Add(add::Arguments),
    /// Remove a control process, for instance one that is lost.
    Remove(remove::Arguments),
    /// List entries, control processes and the group.
    List(list::Arguments),
}

impl Command {
    pub(super) fn chosen(&self) -> &dyn Ask {
        match self {
            Self::Add(wanted) => wanted,
            Self::Remove(wanted) => wanted,
            Self::List(wanted) => wanted,
        }
    }
}

fn text(group: &operator::Group) -> String {
    let names = |names: &[cranberrygap_model::id::Instance]| {
        let names: Vec<&str> = names
            .iter()
            .map(cranberrygap_model::id::Instance::as_str)
            .collect();
        names.join(", ")
    };
    let leader = group
        .leader
        .as_ref()
        .map_or("nobody", |leader| leader.as_str());
    let mut lines = vec![
        format!("voters: {}", names(&group.voters)),
        format!("learners: {}", names(&group.learners)),
        format!("leader: {leader} in term {}", group.term),
    ];
    lines.extend(group.members.iter().map(show::member_line));
    lines.join("\n")
}
