//! Traffic of this entry, by kind and by whether the peer is in another failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted as _;
use cranberrygap_link::traffic::{self, Direction, Flow, Kind, Meter, Place};
use cranberrygap_model::{address, id};
use cranberrygap_wire::view as wire_view;
use parking_lot::RwLock;
use tokio::time;

use crate::core;
use crate::metric;
use crate::view;

/// Time between two times at which the metric grows.
const METRIC_INTERVAL: Duration = Duration::from_secs(5);

/// Intervals of the metric between two log lines.
const INTERVALS_PER_LOG_LINE: u32 = 6;

/// Counts what this entry sends and receives, and knows where its peers are.
#[derive(Debug)]
pub(crate) struct Traffic {
    meter: Arc<Meter>,
    gossip_port: Option<u16>,
    peers: RwLock<Peers>,
}

/// Where the peers of the view are.
#[derive(Debug, Default)]
struct Peers {
    members: Arc<BTreeMap<id::Instance, wire_view::Member>>,
    endpoints: Arc<BTreeMap<id::Endpoint, wire_view::Endpoint>>,
    /// Other entries by the addresses at which they are told and asked.
    entries: BTreeMap<SocketAddr, Place>,
}

impl Traffic {
    /// Counters of an entry in `domain`; entries gossip at `gossip_port`, if they do.
    pub(crate) fn new(domain: id::Domain, gossip_port: Option<u16>) -> Self {
        Self {
            meter: Arc::new(Meter::new(domain)),
            gossip_port,
            peers: RwLock::default(),
        }
    }

    /// The counters, for links.
    pub(crate) const fn meter(&self) -> &Arc<Meter> {
        &self.meter
    }

    /// Applies the members and endpoints of a new view.
    pub(crate) fn apply_view(&self, view: &view::Snapshot) {
        let is_same_fleet = {
            let peers = self.peers.read();
            Arc::ptr_eq(&peers.members, view.members())
        };
        let entries = (!is_same_fleet).then(|| self.locate_entries(view));
        let mut peers = self.peers.write();
        peers.endpoints = Arc::clone(view.endpoints());
        if let Some(entries) = entries {
            peers.members = Arc::clone(view.members());
            peers.entries = entries;
        }
    }

    /// Counts a datagram to an entry.
    pub(crate) fn record_sent(&self, kind: Kind, to: SocketAddr, bytes: usize) {
        let place = self.place_of_entry(to);
        self.meter.record(kind, Direction::Sent, place, bytes);
    }

    /// Counts a datagram from an entry.
    pub(crate) fn record_received(&self, kind: Kind, from: SocketAddr, bytes: usize) {
        let place = self.place_of_entry(from);
        self.meter.record(kind, Direction::Received, place, bytes);
    }

    /// Counters of a new connection to an endpoint or, for [`Kind::Forwards`], to an entry.
    pub(crate) fn flow(&self, kind: Kind, address: address::Socket) -> Flow {
        let place = match kind {
            Kind::Endpoints => self.place_of_endpoint(address),
            _ => self.place_of_entry(address.0),
        };
        Flow::new(Arc::clone(&self.meter), place)
    }

    /// State for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.meter.dump()
    }

    fn place_of_entry(&self, address: SocketAddr) -> Place {
        let peers = self.peers.read();
        peers.entries.get(&address).copied().unwrap_or_default()
    }

    /// Place of an endpoint. It is looked up once for each connection, which costs far more.
    fn place_of_endpoint(&self, address: address::Socket) -> Place {
        let peers = self.peers.read();
        let mut announcements = peers.endpoints.values();
        let found = announcements.find(|endpoint| endpoint.announcement.address == address);
        self.meter
            .place_of(found.map(|endpoint| &endpoint.announcement.domain))
    }

    fn locate_entries(&self, view: &view::Snapshot) -> BTreeMap<SocketAddr, Place> {
        let members = view.members().values();
        let entries = members.filter(|member| member.role == wire_view::Role::Entry);
        let mut places = BTreeMap::new();
        for entry in entries {
            let place = self.meter.place_of(Some(&entry.domain));
            let at_port = |port| SocketAddr::new(entry.address.0.ip(), port);
            let gossip = self.gossip_port.map(at_port);
            let lending = entry.lending.map(|address| address.0);
            let addresses = [Some(entry.address.0), gossip, lending];
            places.extend(addresses.into_iter().flatten().map(|at| (at, place)));
        }
        places
    }
}

/// Sends the metric and logs its sums until the process stops.
pub(crate) async fn report(core: Arc<core::Core>) {
    let meter = core.traffic.meter();
    for interval in 1_u32.. {
        time::sleep(METRIC_INTERVAL).await;
        for change in meter.take_changes() {
            count(&core, &change);
        }
        let summary = meter.summary();
        if interval.is_multiple_of(INTERVALS_PER_LOG_LINE) && !summary.is_empty() {
            spdlog::info!("traffic: bytes across failure domains since the start: {summary}");
        }
    }
}

/// Adds to the metric. What cannot be sent is lost.
fn count(core: &core::Core, change: &traffic::Total) {
    let bytes = i64::try_from(change.bytes).unwrap_or(i64::MAX);
    let counter = core
        .metrics
        .count_with_tags(metric::TRAFFIC_BYTES, bytes)
        .with_tag_value(change.kind.name())
        .with_tag_value(change.direction.name())
        .with_tag_value(change.place.name());
    counter.send();
}
