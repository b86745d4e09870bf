//! Gossip between entries about the requests that they sent to endpoints.
//!
//! Each endpoint has a home entry. The others tell it what they send there and ask it for the
//! load before they choose. A lost datagram costs a slightly worse choice, so nothing is repeated
//! or acknowledged. Entries also tell and ask each other where streams began.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranberrygap_link::traffic::Kind;
use cranberrygap_model::{address, duration, rate};
use cranberrygap_routing::origin::{self, datagram};
use cranberrygap_routing::prompt::{backlog, home, speed};
use cranberrygap_routing::{cold, limit};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time;

use crate::core;
use crate::metric;
use crate::reach;
use crate::view;

use super::{endpoints, origins};

/// Time between two looks at what changed. Prompts are told at once; this tells of their ends.
const SEND_INTERVAL: Duration = Duration::from_millis(150);

/// Largest message; one datagram carries it without fragmentation.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// Endpoints in one message; more would not fit.
const MAX_ENDPOINTS_PER_MESSAGE: usize = 45;

/// Engines whose speeds stand in one message; with the most models no more would fit.
const MAX_SPEEDS_PER_MESSAGE: usize = 4;

/// Origins of streams in one message; with the longest names no more would fit.
const MAX_ORIGINS_PER_MESSAGE: usize = 4;

/// A message between two entries.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// The sender's whole backlog at the endpoints of the receiver.
    Backlogs {
        sequence: u64,
        backlogs: Vec<(u32, backlog::Backlog)>,
    },
    /// Prompts that the sender has just sent to endpoints of the receiver.
    Prompts(Vec<endpoints::Notice>),
    /// Asks for the load of endpoints.
    Question { number: u32, endpoints: Vec<u32> },
    /// Load of endpoints, without the part of the receiver.
    Answer {
        number: u32,
        loads: Vec<(u32, home::Load)>,
    },
    /// What endpoints of the receiver stated of their limits to the sender.
    Statements(Vec<(u32, limit::Report)>),
    /// Asks for room at an endpoint with a limit, as the sender knows it.
    Claim {
        number: u32,
        endpoint: u32,
        report: limit::Report,
        max_wait: duration::Span,
    },
    /// Answer to a claim.
    Granted { number: u32, grant: limit::Grant },
    /// Origins of streams.
    Origins(Vec<origin::Record>),
    /// Asks for the origin of a stream.
    OriginQuestion { number: u32, key: origin::Key },
    /// Answer about the origin of a stream; without one the sender does not know it.
    OriginAnswer {
        number: u32,
        record: Option<origin::Record>,
    },
    /// Whether the sender reaches no endpoint. Processes of older software drop this message and
    /// those after it.
    Path { is_cut: bool },
    /// Asks for a place at a brittle endpoint; the answer is [`Message::Granted`].
    PlaceClaim {
        number: u32,
        endpoint: u32,
        bears: rate::Rejections,
    },
    /// What happened at brittle endpoints of the receiver.
    News(Vec<(u32, endpoints::News)>),
    /// Asks for room at a cold endpoint; the answer is [`Message::Granted`].
    ColdClaim {
        number: u32,
        endpoint: u32,
        claim: cold::Claim,
    },
    /// What streams of the sender showed of the speed of engines of the receiver.
    Observations(Vec<endpoints::Observed>),
    /// Speeds of engines of the sender, beside the answer to a question about their load.
    Speeds(Vec<(u32, speed::Report)>),
}

impl Message {
    /// Kind of traffic that it is counted as.
    const fn kind(&self) -> Kind {
        match self {
            Self::Backlogs { .. } => Kind::Reports,
            Self::Question { .. } | Self::Answer { .. } => Kind::Questions,
            Self::Origins(_) | Self::OriginQuestion { .. } | Self::OriginAnswer { .. } => {
                Kind::Origins
            }
            Self::Path { .. } => Kind::Paths,
            Self::Prompts(_)
            | Self::Statements(_)
            | Self::Claim { .. }
            | Self::Granted { .. }
            | Self::PlaceClaim { .. }
            | Self::News(_)
            | Self::ColdClaim { .. }
            | Self::Observations(_)
            | Self::Speeds(_) => Kind::Notices,
        }
    }
}

fn to_message(claim: &endpoints::Claim) -> Message {
    let (number, endpoint) = (claim.number, claim.endpoint);
    match claim.wanted {
        endpoints::Wanted::Room(report, max_wait) => Message::Claim {
            number,
            endpoint,
            report,
            max_wait,
        },
        endpoints::Wanted::Place(bears) => Message::PlaceClaim {
            number,
            endpoint,
            bears,
        },
        endpoints::Wanted::Cold(claim) => Message::ColdClaim {
            number,
            endpoint,
            claim,
        },
    }
}

/// Entries of a view, each with the address of its gossip.
pub(super) fn entries(view: &view::Snapshot, port: u16) -> Vec<home::Entry> {
    let entries = view.active_entries().map(|member| {
        let mut address = member.address;
        address.0.set_port(port);
        home::Entry {
            instance: member.instance.clone(),
            domain: member.domain.clone(),
            address,
        }
    });
    entries.collect()
}

/// The task that sends and receives gossip.
#[derive(Debug)]
pub(crate) struct Gossip {
    core: Arc<core::Core>,
    socket: UdpSocket,
}

impl Gossip {
    /// Binds a socket at `wanted`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub(crate) async fn new(
        core: Arc<core::Core>,
        wanted: address::Socket,
    ) -> std::io::Result<Self> {
        Ok(Self {
            core,
            socket: UdpSocket::bind(wanted.0).await?,
        })
    }

    /// Sends and receives gossip until the process stops.
    pub(crate) async fn run(self) {
        let mut ticker = time::interval(SEND_INTERVAL);
        ticker.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut sequence = 0;
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        let mut teller = reach::Teller::default();
        loop {
            tokio::select! {
                _ = ticker.tick() => {
                    sequence += 1;
                    self.tell_backlogs(sequence).await;
                }
                notices = self.core.endpoints.next_notices() => self.tell_prompts(notices).await,
                questions = self.core.endpoints.next_questions() => {
                    for question in questions {
                        let endpoints::Question { home, number, endpoints } = question;
                        self.send(home, &Message::Question { number, endpoints }).await;
                    }
                }
                statements = self.core.endpoints.next_statements() => {
                    self.tell_statements(statements).await;
                }
                claims = self.core.endpoints.next_claims() => {
                    for claim in claims {
                        self.send(claim.home, &to_message(&claim)).await;
                    }
                }
                news = self.core.endpoints.next_news() => self.tell_news(news).await,
                messages = self.core.origins.next_outgoing() => self.send_origins(messages).await,
                is_cut = self.core.reach.next_news(&mut teller) => self.tell_path(is_cut).await,
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, from)) = received else {
                        continue;
                    };
                    self.handle_datagram(from, &buffer[..length]).await;
                }
            }
        }
    }

    async fn tell_backlogs(&self, sequence: u64) {
        let reports = self.core.endpoints.due_reports(self.core.now());
        // What is told of an end after a report that knows of it would count twice.
        self.tell_news(self.core.endpoints.take_news()).await;
        self.tell_observations(self.core.endpoints.take_speeds())
            .await;
        for report in reports {
            let mut backlogs = report.backlogs;
            backlogs.truncate(MAX_ENDPOINTS_PER_MESSAGE);
            self.send(report.home, &Message::Backlogs { sequence, backlogs })
                .await;
        }
    }

    /// Tells all other entries whether this one reaches endpoints.
    async fn tell_path(&self, is_cut: bool) {
        for entry in self.core.endpoints.other_entries() {
            self.send(entry, &Message::Path { is_cut }).await;
        }
    }

    async fn tell_prompts(&self, notices: Vec<endpoints::Notice>) {
        for (home, notices) in self.group_by_home(notices, |notice| notice.name_hash) {
            self.core.endpoints.record_notices(home);
            self.send(home, &Message::Prompts(notices)).await;
        }
    }

    async fn tell_statements(&self, statements: Vec<(u32, limit::Report)>) {
        for (home, statements) in self.group_by_home(statements, |(endpoint, _)| *endpoint) {
            self.send(home, &Message::Statements(statements)).await;
        }
    }

    async fn tell_news(&self, news: Vec<(u32, endpoints::News)>) {
        for (home, news) in self.group_by_home(news, |(endpoint, _)| *endpoint) {
            self.send(home, &Message::News(news)).await;
        }
    }

    async fn tell_observations(&self, observed: Vec<endpoints::Observed>) {
        for (home, observed) in self.group_by_home(observed, |(engine, ..)| *engine) {
            self.send(home, &Message::Observations(observed)).await;
        }
    }

    /// Sends what other entries are told and asked of origins of streams.
    async fn send_origins(&self, messages: Vec<(address::Socket, origins::Outgoing)>) {
        let mut records: BTreeMap<address::Socket, Vec<origin::Record>> = BTreeMap::new();
        for (to, message) in messages {
            match message {
                origins::Outgoing::Record(record) => records.entry(to).or_default().push(record),
                origins::Outgoing::Question { number, key }
                    if self.core.origins.is_control(to.0) =>
                {
                    let key = key.short();
                    let question = datagram::Datagram::Question { number, key };
                    self.send_to_control(to, &question).await;
                }
                origins::Outgoing::Question { number, key } => {
                    let question = Message::OriginQuestion { number, key };
                    self.send(to, &question).await;
                }
            }
        }
        for (to, records) in records {
            if self.core.origins.is_control(to.0) {
                for told in datagram::Datagram::tell(&records) {
                    self.send_to_control(to, &told).await;
                }
                continue;
            }
            for part in records.chunks(MAX_ORIGINS_PER_MESSAGE) {
                self.send(to, &Message::Origins(part.to_vec())).await;
            }
        }
    }

    async fn send_to_control(&self, to: address::Socket, message: &datagram::Datagram) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.send_bytes(to, Kind::Origins, &bytes).await,
            Err(cause) => spdlog::warn!("gateway: encoding a datagram failed: {cause}"),
        }
    }

    /// What each home is told of its endpoints, no more than one datagram carries.
    fn group_by_home<Item>(
        &self,
        items: Vec<Item>,
        endpoint_of: impl Fn(&Item) -> u32,
    ) -> BTreeMap<address::Socket, Vec<Item>> {
        let mut by_home: BTreeMap<address::Socket, Vec<Item>> = BTreeMap::new();
        for item in items {
            if let Some(home) = self.core.endpoints.home_of(endpoint_of(&item)) {
                by_home.entry(home).or_default().push(item);
            }
        }
        for items in by_home.values_mut() {
            items.truncate(MAX_ENDPOINTS_PER_MESSAGE);
        }
        by_home
    }

    async fn send(&self, to: address::Socket, message: &Message) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.send_bytes(to, message.kind(), &bytes).await,
            Err(cause) => spdlog::warn!("gateway: encoding a datagram failed: {cause}"),
        }
    }

    async fn send_bytes(&self, to: address::Socket, kind: Kind, bytes: &[u8]) {
        self.core.traffic.record_sent(kind, to.0, bytes.len());
        if let Err(cause) = self.socket.send_to(bytes, to.0).await {
            // Counts as a lost datagram.
            spdlog::debug!("gateway: sending a datagram to {to} failed: {cause}");
        }
    }

    /// Takes what a control process answers.
    fn handle_control(&self, from: SocketAddr, bytes: &[u8]) {
        let traffic = &self.core.traffic;
        traffic.record_received(Kind::Origins, from, bytes.len());
        let Ok(datagram::Datagram::Answer { number, origin }) = postcard::from_bytes(bytes) else {
            spdlog::debug!("gateway: dropped a datagram of the control process {from}");
            return;
        };
        self.core.origins.apply_control_answer(from, number, origin);
    }

    async fn handle_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        if self.core.origins.is_control(from) {
            self.handle_control(from, bytes);
            return;
        }
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else {
            spdlog::debug!("gateway: dropped a malformed datagram from {from}");
            return;
        };
        let traffic = &self.core.traffic;
        traffic.record_received(message.kind(), from, bytes.len());
        let now = self.core.now();
        let endpoints = &self.core.endpoints;
        match message {
            Message::Backlogs { sequence, backlogs } => {
                endpoints.apply_backlogs(now, from, sequence, &backlogs);
            }
            Message::Prompts(notices) => endpoints.apply_notices(now, from, &notices),
            Message::Question {
                number,
                endpoints: asked,
            } => {
                if let Some(loads) = endpoints.answer(now, from, &asked) {
                    let answer = Message::Answer { number, loads };
                    self.send(address::Socket(from), &answer).await;
                }
                for told in endpoints
                    .speeds_for(now, from, &asked)
                    .chunks(MAX_SPEEDS_PER_MESSAGE)
                {
                    let speeds = Message::Speeds(told.to_vec());
                    self.send(address::Socket(from), &speeds).await;
                }
            }
            Message::Answer { number, loads } => {
                endpoints.apply_answer(now, from, number, &loads);
            }
            Message::Statements(statements) => endpoints.apply_statements(now, from, &statements),
            Message::Claim {
                number,
                endpoint,
                report,
                max_wait,
            } => {
                if let Some(grant) = endpoints.grant(now, from, endpoint, report, max_wait) {
                    let granted = Message::Granted { number, grant };
                    self.send(address::Socket(from), &granted).await;
                }
            }
            Message::Granted { number, grant } => endpoints.apply_grant(number, grant),
            Message::Origins(records) => {
                for insertion in self.core.origins.apply_records(now, from, &records) {
                    metric::count_origin(&self.core, insertion);
                }
            }
            Message::OriginQuestion { number, key } => {
                let origins = &self.core.origins;
                if origins.is_entry(from) {
                    let record = origins.answer(now, key);
                    let answer = Message::OriginAnswer { number, record };
                    self.send(address::Socket(from), &answer).await;
                }
            }
            Message::OriginAnswer { number, record } => {
                let origin = record.map(|record| record.origin);
                self.core.origins.apply_answer(from, number, origin);
            }
            Message::Observations(observed) => endpoints.apply_observations(now, from, &observed),
            Message::Speeds(reports) => endpoints.apply_speeds(now, from, reports),
            Message::Path { is_cut } => self.record_path(from, is_cut),
            Message::PlaceClaim {
                number,
                endpoint,
                bears,
            } => {
                if let Some(grant) = endpoints.grant_place(now, from, endpoint, bears) {
                    let granted = Message::Granted { number, grant };
                    self.send(address::Socket(from), &granted).await;
                }
            }
            Message::News(news) => endpoints.apply_news(now, from, &news),
            Message::ColdClaim {
                number,
                endpoint,
                claim,
            } => {
                if let Some(grant) = endpoints.answer_cold(now, from, endpoint, &claim) {
                    let granted = Message::Granted { number, grant };
                    self.send(address::Socket(from), &granted).await;
                }
            }
        }
    }

    /// Records what the entry at a host tells of its path.
    fn record_path(&self, from: SocketAddr, is_cut: bool) {
        let Some(view) = self.core.view.latest() else {
            return;
        };
        let now = self.core.now();
        let mut peers = self.core.reach.peers();
        let entries = view.active_entries();
        for entry in entries.filter(|entry| entry.address.0.ip() == from.ip()) {
            peers.record_told(now, entry.address, is_cut);
        }
    }
}
