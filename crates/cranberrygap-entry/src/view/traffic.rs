//! The traffic plan, indexed for request handling.

use std::collections::{BTreeMap, HashMap};

use cranberrygap_model::id;
use cranberrygap_wire::traffic;
use smol_str::SmolStr;

/// Traffic plan, indexed by host, prefix, service and key.
#[derive(Debug, Clone)]
pub struct Table {
    plan: traffic::Plan,
    hosts: HashMap<SmolStr, Host>,
    services: BTreeMap<id::Service, usize>,
    keys: HashMap<SmolStr, usize>,
}

/// Routes of one host.
#[derive(Debug, Clone, Default)]
struct Host {
    routes: HashMap<SmolStr, usize>,
    /// Length of the longest prefix, in bytes.
    longest: usize,
}

impl Table {
    /// Indexes `plan`.
    #[must_use]
    pub fn new(plan: traffic::Plan) -> Self {
        let mut hosts: HashMap<SmolStr, Host> = HashMap::new();
        for (index, route) in plan.routes.iter().enumerate() {
            let host = hosts.entry(route.host.clone()).or_default();
            host.routes.insert(route.prefix.clone(), index);
            host.longest = host.longest.max(route.prefix.len());
        }
        let services = plan.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.service.clone(), index));
        let workspaces = plan.workspaces.iter().enumerate();
        let keys = workspaces.flat_map(|(index, workspace)| {
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.clone(), index))
        });
        Self {
            hosts,
            services: services.collect(),
            keys: keys.collect(),
            plan,
        }
    }

    /// The plan itself.
    #[must_use]
    pub const fn plan(&self) -> &traffic::Plan {
        &self.plan
    }

    /// The host's route with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&traffic::Route> {
        let host = self.hosts.get(host)?;
        // Prefixes consist of whole parts of a path.
        let known = &path[..path.floor_char_boundary(host.longest)];
        let mut ends = known.rmatch_indices('/').map(|(at, _)| at + 1);
        let found = ends.find_map(|end| host.routes.get(&path[..end]));
        found.map(|index| &self.plan.routes[*index])
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&traffic::Service> {
        self.services
            .get(name)
            .map(|index| &self.plan.services[*index])
    }

    /// The workspace to which the key with this hash belongs.
    #[must_use]
    pub fn workspace(&self, hash: &str) -> Option<&traffic::Workspace> {
        self.keys
            .get(hash)
            .map(|index| &self.plan.workspaces[*index])
    }

    /// Who may use the routes that are not public; `None` if the plan does not tell.
    ///
    /// Plans of earlier releases do not. One that has workspaces asks for their keys. One that has
    /// none may have lost its last workspace, and is not taken for a plan that asks for no keys.
    #[must_use]
    pub fn access(&self) -> Option<traffic::Access> {
        let has_workspaces = !self.plan.workspaces.is_empty();
        let implied = has_workspaces.then_some(traffic::Access::KeyHolders);
        self.plan.access.or(implied)
    }

    /// A model that the engines of a service can load.
    #[must_use]
    pub fn model(&self, service: &id::Service, model: &id::Model) -> Option<&traffic::Model> {
        let engine = self.service(service)?.engine.as_ref()?;
        engine.models.iter().find(|found| found.model == *model)
    }
}
