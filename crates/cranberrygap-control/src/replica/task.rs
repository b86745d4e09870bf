//! Task that runs the agreement protocol.

mod forming;
mod membership;

use std::sync::{Arc, mpsc};
use std::time;

use bytes::Bytes;
use cranberrygap_agreement::{
    entry, formation, input, message, node, output, packet, replica, snapshot,
};
use cranberrygap_link::clock;
use cranberrygap_model::{address, duration, number};
use cranberrygap_storage::recovered;
use parking_lot::RwLock;
use tokio::sync::mpsc as channel;

use super::{Settings, directory, published, request, waiters, writer};
use crate::{state_machine, transport};

/// Requests handled before the outputs are executed; proposals among them share a sync.
const MAX_REQUESTS_PER_STEP: usize = 512;

/// Committed entries waiting to be applied above which the backlog is logged. Ordinary load stays
/// below.
const BACKLOG_LOG_THRESHOLD: u64 = 64;

/// Bytes of log entries that are written for each byte of a snapshot. Snapshots thus stay a small
/// part of what is written.
const LOG_BYTES_PER_SNAPSHOT_BYTE: u64 = 4;

/// Everything the task is created from.
pub(super) struct Environment {
    pub(super) settings: Settings,
    pub(super) state_machine: Arc<dyn state_machine::StateMachine>,
    pub(super) transport: Arc<dyn transport::Transport>,
    pub(super) clock: clock::Clock,
    pub(super) published: Arc<RwLock<published::Published>>,
    pub(super) writer: mpsc::Sender<writer::Job>,
    pub(super) seed: u64,
}

/// Stage of the replica's life.
enum Phase {
    /// The replica has no group yet.
    Forming(formation::Formation),
    /// The group is being written to disk.
    Joining(Box<node::Node>),
    /// The replica takes part in the protocol.
    Running(Box<node::Node>),
    /// A write failed; the replica no longer takes part.
    Failed,
}

/// State of the protocol's task.
pub(super) struct Task {
    environment: Environment,
    id: replica::Id,
    formed: Option<formation::Formed>,
    phase: Phase,
    directory: directory::Directory,
    waiters: waiters::Waiters,
    pending_transfer: Option<request::Reply>,
    proposals: Vec<(Bytes, request::ProposalReply)>,
    last_presented: time::Instant,
    was_leader: bool,
    /// Committed entries that waited to be applied at the last check.
    backlog: u64,
    /// Whether a long backlog was logged and has not ended yet.
    backlog_logged: bool,
    /// Bytes of entries applied since the last snapshot.
    applied_bytes: u64,
    /// Size of the last snapshot taken or restored here, in bytes.
    snapshot_bytes: u64,
    /// Whether a snapshot is being serialized.
    is_serializing: bool,
    serialized: channel::UnboundedSender<Serialized>,
    serialized_receiver: Option<channel::UnboundedReceiver<Serialized>>,
}

/// A snapshot that was serialized in a thread of its own.
struct Serialized {
    index: number::Index,
    data: Bytes,
}

impl Task {
    pub(super) fn new(environment: Environment, recovered: recovered::Recovered) -> Self {
        let id = recovered.identity.replica;
        let snapshot = recovered.snapshot.as_ref();
        spdlog::info!(
            "agreement: read {} entries after entry {}, term {}, vote {:?}",
            recovered.entries.len(),
            snapshot.map_or(0, |snapshot| snapshot.position.index.0),
            recovered.hard.term,
            recovered.hard.vote.map(|id| id.to_string())
        );
        let snapshot_bytes = snapshot.map_or(0, |snapshot| snapshot.data.len() as u64);
        let formed = recovered.identity.formed.clone();
        let phase = match &formed {
            Some(formed) => {
                let start = node::Start::builder()
                    .id(id)
                    .group(formed.group)
                    .timing(environment.settings.timing)
                    .limits(environment.settings.limits)
                    .seed(environment.seed)
                    .hard(recovered.hard)
                    .maybe_snapshot(recovered.snapshot)
                    .entries(recovered.entries)
                    .build();
                Phase::Running(Box::new(node::Node::new(start, environment.clock.now())))
            }
            None => Phase::Forming(formation::Formation::new(
                forming::new_hello(id, &environment.settings.own),
                environment.settings.voters.clone(),
            )),
        };
        let (serialized, serialized_receiver) = channel::unbounded_channel();
        Self {
            environment,
            id,
            formed,
            phase,
            directory: directory::Directory::default(),
            waiters: waiters::Waiters::default(),
            pending_transfer: None,
            proposals: Vec::new(),
            last_presented: time::Instant::now(),
            was_leader: false,
            backlog: 0,
            backlog_logged: false,
            applied_bytes: 0,
            snapshot_bytes,
            is_serializing: false,
            serialized,
            serialized_receiver: Some(serialized_receiver),
        }
    }

    pub(super) async fn run(
        mut self,
        mut requests: channel::Receiver<request::Request>,
        mut done: channel::UnboundedReceiver<writer::Done>,
    ) {
        spdlog::info!(
            "agreement: replica {} of {}",
            self.id,
            self.environment.settings.own
        );
        let Some(mut serialized) = self.serialized_receiver.take() else {
            return;
        };
        self.present();
        self.try_form_group();
        self.step(input::Input::Tick);
        loop {
            let wake = tokio::time::Instant::from_std(self.next_wake());
            tokio::select! {
                Some(done) = done.recv() => self.handle_done(done),
                Some(snapshot) = serialized.recv() => self.keep_snapshot(snapshot),
                request = requests.recv() => {
                    let Some(request) = request else { return };
                    if !self.handle_requests(request, &mut requests) {
                        return;
                    }
                }
                () = tokio::time::sleep_until(wake) => self.tick(),
            }
            self.publish_status();
            self.update_backlog();
            if self.backlog > 0 {
                // Other tasks of this thread send the messages, and must get their turn between two
                // parts of a long backlog.
                tokio::task::yield_now().await;
            }
        }
    }

    /// Handles a request and those queued behind it; returns whether the task goes on.
    fn handle_requests(
        &mut self,
        first: request::Request,
        queue: &mut channel::Receiver<request::Request>,
    ) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_REQUESTS_PER_STEP {
            let Some(request) = next else { break };
            if !self.handle_request(request) {
                return false;
            }
            next = queue.try_recv().ok();
        }
        if let Some(request) = next
            && !self.handle_request(request)
        {
            return false;
        }
        self.propose_queued();
        true
    }

    fn handle_request(&mut self, request: request::Request) -> bool {
        match request {
            request::Request::Deliver { from, message } => self.handle_packet(&from, &message),
            request::Request::Propose { payload, reply } => self.proposals.push((payload, reply)),
            request::Request::ChangeByInstance {
                change,
                instance,
                reply,
            } => self.change_by_instance(change, &instance, reply),
            request::Request::ChangeById(change, reply) => self.change_by_id(change, reply),
            request::Request::GroupStatus(reply) => drop(reply.send(self.group_status())),
            request::Request::Transfer(reply) => self.begin_transfer(reply),
            request::Request::Dump(reply) => drop(reply.send(self.dump())),
            request::Request::Stop(reply) => {
                self.waiters.fail_all();
                // Fails if the caller no longer waits.
                let _closed = reply.send(());
                return false;
            }
        }
        true
    }

    fn next_wake(&self) -> time::Instant {
        let next_presentation = self.last_presented + directory::PRESENT_INTERVAL;
        match &self.phase {
            Phase::Running(node) => {
                let due = self.to_std_instant(node.deadline());
                if node.members().0.contains_key(&self.id) {
                    return due;
                }
                due.min(self.last_presented + directory::LEARNER_PRESENT_INTERVAL)
            }
            _ => next_presentation,
        }
    }

    /// Converts an instant of the process's clock.
    fn to_std_instant(&self, due: duration::Instant) -> time::Instant {
        // An instant further ahead means never, for which a day is long enough.
        let max_wait = time::Duration::from_hours(24);
        let ahead = due.since(self.environment.clock.now());
        time::Instant::now() + ahead.to_std().min(max_wait)
    }

    fn tick(&mut self) {
        if time::Instant::now() >= self.last_presented + directory::PRESENT_INTERVAL {
            self.present();
        }
        self.step(input::Input::Tick);
    }

    /// Logs the backlog of committed entries once when it gets long and once when it has ended.
    fn update_backlog(&mut self) {
        self.backlog = match &self.phase {
            Phase::Running(node) => node.backlog(),
            _ => 0,
        };
        if !self.backlog_logged && self.backlog > BACKLOG_LOG_THRESHOLD {
            self.backlog_logged = true;
            spdlog::info!("agreement: {} committed entries to apply", self.backlog);
        }
        if self.backlog_logged && self.backlog == 0 {
            self.backlog_logged = false;
            spdlog::info!("agreement: all committed entries are applied");
        }
    }

    fn step(&mut self, input: input::Input) {
        let now = self.environment.clock.now();
        let Phase::Running(node) = &mut self.phase else {
            return;
        };
        let outputs = node.step(now, input);
        for output in outputs {
            self.execute(output);
        }
        self.after_step();
    }

    fn execute(&mut self, output: output::Output) {
        match output {
            output::Output::Write(write) => self.write(writer::Job::Write(write)),
            output::Output::Send(message) => self.send_message(message),
            output::Output::Apply(entries) => self.apply(entries),
            output::Output::Restore(snapshot) => self.restore(&snapshot),
            output::Output::VoteEvent(event) => spdlog::info!("agreement: {event}"),
            // Callers that expect these outputs read them themselves.
            output::Output::Accepted(_) | output::Output::Refused(_) => {}
        }
    }

    fn write(&mut self, job: writer::Job) {
        // The thread ends only after it has reported a failure.
        drop(self.environment.writer.send(job));
    }

    fn apply(&mut self, entries: Vec<entry::Entry>) {
        for entry in entries {
            self.applied_bytes += entry.size() as u64;
            let answer = match &entry.payload {
                entry::Payload::Data(data) => self
                    .environment
                    .state_machine
                    .apply(entry.position.index, data),
                entry::Payload::Empty | entry::Payload::Members(_) => Bytes::new(),
            };
            self.waiters.complete(entry.position, &answer);
        }
    }

    fn restore(&mut self, snapshot: &snapshot::Snapshot) {
        let index = snapshot.position.index;
        self.applied_bytes = 0;
        self.snapshot_bytes = snapshot.data.len() as u64;
        spdlog::info!("agreement: restores a snapshot up to entry {index} from the leader");
        if let Err(cause) = self
            .environment
            .state_machine
            .restore(index, &snapshot.data)
        {
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
        if leads != self.was_leader {
            self.was_leader = leads;
            let term = node.hard().term;
            let change = if leads { "leads" } else { "leads no more" };
            spdlog::info!("agreement: {change} in term {term}");
        }
        if !leads {
            self.waiters.fail_all();
            if let Some(reply) = self.pending_transfer.take() {
                drop(reply.send(Ok(())));
            }
        }
        self.snapshot_if_due();
    }

    fn snapshot_if_due(&mut self) {
        let Phase::Running(node) = &mut self.phase else {
            return;
        };
        let index = node.applied();
        let entries_since = index.0.saturating_sub(node.snapshot_position().index.0);
        let settings = &self.environment.settings;
        // A traffic plan is one entry of tens of kilobytes that replaces the previous one. Counting
        // entries alone would leave hundreds of plans to read and apply at each start. Writing a
        // snapshot costs time by its size, so a large one is taken less often.
        let threshold = settings
            .snapshot_bytes
            .max(self.snapshot_bytes * LOG_BYTES_PER_SNAPSHOT_BYTE);
        let is_due = entries_since >= settings.snapshot_after || self.applied_bytes >= threshold;
        if !is_due || self.is_serializing {
            return;
        }
        // Serializing a large state takes longer than followers wait for a heartbeat.
        self.is_serializing = true;
        self.applied_bytes = 0;
        let serialize = self.environment.state_machine.capture();
        let serialized = self.serialized.clone();
        tokio::task::spawn_blocking(move || {
            let data = serialize();
            // Fails if the task has ended.
            drop(serialized.send(Serialized { index, data }));
        });
    }

    fn keep_snapshot(&mut self, snapshot: Serialized) {
        self.is_serializing = false;
        let Serialized { index, data } = snapshot;
        let Phase::Running(node) = &mut self.phase else {
            return;
        };
        self.snapshot_bytes = data.len() as u64;
        spdlog::debug!(
            "agreement: snapshot of {} bytes up to entry {index}",
            data.len()
        );
        let now = self.environment.clock.now();
        let outputs = node.step(now, input::Input::Snapshot { index, data });
        for output in outputs {
            self.execute(output);
        }
    }

    fn handle_done(&mut self, done: writer::Done) {
        match done {
            writer::Done::Written { ticket, send_after } => {
                for message in send_after {
                    self.send_message(message);
                }
                self.step(input::Input::Written(ticket));
            }
            writer::Done::Joined => self.finish_join(),
            writer::Done::Failed(cause) => self.fail(&cause.to_string()),
        }
    }

    /// Stops this replica's part in the protocol.
    ///
    /// After a failed write or sync nothing more may be acknowledged, since an accepted change
    /// could be gone after a restart. The other replicas take the silent one for dead and elect a
    /// leader among themselves.
    fn fail(&mut self, cause: &str) {
        spdlog::critical!("storage: {cause}");
        spdlog::critical!(
            "agreement: this replica has stopped; repair the disk and restart the process"
        );
        self.waiters.fail_all();
        self.environment.published.write().failure = Some(cause.to_owned());
        self.phase = Phase::Failed;
    }

    fn send_message(&self, message: message::Message) {
        let to = message.to;
        let Some(peer) = self.peer_of(to) else {
            return;
        };
        self.send_packet(&peer, &packet::Packet::Protocol(message));
    }

    fn send_packet(&self, peer: &address::Peer, packet: &packet::Packet) {
        let bytes = postcard::to_stdvec(packet).expect("a packet is always encodable");
        self.environment.transport.send(peer, Bytes::from(bytes));
    }

    fn handle_packet(&mut self, from: &address::Peer, bytes: &[u8]) {
        let Ok(packet) = postcard::from_bytes::<packet::Packet>(bytes) else {
            spdlog::warn!("agreement: dropped a malformed packet from {from}");
            return;
        };
        if let Some(id) = directory::sender_id(&packet) {
            self.directory.record_address(id, from);
        }
        match packet {
            packet::Packet::Hello(hello) => self.handle_hello(from, hello),
            packet::Packet::Formed(formed) => self.handle_formed(&formed),
            packet::Packet::Protocol(message) => self.step(input::Input::Receive(message)),
        }
    }

    fn propose_queued(&mut self) {
        if self.proposals.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.proposals);
        let (payloads, replies): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        let outcome = self.submit(input::Input::Propose(payloads));
        match outcome {
            Ok(mut at) => {
                for reply in replies {
                    self.waiters.add_proposal(at, reply);
                    at.index = at.index.next();
                }
            }
            Err(refusal) => {
                let error = self.to_log_error(&refusal);
                for reply in replies {
                    drop(reply.send(Err(error.clone())));
                }
            }
        }
        self.after_step();
    }
}
