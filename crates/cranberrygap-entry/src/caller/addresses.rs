//! `GET /v1/addresses`: the entries that callers may connect to.

use std::sync::Arc;

use cranberrygap_model::duration;
use cranberrygap_wire::caller;
use rand::seq::SliceRandom as _;
use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler};

use crate::core;
use crate::refusal::Refusal;

/// Lists the entries that accept requests.
///
/// It requires no key: callers ask before they send anything else, and the response
/// contains only addresses.
#[derive(Debug)]
pub(crate) struct Addresses {
    pub core: Arc<core::Core>,
}

#[salvo::async_trait]
impl Handler for Addresses {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.list() {
            Ok(answer) => super::write_json(res, answer),
            Err(refusal) => refusal.write(None, res),
        }
    }
}

impl Addresses {
    fn list(&self) -> Result<String, Refusal> {
        let view = self.core.serving_view()?;
        let entries = view.active_entries().map(|entry| caller::Address {
            address: entry.address,
            domain: entry.domain.clone(),
        });
        let mut addresses: Vec<caller::Address> = entries.collect();
        if addresses.is_empty() && !self.core.is_draining() {
            // The fleet has just started and lists no entry yet. This entry holds a lease, so it
            // can serve.
            addresses.push(caller::Address {
                address: self.core.advertised_address(),
                domain: self.core.settings.entry.domain.clone(),
            });
        }
        // Callers use the first address that works, so a random order spreads the load.
        addresses.shuffle(&mut rand::rng());
        let second = duration::Span::from_secs(1).0;
        let lifetime = (view.defaults().address_lifetime.0 / second).max(1);
        let answer = caller::Addresses {
            addresses,
            lifetime,
        };
        Ok(serde_json::json!(answer).to_string())
    }
}
