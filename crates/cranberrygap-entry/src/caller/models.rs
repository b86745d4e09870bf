//! `GET /v1/models`: the models of the catalogue.

use std::sync::Arc;

use salvo::http::{Request, Response};
use salvo::{Depot, FlowCtrl, Handler};

use crate::core;
use crate::refusal::Refusal;

use super::auth;

/// Lists the models that callers may request.
#[derive(Debug)]
pub(crate) struct Models {
    pub core: Arc<core::Core>,
}

#[salvo::async_trait]
impl Handler for Models {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = super::request_id(req);
        super::write_request_id(&id, res);
        match self.list(req) {
            Ok(list) => super::write_json(res, list),
            Err(refusal) => refusal.write(Some(&id), res),
        }
    }
}

impl Models {
    fn list(&self, request: &Request) -> Result<String, Refusal> {
        let view = self.core.serving_view()?;
        let _workspace = auth::authenticate(request, &view)?;
        let models = view.catalogue().keys().map(|model| {
            serde_json::json!({ "id": model, "object": "model", "created": 0, "owned_by": "fleet" })
        });
        let models: Vec<serde_json::Value> = models.collect();
        Ok(serde_json::json!({ "object": "list", "data": models }).to_string())
    }
}
