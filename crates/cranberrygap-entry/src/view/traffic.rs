//! The traffic plan with the indexes that requests need.

use std::collections::BTreeMap;

use cranberrygap_model::id;
use cranberrygap_wire::traffic;
use smol_str::SmolStr;

/// A plan, indexed by host, service and key.
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
        for (at, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(plan.routes[*at].prefix.len()));
        }
        let services = plan.services.iter().enumerate();
        let services = services.map(|(at, service)| (service.service.clone(), at));
        let workspaces = plan.workspaces.iter().enumerate();
        let keys = workspaces.flat_map(|(at, workspace)| {
            let keys = workspace.keys.iter();
            keys.map(move |key| (key.clone(), at))
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

    /// The route of a host with the longest prefix that begins `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&traffic::Route> {
        let routes = self.hosts.get(host)?;
        let routes = routes.iter().map(|at| &self.plan.routes[*at]);
        let mut fitting = routes.filter(|route| path.starts_with(route.prefix.as_str()));
        fitting.next()
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&traffic::Service> {
        self.services.get(name).map(|at| &self.plan.services[*at])
    }

    /// The workspace to which the key with this hash belongs.
    #[must_use]
    pub fn workspace(&self, hash: &str) -> Option<&traffic::Workspace> {
        self.keys.get(hash).map(|at| &self.plan.workspaces[*at])
    }

    /// Whether callers must show a key.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !self.plan.workspaces.is_empty()
    }

    /// A model that the engines of a service can hold.
    #[must_use]
    pub fn model(&self, service: &id::Service, model: &id::Model) -> Option<&traffic::Model> {
        let engine = self.service(service)?.engine.as_ref()?;
        engine.models.iter().find(|found| found.model == *model)
    }
}
