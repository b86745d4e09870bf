//! The view at one revision, indexed for request handling.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cranberrygap_model::{address, id, number};
use cranberrygap_state::traffic::{amendment, part};
use cranberrygap_wire::{binding, configuration, endpoint, traffic as wire, view};
use smol_str::SmolStr;

use super::{Error, staged, traffic};

/// Immutable view at one revision.
///
/// Revisions share unchanged parts, so that a change copies only the part it affects.
#[derive(Debug, Clone)]
pub struct Snapshot {
    revision: number::Revision,
    /// Tells the history that the revision belongs to.
    founded: Option<u64>,
    /// Revision of the last change that this entry must confirm at once.
    binding_revision: number::Revision,
    configuration: Arc<configuration::Configuration>,
    catalogue: Arc<BTreeMap<id::Model, endpoint::Weights>>,
    keys: Arc<BTreeMap<SmolStr, view::Key>>,
    endpoints: Arc<BTreeMap<id::Endpoint, view::Endpoint>>,
    members: Arc<BTreeMap<id::Instance, view::Member>>,
    quarantines: Arc<BTreeMap<SmolStr, view::Quarantine>>,
    workspaces: Arc<Vec<id::Workspace>>,
    traffic: Option<Arc<traffic::Table>>,
    staged: Option<Arc<staged::Staged>>,
    residencies: Arc<BTreeMap<id::Endpoint, view::Residency>>,
    lenders: Arc<BTreeMap<id::Workspace, id::Instance>>,
    versions: Arc<Vec<view::Versions>>,
    former_routes: Arc<Vec<view::FormerRoute>>,
    evacuated: Arc<BTreeSet<id::Domain>>,
}

impl Snapshot {
    pub(super) fn new(revision: number::Revision, state: view::State) -> Self {
        Self {
            revision,
            founded: state.founded,
            binding_revision: revision,
            configuration: Arc::new(state.configuration),
            catalogue: Arc::new(index_catalogue(state.catalogue)),
            keys: Arc::new(index_by(state.keys, |key| key.hash.clone())),
            endpoints: Arc::new(index_by(state.endpoints, |e| {
                e.announcement.endpoint.clone()
            })),
            members: Arc::new(index_by(state.members, |member| member.instance.clone())),
            quarantines: Arc::new(index_by(state.quarantines, |q| q.fingerprint.clone())),
            workspaces: Arc::new(state.workspaces),
            residencies: Arc::new(index_by(state.residencies, |residency| {
                residency.endpoint.clone()
            })),
            lenders: Arc::new(index_lenders(state.lenders)),
            versions: Arc::new(state.versions),
            former_routes: Arc::new(state.former_routes),
            evacuated: Arc::new(state.evacuated.into_iter().collect()),
            traffic: state
                .traffic
                .map(|plan| Arc::new(traffic::Table::new(plan))),
            staged: state.staged.map(|staged| Arc::new(staged.into())),
        }
    }

    /// Returns the view after `changes`.
    ///
    /// # Errors
    ///
    /// A change needs an earlier one that is missing.
    pub(super) fn with_changes(
        &self,
        revision: number::Revision,
        changes: Vec<view::Change>,
    ) -> Result<Self, Error> {
        let mut next = self.clone();
        next.revision = revision;
        if changes.iter().any(binding::is_binding) {
            next.binding_revision = revision;
        }
        for change in changes {
            next.apply_change(change)?;
        }
        Ok(next)
    }

    /// Keeps a part of the next plan.
    fn stage(&mut self, stage: &wire::Stage, number: u32, part: wire::Part) -> Result<(), Error> {
        if number == 0 {
            self.staged = Some(Arc::new(staged::Staged::new(stage.clone())));
        }
        let staged = self.staged.as_mut();
        let staged = staged.filter(|staged| staged.has_all_before(stage, number));
        Arc::make_mut(staged.ok_or(Error::MissingParts)?).push(part);
        Ok(())
    }

    /// Puts the plan in force whose parts are staged.
    fn adopt(
        &mut self,
        stage: &wire::Stage,
        parts: u32,
        base: Option<u64>,
        bounds: wire::Bounds,
        access: Option<wire::Access>,
    ) -> Result<(), Error> {
        let version = stage.version;
        if self.traffic.as_ref().map(|table| table.plan().version) != base {
            return Err(Error::OtherPlan);
        }
        let staged = self.staged.take();
        let staged = staged.filter(|staged| staged.has_all_before(stage, parts));
        let change = staged.ok_or(Error::MissingParts)?.joined();
        let mut plan = match &self.traffic {
            Some(table) => table.plan().clone(),
            None => part::empty_plan(version, bounds.clone()),
        };
        part::adopt(&mut plan, version, bounds, access, change);
        self.traffic = Some(Arc::new(traffic::Table::new(plan)));
        Ok(())
    }

    fn apply_change(&mut self, change: view::Change) -> Result<(), Error> {
        match change {
            view::Change::Configured { configuration } => {
                self.configuration = Arc::new(configuration);
            }
            view::Change::Catalogued { catalogue: listed } => {
                self.catalogue = Arc::new(index_catalogue(listed));
            }
            view::Change::KeyIssued { key } => {
                Arc::make_mut(&mut self.keys).insert(key.hash.clone(), key);
            }
            view::Change::KeyWithdrawn { key } => {
                Arc::make_mut(&mut self.keys).retain(|_, held| held.key != key);
            }
            view::Change::EndpointChanged { endpoint } => {
                let name = endpoint.announcement.endpoint.clone();
                Arc::make_mut(&mut self.endpoints).insert(name, endpoint);
            }
            view::Change::EndpointRemoved { endpoint } => {
                Arc::make_mut(&mut self.endpoints).remove(&endpoint);
                Arc::make_mut(&mut self.residencies).remove(&endpoint);
            }
            view::Change::MemberChanged { member } => {
                Arc::make_mut(&mut self.members).insert(member.instance.clone(), member);
            }
            view::Change::Quarantined { quarantine } => {
                let fingerprint = quarantine.fingerprint.clone();
                Arc::make_mut(&mut self.quarantines).insert(fingerprint, quarantine);
            }
            view::Change::Released { fingerprint } => {
                Arc::make_mut(&mut self.quarantines).remove(&fingerprint);
            }
            view::Change::Resided { residency } => {
                let name = residency.endpoint.clone();
                Arc::make_mut(&mut self.residencies).insert(name, residency);
            }
            view::Change::Lent { lender } => {
                let lenders = Arc::make_mut(&mut self.lenders);
                match lender.instance {
                    Some(instance) => lenders.insert(lender.workspace, instance),
                    None => lenders.remove(&lender.workspace),
                };
            }
            view::Change::Versioned { versions } => {
                let known = Arc::make_mut(&mut self.versions);
                known.retain(|other| other.service != versions.service);
                known.push(versions);
            }
            view::Change::Moved { former_routes } => {
                self.former_routes = Arc::new(former_routes);
            }
            view::Change::Evacuated { domain } => {
                Arc::make_mut(&mut self.evacuated).insert(domain);
            }
            view::Change::Returned { domain } => {
                Arc::make_mut(&mut self.evacuated).remove(&domain);
            }
            view::Change::Rerouted { plan } => {
                self.traffic = Some(Arc::new(traffic::Table::new(plan)));
            }
            view::Change::Amended { amendment } => {
                // The control process sent the plan before what changes it.
                self.traffic = self.traffic.as_ref().map(|table| {
                    let plan = amendment::apply(table.plan(), amendment);
                    Arc::new(traffic::Table::new(plan))
                });
            }
            view::Change::Staged {
                stage,
                number,
                part,
            } => self.stage(&stage, number, part)?,
            view::Change::Adopted {
                stage,
                parts,
                base,
                bounds,
                access,
            } => self.adopt(&stage, parts, base, bounds, access)?,
            view::Change::WorkspaceAdded { workspace } => {
                Arc::make_mut(&mut self.workspaces).push(workspace);
            }
        }
        Ok(())
    }

    /// The revision of this view.
    #[must_use]
    pub fn revision(&self) -> number::Revision {
        self.revision
    }

    /// What tells the history of this view from others, if its source told it.
    #[must_use]
    pub fn founded(&self) -> Option<u64> {
        self.founded
    }

    /// Revision of the last change that the leader waits for this entry to confirm.
    #[must_use]
    pub fn binding_revision(&self) -> number::Revision {
        self.binding_revision
    }

    /// The fleet-wide defaults.
    #[must_use]
    pub fn defaults(&self) -> &configuration::Defaults {
        &self.configuration.defaults
    }

    /// The exception from the defaults for a workspace, model or service, if there is one.
    #[must_use]
    pub fn exception(
        &self,
        target: configuration::Target,
        name: &str,
    ) -> Option<&configuration::Exception> {
        let mut exceptions = self.configuration.exceptions.iter();
        exceptions.find(|exception| exception.target == target && exception.name == name)
    }

    /// The key whose secret has this hash.
    #[must_use]
    pub fn key(&self, hash: &str) -> Option<&view::Key> {
        self.keys.get(hash)
    }

    /// Whether the weight store offers a model.
    #[must_use]
    pub fn has_model(&self, model: &id::Model) -> bool {
        self.catalogue.contains_key(model)
    }

    /// All models by name.
    #[must_use]
    pub fn catalogue(&self) -> &BTreeMap<id::Model, endpoint::Weights> {
        &self.catalogue
    }

    /// All endpoints by name.
    #[must_use]
    pub fn endpoints(&self) -> &Arc<BTreeMap<id::Endpoint, view::Endpoint>> {
        &self.endpoints
    }

    /// The quarantine of requests with this fingerprint, if there is one.
    #[must_use]
    pub fn quarantine(&self, fingerprint: &str) -> Option<&view::Quarantine> {
        self.quarantines.get(fingerprint)
    }

    /// All requests that are refused or run only alone, by fingerprint.
    #[must_use]
    pub fn quarantines(&self) -> &Arc<BTreeMap<SmolStr, view::Quarantine>> {
        &self.quarantines
    }

    /// All workspaces.
    #[must_use]
    pub fn workspaces(&self) -> &[id::Workspace] {
        &self.workspaces
    }

    /// The traffic plan with its indexes, once there is one.
    #[must_use]
    pub fn traffic(&self) -> Option<&Arc<traffic::Table>> {
        self.traffic.as_ref()
    }

    /// Residency of endpoints as the leader publishes it, in addition to announcements.
    #[must_use]
    pub fn residencies(&self) -> &Arc<BTreeMap<id::Endpoint, view::Residency>> {
        &self.residencies
    }

    /// Control processes that have not left the group.
    pub fn control_members(&self) -> impl Iterator<Item = &view::Member> {
        let members = self.members.values();
        members.filter(|m| m.role == view::Role::Control && m.phase != view::Phase::Left)
    }

    /// Number of entries that have not left.
    #[must_use]
    pub fn entries(&self) -> usize {
        let members = self.members.values();
        let entries = members.filter(|m| m.role == view::Role::Entry);
        entries.filter(|m| m.phase != view::Phase::Left).count()
    }

    /// Entries that accept callers.
    pub fn active_entries(&self) -> impl Iterator<Item = &view::Member> {
        let members = self.members.values();
        members.filter(|m| m.role == view::Role::Entry && m.phase == view::Phase::Active)
    }

    /// Addresses at which other active entries accept callers.
    #[must_use]
    pub fn other_entry_addresses(&self, own: &id::Instance) -> Vec<address::Socket> {
        let others = self
            .active_entries()
            .filter(|member| member.instance != *own);
        others.map(|member| member.address).collect()
    }

    /// Entry that lends tokens in place of the leader, by workspace.
    #[must_use]
    pub fn lenders(&self) -> &BTreeMap<id::Workspace, id::Instance> {
        &self.lenders
    }

    /// Software versions that may have begun streams which still last, by service.
    #[must_use]
    pub fn versions(&self) -> &Arc<Vec<view::Versions>> {
        &self.versions
    }

    /// Where routes led before, while streams that began there may last.
    #[must_use]
    pub fn former_routes(&self) -> &Arc<Vec<view::FormerRoute>> {
        &self.former_routes
    }

    /// Failure domains whose endpoints get no requests.
    #[must_use]
    pub fn evacuated(&self) -> &Arc<BTreeSet<id::Domain>> {
        &self.evacuated
    }

    /// All members by name.
    #[must_use]
    pub fn members(&self) -> &Arc<BTreeMap<id::Instance, view::Member>> {
        &self.members
    }

    /// The view as JSON for a dump, without the hashes of keys.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let keys: Vec<&id::Key> = self.keys.values().map(|key| &key.key).collect();
        serde_json::json!({
            "revision": self.revision,
            "configuration": *self.configuration,
            "catalogue": *self.catalogue,
            "keys": keys,
            "endpoints": *self.endpoints,
            "members": *self.members,
            "quarantines": *self.quarantines,
            "workspaces": *self.workspaces,
            "lenders": *self.lenders,
            "evacuated": *self.evacuated,
        })
    }
}

fn index_by<K: Ord, V>(items: Vec<V>, key: impl Fn(&V) -> K) -> BTreeMap<K, V> {
    items.into_iter().map(|item| (key(&item), item)).collect()
}

fn index_lenders(listed: Vec<view::Lender>) -> BTreeMap<id::Workspace, id::Instance> {
    let lenders = listed.into_iter();
    let lenders = lenders.filter_map(|lender| Some((lender.workspace, lender.instance?)));
    lenders.collect()
}

fn index_catalogue(listed: Vec<endpoint::Weights>) -> BTreeMap<id::Model, endpoint::Weights> {
    index_by(listed, |weights| weights.model.clone())
}
