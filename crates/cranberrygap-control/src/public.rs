//! Operators' and endpoints' calls, independent of the protocol they arrive in.
//!
//! An adapter parses a call of its own protocol, uses this interface, and writes the response.

use std::sync::Arc;
use std::time::Instant;

use cranberrygap_link::server;
use cranberrygap_model::{address, id, number};
use cranberrygap_state::{command, endpoint, evacuation};
use cranberrygap_wire::{endpoint as announced, method, traffic, view};
use smol_str::SmolStr;

use crate::heartbeat_peer;
use crate::leadership;
use crate::peers;
use crate::relay;

/// Reason why a call was not carried out here.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another process leads; the call may be repeated there.
    #[error("{leader} leads")]
    NotLeader {
        /// Leader, at the address that the group's members use.
        leader: address::Peer,
    },
    /// No leader is known, or it is not known whether the change commits.
    #[error("{0}")]
    Unavailable(SmolStr),
    /// The call is invalid, at any process.
    #[error("{0}")]
    Invalid(SmolStr),
}

/// Interface of a control process for adapters of other protocols.
#[derive(Debug, Clone)]
pub struct Api {
    context: Arc<peers::Context>,
}

impl Api {
    pub(crate) const fn new(context: Arc<peers::Context>) -> Self {
        Self { context }
    }

    /// Applies the traffic plan that `read` finds in `source`, and waits until it is in force at
    /// all entries. A plan whose version is not higher than the current one changes nothing.
    ///
    /// The plan is applied also if the caller does not wait for the end. Only the leader reads it,
    /// in a thread of its own.
    ///
    /// # Errors
    ///
    /// The plan has an error, or this process cannot commit it.
    pub async fn replace_plan(
        &self,
        source: SmolStr,
        read: impl FnOnce(&str) -> Result<traffic::Plan, SmolStr> + Send + 'static,
    ) -> Result<(), Refusal> {
        let published = self.context.plans.publish(source, Box::new(read)).await;
        published.map_err(|fault| to_refusal(&fault))?;
        let committed = Instant::now();
        self.wait_until_in_force().await?;
        let in_force = committed.elapsed().as_millis();
        spdlog::info!("traffic: a plan is in force {in_force} ms after its commit");
        Ok(())
    }

    /// Waits until everything committed by now is in force at all entries.
    async fn wait_until_in_force(&self) -> Result<(), Refusal> {
        let in_force = self.context.detector.wait_until_in_force().await;
        in_force.ok_or_else(|| Refusal::Unavailable("the leader's lease expired".into()))
    }

    /// Returns the text of the plan in force; `None` before the first one.
    ///
    /// # Errors
    ///
    /// When this process cannot be sure that it knows the newest plan.
    pub fn plan_source(&self) -> Result<Option<SmolStr>, Refusal> {
        let source = self.read_as_leader(|fleet| {
            let current = fleet.traffic.version();
            current.map(|_version| fleet.traffic.source().clone())
        })?;
        // The lease may have ended while this process was suspended.
        self.check_leads()?;
        Ok(source)
    }

    /// Records an endpoint's announcement, and returns once it is in force at all entries.
    ///
    /// A process that does not lead passes it on. An endpoint that leaves has to ask the leader
    /// itself, which alone knows when all entries know of it.
    ///
    /// # Errors
    ///
    /// This process cannot have it recorded.
    pub async fn announce(&self, announcement: announced::Announcement) -> Result<(), Refusal> {
        let leaves = announcement.phase == announced::Phase::Leaving;
        let leads = self.check_leads();
        if leaves {
            leads.clone()?;
        }
        // A stale one is answered like the first time, and changes nothing.
        if !self.context.objections.is_stale(&announcement) {
            match leads {
                Ok(()) => self.record(announcement).await?,
                Err(_) => self.pass_on(announcement).await?,
            }
        }
        if leaves {
            // An endpoint that is told it may stop while an entry still sends it requests would
            // stop with requests in its queue.
            self.wait_until_in_force().await?;
        }
        Ok(())
    }

    async fn record(&self, announcement: announced::Announcement) -> Result<(), Refusal> {
        let seen = leadership::to_seen(&announcement);
        let state = &self.context.state;
        if state.read(|fleet| fleet.endpoints.would_change(&announcement)) {
            self.propose(endpoint::Step::Announced(Box::new(announcement)))
                .await?;
        }
        let recorded = self
            .context
            .detector
            .with_leadership(|now, leadership| leadership.record_heartbeat(now, &seen));
        recorded.ok_or_else(|| Refusal::Unavailable("the leader's lease expired".into()))
    }

    async fn pass_on(&self, announcement: announced::Announcement) -> Result<(), Refusal> {
        let state = &self.context.state;
        let item = if state.read(|fleet| fleet.endpoints.would_change(&announcement)) {
            relay::Item::Announced(Box::new(announcement))
        } else {
            relay::Item::Seen(leadership::to_seen(&announcement))
        };
        let passed_on = self.context.relay.pass_on(item).await;
        passed_on.map_err(|fault| to_refusal(&fault))
    }

    /// Returns the control process that an endpoint should send its next heartbeats to; `None` for
    /// this one.
    #[must_use]
    pub fn heartbeat_peer(&self, announcement: &announced::Announcement) -> Option<address::Peer> {
        self.check_leads().ok()?;
        let own = self.context.proposer.status().leader?;
        self.context.state.read(|fleet| {
            let members = fleet.members.iter();
            let chosen = heartbeat_peer::choose(members, &own.instance, announcement)?;
            Some(address::Peer {
                instance: chosen.instance.clone(),
                address: chosen.address,
            })
        })
    }

    /// Removes an endpoint that announces that it leaves for good, and returns once that is in
    /// force at all entries.
    ///
    /// `boot` is its start, if it tells it: a process of the same name that started later is not
    /// removed.
    ///
    /// # Errors
    ///
    /// This process does not lead, or cannot commit it.
    pub async fn remove_endpoint(
        &self,
        name: id::Endpoint,
        boot: Option<number::Boot>,
    ) -> Result<(), Refusal> {
        let boot = self.read_as_leader(|fleet| {
            let current = || fleet.endpoints.get(&name);
            boot.or_else(|| current().map(|current| current.announcement.boot))
        })?;
        let Some(boot) = boot else {
            return Ok(());
        };
        let left = view::Draining {
            endpoint: name,
            boot,
        };
        let state = &self.context.state;
        if state.read(|fleet| fleet.endpoints.would_leave(&left)) {
            self.propose(endpoint::Step::Left(left)).await?;
        }
        // The answer to an earlier call of the same process may be lost, and not be in force yet.
        self.wait_until_in_force().await
    }

    /// Evacuates a failure domain, or withdraws that, and waits until it is in force at all
    /// entries. An order that already holds changes nothing.
    ///
    /// # Errors
    ///
    /// The failure domain is unknown, or this process cannot commit the order.
    pub async fn evacuate(&self, domain: id::Domain, active: bool) -> Result<(), Refusal> {
        let step = evacuation::Step {
            domain,
            active,
            author: None,
        };
        let ordered = self.context.evacuation_handler.order(step).await;
        ordered.map(drop).map_err(|fault| to_refusal(&fault))?;
        self.wait_until_in_force().await
    }

    /// Fails unless this process leads.
    ///
    /// # Errors
    ///
    /// [`Refusal::NotLeader`] or [`Refusal::Unavailable`].
    pub fn check_leads(&self) -> Result<(), Refusal> {
        let checked = self.context.proposer.check_leads();
        checked.map(drop).map_err(|fault| to_refusal(&fault))
    }

    async fn propose(&self, step: endpoint::Step) -> Result<(), Refusal> {
        let command = command::Command::Endpoint(step);
        let outcome = self.context.proposer.propose(command).await;
        outcome.map(drop).map_err(|fault| to_refusal(&fault))
    }

    fn read_as_leader<R>(
        &self,
        work: impl FnOnce(&cranberrygap_state::fleet::Fleet) -> R,
    ) -> Result<R, Refusal> {
        self.check_leads()?;
        Ok(self.context.state.read(work))
    }
}

fn to_refusal(fault: &server::Fault) -> Refusal {
    if fault.code == method::REFUSED {
        return Refusal::Invalid(fault.message.clone());
    }
    let leader = serde_json::from_value::<Option<address::Peer>>(fault.data.clone());
    match leader.ok().flatten() {
        Some(leader) if fault.code == method::NOT_LEADER => Refusal::NotLeader { leader },
        _ => Refusal::Unavailable(fault.message.clone()),
    }
}
