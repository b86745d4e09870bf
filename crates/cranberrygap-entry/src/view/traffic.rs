//! The traffic plan, indexed for request handling.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::traffic;
use smol_str::SmolStr;

/// Traffic plan, indexed by host, service and key.
#[derive(Debug, Clone)]
pub struct Table {
    plan: traffic::Plan,
    /// Routes of each host, the longest prefix first.
    hosts: BTreeMap<SmolStr, Vec<usize>>,
    services: BTreeMap<id::Service, usize>,
    keys: BTreeMap<SmolStr, usize>,
}

impl Table {
    /// Indexes `plan`.
    #[must_use]
    pub fn new(plan: traffic::Plan) -> Self {
        let mut hosts: BTreeMap<SmolStr, Vec<usize>> = BTreeMap::new();
        for (index, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(plan.routes[*index].prefix.len()));
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
        let routes = self.hosts.get(host)?;
        let routes = routes.iter().map(|index| &self.plan.routes[*index]);
        let mut matching = routes.filter(|route| path.starts_with(route.prefix.as_str()));
        matching.next()
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

    /// Whether the plan has workspaces, so that callers must present a key.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.plan.workspaces.is_empty()
    }

    /// A model that the engines of a service can load.
    #[must_use]
    pub fn model(&self, service: &id::Service, model: &id::Model) -> Option<&traffic::Model> {
        let engine = self.service(service)?.engine.as_ref()?;
        engine.models.iter().find(|found| found.model == *model)
    }
}
