//! Limit on the requests in progress.

use std::sync::Arc;

use cadence::Counted as _;
use salvo::http::{Request, Response, StatusCode};
use salvo::{Depot, FlowCtrl, Handler};
use tokio::sync::Semaphore;

use crate::core;
use crate::metric;
use crate::refusal::Refusal;

/// Limit of requests in progress without a setting; equals the schema's default.
const DEFAULT_REQUESTS: u32 = 2048;

/// Middleware that refuses requests beyond the limit without queueing them.
#[derive(Debug)]
pub(crate) struct Limit {
    slots: Arc<Semaphore>,
    core: Arc<core::Core>,
}

impl Limit {
    /// Creates a limit from the settings.
    pub(crate) fn new(core: &Arc<core::Core>) -> Self {
        let limits = core.settings.limits.as_ref();
        let requests = limits.map_or(DEFAULT_REQUESTS, |limits| limits.requests);
        Self {
            slots: Arc::new(Semaphore::new(requests as usize)),
            core: Arc::clone(core),
        }
    }
}

#[salvo::async_trait]
impl Handler for Limit {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let Ok(_slot) = self.slots.try_acquire() else {
            Refusal::Busy.write(None, res);
            ctrl.skip_rest();
            return;
        };
        ctrl.call_next(req, depot, res).await;
        let status = res.status_code.unwrap_or(StatusCode::OK).as_u16();
        self.core
            .metrics
            .count_with_tags(metric::REQUESTS, 1)
            .with_tag_value(&status.to_string())
            .send();
    }
}

/// Handler for unknown paths.
#[derive(Debug)]
pub(crate) struct NotFound;

#[salvo::async_trait]
impl Handler for NotFound {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = crate::caller::request_id(req);
        Refusal::PathUnknown.write(Some(&id), res);
    }
}
