//! Deliberate flaws, to show that the checks see them.

/// What is wrong.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flaw {
    /// Nothing.
    #[default]
    None,
    /// Entries hold their leases for longer than the leader counts them.
    LeaseTooLong,
    /// Changes are acknowledged as soon as they are committed.
    AcknowledgedAtCommit,
    /// Changes are acknowledged before a quorum has them.
    AcknowledgedBeforeQuorum,
    /// Entries confirm each revision at once, and leases ask for each.
    EachRevisionBinds,
    /// Entries get leases however far their view is behind.
    LeaseWhileBehind,
    /// A change in parts lacks one.
    PartLeftOut,
    /// A source that an entry goes on at leaves out the first update that it lacks.
    UpdateSkipped,
    /// A plan without workspaces is taken for one that asks for no keys.
    EmptyAdmitsAnyone,
}
