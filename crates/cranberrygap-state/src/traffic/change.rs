//! The commands that lead from one traffic plan to another.

use cranberrygap_wire::traffic;
use smol_str::SmolStr;

use super::{part, split, stage, text};
use crate::command;

/// A plan with the text that it was read from.
#[derive(Debug, Clone, Copy)]
pub struct Version<'plan> {
    /// The plan.
    pub plan: &'plan traffic::Plan,
    /// Its text.
    pub source: &'plan str,
}

/// A change of the plan in parts.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// All parts but the last.
    pub parts: Vec<stage::Part>,
    /// The last part, which puts the change in force.
    pub adoption: stage::Adoption,
}

impl Change {
    /// Creates the change from the plan in force, if there is one, to `to`.
    ///
    /// Its parts have about `max_bytes` of JSON each.
    ///
    /// # Panics
    ///
    /// Never; a change has at least one part.
    #[must_use]
    pub fn new(
        stage: &traffic::Stage,
        from: Option<Version<'_>>,
        to: Version<'_>,
        max_bytes: usize,
    ) -> Self {
        let base = from.map(|from| from.plan);
        let change = part::between(base, to.plan);
        let edits = text::between(from.map_or("", |from| from.source), to.source);
        let mut parts = split::split(stage, change, edits, max_bytes);
        let last = parts.pop().expect("a change has at least one part");
        let adoption = stage::Adoption {
            last,
            base: base.map(|plan| plan.version),
            version: to.plan.version,
            bounds: to.plan.bounds.clone(),
            access: to.plan.access,
            text_hash: SmolStr::new(blake3::hash(to.source.as_bytes()).to_hex().as_str()),
        };
        Self { parts, adoption }
    }

    /// Returns the commands to commit, one after the other.
    pub fn into_commands(self) -> impl Iterator<Item = command::Command> {
        let parts = self.parts.into_iter().map(Box::new);
        let parts = parts.map(command::Command::TrafficPart);
        let adoption = command::Command::TrafficAdoption(Box::new(self.adoption));
        parts.chain(std::iter::once(adoption))
    }
}
