//! One host: a disk, a clock, and a replica while it runs.

use std::collections::BTreeMap;

use cranberrygap_agreement::{formation, hard, input, limits, node, replica, write};
use cranberrygap_model::{address, number};
use cranberrygap_storage::{error, folder, recovered};

use super::{clock, disk, machine};

/// Entries after which a snapshot is taken; small, so that many are.
pub const SNAPSHOT_AFTER: u64 = 40;

/// A replica that runs.
#[derive(Debug)]
pub struct Running {
    /// The protocol.
    pub node: node::Node,
    /// The data folder.
    pub folder: folder::Folder,
    /// The state machine.
    pub machine: machine::Machine,
    /// Writes that are not durable yet.
    pub pending: Vec<write::Write>,
    /// Changes whose proposer waits here, by index.
    pub waiting: BTreeMap<number::Index, (number::Term, machine::Change)>,
}

/// A host, whether its replica runs or not.
#[derive(Debug)]
pub struct Host {
    /// Id of the present folder.
    pub id: replica::Id,
    /// Instance and address.
    pub peer: address::Peer,
    /// Its disk.
    pub disk: disk::Disk,
    /// Its clock.
    pub clock: clock::Clock,
    /// Counts starts, so that events of an earlier life are dropped.
    pub life: u64,
    /// Until when it stands still.
    pub frozen_until: u64,
    /// When it wakes next.
    pub wake: u64,
    /// Whether its present id was ever a member.
    pub was_member: bool,
    /// The replica, while it runs.
    pub running: Option<Running>,
}

impl Host {
    /// Opens the folder and starts the replica from what is in it.
    pub fn start(
        &mut self,
        formed: &formation::Formed,
        now: u64,
        seed: u64,
    ) -> Result<recovered::Recovered, error::Error> {
        let files = Box::new(self.disk.clone());
        let opened = folder::Folder::open(files, &self.peer.instance, self.id);
        let (mut folder, mut found) = opened?;
        let fresh = found.identity.formed.is_none();
        if fresh {
            self.join(&mut folder, formed, &mut found)?;
        }
        let machine = match &found.snapshot {
            Some(snapshot) => machine::Machine::restore(&snapshot.data)
                .expect("a snapshot that passed its checksum is one of ours"),
            None => machine::Machine::default(),
        };
        let start = node::Start::builder()
            .id(self.id)
            .group(formed.group)
            .limits(limits())
            .seed(seed)
            .hard(found.hard)
            .maybe_snapshot(found.snapshot.clone())
            .entries(found.entries.clone())
            .fresh(fresh)
            .build();
        self.life += 1;
        self.wake = 0;
        self.running = Some(Running {
            node: node::Node::new(start, self.clock.show(now)),
            folder,
            machine,
            pending: Vec::new(),
            waiting: BTreeMap::new(),
        });
        Ok(found)
    }

    fn join(
        &self,
        folder: &mut folder::Folder,
        formed: &formation::Formed,
        found: &mut recovered::Recovered,
    ) -> Result<(), error::Error> {
        found.hard = hard::State {
            term: number::Term(1),
            vote: None,
        };
        found.entries.clear();
        if formed.founders.is_voter(self.id) {
            found.entries.push(formed.first_entry());
        }
        let first = write::Write {
            hard: Some(found.hard),
            entries: found.entries.clone(),
            ..write::Write::default()
        };
        folder.write(&[first])?;
        folder.record_group(formed.clone())
    }

    /// Ends the replica; what it had not written is gone.
    pub fn stop(&mut self) {
        self.running = None;
        self.life += 1;
    }
}

impl Running {
    /// The input that takes a snapshot, if one is due.
    pub fn due_snapshot(&self) -> Option<input::Input> {
        let index = self.node.applied();
        let since = index.0 - self.node.snapshot_position().index.0.min(index.0);
        let data = || self.machine.snapshot();
        (since >= SNAPSHOT_AFTER).then(|| input::Input::Snapshot {
            index,
            data: data(),
        })
    }
}

/// Small bounds, so that windows fill and snapshots take several chunks.
fn limits() -> limits::Limits {
    limits::Limits {
        message_bytes: 512,
        window: 4,
        chunk_bytes: 300,
        trailing_entries: 10,
        learner_lag: 8,
        ..limits::Limits::default()
    }
}
