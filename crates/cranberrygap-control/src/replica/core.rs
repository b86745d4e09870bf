//! The protocol's task.

mod forming;
mod membership;

use std::sync::{Arc, mpsc};
use std::time;

use bytes::Bytes;
use cranberrygap_agreement::{
    entry, formation as founding, input, message, node, output, packet, replica, snapshot,
};
use cranberrygap_link::clock;
use cranberrygap_model::{address, duration};
use cranberrygap_storage::recovered;
use parking_lot::RwLock;
use tokio::sync::mpsc as channel;

use super::{Settings, formation, published, request, waiters, writer};
use crate::{state_machine, transport};

/// Requests taken before outputs are carried out; more proposals share a sync.
const DRAIN: usize = 512;

/// Entries that wait to be applied beyond which it is said; the changes of a moment stay
/// below.
const LONG_BACKLOG: u64 = 64;

/// Bytes of entries for each byte of a snapshot, so that writing snapshots stays a small
/// part of writing the log.
const SNAPSHOT_COST: u64 = 4;

/// What the task is built from.
pub(super) struct Parts {
    pub(super) settings: Settings,
    pub(super) machine: Arc<dyn state_machine::StateMachine>,
    pub(super) transport: Arc<dyn transport::Transport>,
    pub(super) clock: clock::Clock,
    pub(super) published: Arc<RwLock<published::Published>>,
    pub(super) writer: mpsc::Sender<writer::Job>,
    pub(super) seed: u64,
}

/// How far the replica has come.
enum Phase {
    /// It has no group yet.
    Forming(founding::Formation),
    /// The group is being made durable.
    Joining(Box<node::Node>),
    /// It takes part.
    Running(Box<node::Node>),
    /// A write failed; it takes no part any more.
    Failed,
}

/// State of the task.
pub(super) struct Core {
    parts: Parts,
    own: replica::Id,
    formed: Option<founding::Formed>,
    phase: Phase,
    directory: formation::Directory,
    waiters: waiters::Waiters,
    transfer: Option<request::Done>,
    proposals: Vec<(Bytes, request::Committed)>,
    presented: time::Instant,
    led: bool,
    /// Committed entries that wait to be applied, as last looked at.
    backlog: u64,
    /// Whether it was said that many wait.
    lags: bool,
    /// Bytes of entries applied since the last snapshot.
    applied: u64,
    /// Size of the last snapshot that was taken here, in bytes.
    snapshot: u64,
}

impl Core {
    pub(super) fn new(parts: Parts, recovered: recovered::Recovered) -> Self {
        let own = recovered.identity.replica;
        let snapshot = recovered.snapshot.as_ref();
        spdlog::info!(
            "agreement: read {} entries after entry {}, term {}, vote {:?}",
            recovered.entries.len(),
            snapshot.map_or(0, |found| found.position.index.0),
            recovered.hard.term,
            recovered.hard.vote.map(|id| id.to_string())
        );
        let covered = snapshot.map_or(0, |found| found.data.len() as u64);
        let formed = recovered.identity.formed.clone();
        let phase = match &formed {
            Some(formed) => {
                let start = node::Start::builder()
                    .id(own)
                    .group(formed.group)
                    .timing(parts.settings.timing)
                    .limits(parts.settings.limits)
                    .seed(parts.seed)
                    .hard(recovered.hard)
                    .maybe_snapshot(recovered.snapshot)
                    .entries(recovered.entries)
                    .build();
                Phase::Running(Box::new(node::Node::new(start, parts.clock.now())))
            }
            None => Phase::Forming(founding::Formation::new(
                forming::hello(own, &parts.settings.own),
                parts.settings.voters.clone(),
            )),
        };
        Self {
            parts,
            own,
            formed,
            phase,
            directory: formation::Directory::default(),
            waiters: waiters::Waiters::default(),
            transfer: None,
            proposals: Vec::new(),
            presented: time::Instant::now(),
            led: false,
            backlog: 0,
            lags: false,
            applied: 0,
            snapshot: covered,
        }
    }

    pub(super) async fn run(
        mut self,
        mut requests: channel::Receiver<request::Request>,
        mut done: channel::UnboundedReceiver<writer::Done>,
    ) {
        spdlog::info!(
            "agreement: replica {} of {}",
            self.own,
            self.parts.settings.own
        );
        self.present();
        self.try_found();
        self.step(input::Input::Tick);
        loop {
            let wake = tokio::time::Instant::from_std(self.wake());
            tokio::select! {
                Some(done) = done.recv() => self.done(done),
                request = requests.recv() => {
                    let Some(request) = request else { return };
                    if !self.take(request, &mut requests) {
                        return;
                    }
                }
                () = tokio::time::sleep_until(wake) => self.tick(),
            }
            self.publish();
            self.note_backlog();
            if self.backlog > 0 {
                // What was sent goes out on other tasks of this thread, and they must
                // have their turn between two parts of a long log.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Takes a request and all that wait behind it; false to stop.
    fn take(
        &mut self,
        first: request::Request,
        more: &mut channel::Receiver<request::Request>,
    ) -> bool {
        let mut next = Some(first);
        for _ in 0..DRAIN {
            let Some(request) = next else { break };
            if !self.request(request) {
                return false;
            }
            next = more.try_recv().ok();
        }
        if let Some(request) = next
            && !self.request(request)
        {
            return false;
        }
        self.propose();
        true
    }

    fn request(&mut self, request: request::Request) -> bool {
        match request {
            request::Request::Deliver { from, message } => self.deliver(&from, &message),
            request::Request::Propose { payload, answer } => self.proposals.push((payload, answer)),
            request::Request::Change {
                change,
                instance,
                answer,
            } => self.change(change, &instance, answer),
            request::Request::Alter(change, answer) => self.alter(change, answer),
            request::Request::Standing(answer) => drop(answer.send(self.standing())),
            request::Request::Transfer(answer) => self.begin_transfer(answer),
            request::Request::Dump(answer) => drop(answer.send(self.dump())),
            request::Request::Stop(answer) => {
                self.waiters.give_up();
                // Nobody may wait any more.
                let _closed = answer.send(());
                return false;
            }
        }
        true
    }

    fn wake(&self) -> time::Instant {
        let present = self.presented + formation::PRESENT;
        match &self.phase {
            Phase::Running(node) => {
                let due = self.at(node.deadline());
                if node.members().0.contains_key(&self.own) {
                    return due;
                }
                due.min(self.presented + formation::PRESENT_LEARNER)
            }
            _ => present,
        }
    }

    /// When the process's clock shows `due`.
    fn at(&self, due: duration::Instant) -> time::Instant {
        // An instant that far ahead means never; a day is as good.
        let most = time::Duration::from_hours(24);
        let ahead = due.since(self.parts.clock.now());
        time::Instant::now() + ahead.to_std().min(most)
    }

    fn tick(&mut self) {
        if time::Instant::now() >= self.presented + formation::PRESENT {
            self.present();
        }
        self.step(input::Input::Tick);
    }

    /// Says once that many entries wait to be applied, and once that none does any more.
    fn note_backlog(&mut self) {
        self.backlog = match &self.phase {
            Phase::Running(node) => node.backlog(),
            _ => 0,
        };
        if !self.lags && self.backlog > LONG_BACKLOG {
            self.lags = true;
            spdlog::info!("agreement: {} committed entries to apply", self.backlog);
        }
        if self.lags && self.backlog == 0 {
            self.lags = false;
            spdlog::info!("agreement: all committed entries are applied");
        }
    }

    fn step(&mut self, input: input::Input) {
        let now = self.parts.clock.now();
        let Phase::Running(node) = &mut self.phase else {
            return;
        };
        let outputs = node.step(now, input);
        for output in outputs {
            self.carry_out(output);
        }
        self.after_step();
    }

    fn carry_out(&mut self, output: output::Output) {
        match output {
            output::Output::Write(write) => self.write(writer::Job::Write(write)),
            output::Output::Send(message) => self.send(message),
            output::Output::Apply(entries) => self.apply(entries),
            output::Output::Restore(snapshot) => self.restore(&snapshot),
            output::Output::VoteEvent(ballot) => spdlog::info!("agreement: {ballot}"),
            // Both are read by the callers that expect them.
            output::Output::Accepted(_) | output::Output::Refused(_) => {}
        }
    }

    fn write(&mut self, job: writer::Job) {
        // The thread ends only after it has reported a failure.
        drop(self.parts.writer.send(job));
    }

    fn apply(&mut self, entries: Vec<entry::Entry>) {
        for entry in entries {
            self.applied += entry.size() as u64;
            let answer = match &entry.payload {
                entry::Payload::Data(data) => self.parts.machine.apply(entry.position.index, data),
                entry::Payload::Empty | entry::Payload::Members(_) => Bytes::new(),
            };
            self.waiters.settle(entry.position, &answer);
        }
    }

    fn restore(&mut self, snapshot: &snapshot::Snapshot) {
        let index = snapshot.position.index;
        self.applied = 0;
        self.snapshot = snapshot.data.len() as u64;
        spdlog::info!("agreement: takes a snapshot up to entry {index} from the leader");
        if let Err(cause) = self.parts.machine.restore(index, &snapshot.data) {
            self.fail(&format!(
                "the leader's snapshot cannot be restored: {cause}"
            ));
        }
    }

    fn after_step(&mut self) {
        let Phase::Running(node) = &mut self.phase else {
            return;
        };
        let leads = node.is_leader();
        if leads != self.led {
            self.led = leads;
            let term = node.hard().term;
            let change = if leads { "leads" } else { "leads no more" };
            spdlog::info!("agreement: {change} in term {term}");
        }
        if !leads {
            self.waiters.give_up();
            if let Some(answer) = self.transfer.take() {
                drop(answer.send(Ok(())));
            }
        }
        self.snapshot();
    }

    fn snapshot(&mut self) {
        let Phase::Running(node) = &mut self.phase else {
            return;
        };
        let index = node.applied();
        let since = index.0.saturating_sub(node.snapshot_position().index.0);
        let settings = &self.parts.settings;
        // A whole plan is an entry of tens of kilobytes that replaces the one before; by
        // their number alone hundreds of them would be read and applied at each start. A
        // snapshot costs what it holds, so a large one is taken less often.
        let enough = settings.snapshot_bytes.max(self.snapshot * SNAPSHOT_COST);
        if since < settings.snapshot_after && self.applied < enough {
            return;
        }
        let data = self.parts.machine.snapshot();
        self.applied = 0;
        self.snapshot = data.len() as u64;
        spdlog::debug!(
            "agreement: snapshot of {} bytes up to entry {index}",
            data.len()
        );
        let now = self.parts.clock.now();
        let outputs = node.step(now, input::Input::Snapshot { index, data });
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn done(&mut self, done: writer::Done) {
        match done {
            writer::Done::Written { ticket, then } => {
                for message in then {
                    self.send(message);
                }
                self.step(input::Input::Written(ticket));
            }
            writer::Done::Joined => self.joined(),
            writer::Done::Failed(cause) => self.fail(&cause.to_string()),
        }
    }

    /// Ends this replica's part in the protocol.
    ///
    /// After a failed write or sync nothing more may be acknowledged: one would
    /// see an accepted change gone after a restart. Silent, it looks dead to the
    /// others, and they elect another leader.
    fn fail(&mut self, cause: &str) {
        spdlog::critical!("storage: {cause}");
        spdlog::critical!("agreement: takes no part any more; mend the disk and start again");
        self.waiters.give_up();
        self.parts.published.write().failure = Some(cause.to_owned());
        self.phase = Phase::Failed;
    }

    fn send(&self, message: message::Message) {
        let to = message.to;
        let Some(peer) = self.peer(to) else {
            return;
        };
        self.send_packet(&peer, &packet::Packet::Protocol(message));
    }

    fn send_packet(&self, peer: &address::Peer, packet: &packet::Packet) {
        let bytes = postcard::to_stdvec(packet).expect("a packet is always encodable");
        self.parts.transport.send(peer, Bytes::from(bytes));
    }

    fn deliver(&mut self, from: &address::Peer, bytes: &[u8]) {
        let Ok(packet) = postcard::from_bytes::<packet::Packet>(bytes) else {
            spdlog::warn!("agreement: a packet from {from} cannot be understood; dropped");
            return;
        };
        if let Some(id) = formation::sender(&packet) {
            self.directory.note(id, from);
        }
        match packet {
            packet::Packet::Hello(hello) => self.hello(from, hello),
            packet::Packet::Formed(formed) => self.learn(&formed),
            packet::Packet::Protocol(message) => self.step(input::Input::Receive(message)),
        }
    }

    fn propose(&mut self) {
        if self.proposals.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.proposals);
        let (payloads, answers): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let outcome = self.ask(input::Input::Propose(payloads));
        match outcome {
            Ok(mut at) => {
                for answer in answers {
                    self.waiters.proposal(at, answer);
                    at.index = at.index.next();
                }
            }
            Err(refusal) => {
                let error = self.log_error(&refusal);
                for answer in answers {
                    drop(answer.send(Err(error.clone())));
                }
            }
        }
        self.after_step();
    }
}
