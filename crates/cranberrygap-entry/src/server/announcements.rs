//! `POST /announce`: announcements of endpoints.

use std::sync::Arc;

use cranberrygap_model::{address, duration};
use cranberrygap_trace::note;
use cranberrygap_wire::{endpoint, view};
use salvo::http::{Request, Response, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler};

use crate::core;

/// Time between an endpoint's announcements.
const HEARTBEAT_INTERVAL: duration::Span = duration::Span::from_secs(1);

/// Maximum size of an announcement in bytes; one with thousands of adapters fits.
const MAX_ANNOUNCEMENT_BYTES: usize = 256 * 1024;

/// Handler for announcements.
#[derive(Debug)]
pub(crate) struct Announcements {
    pub core: Arc<core::Core>,
    /// Token that endpoints must present, if one is configured.
    pub token: Option<String>,
}

#[salvo::async_trait]
impl Handler for Announcements {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if !self.is_authorized(req) {
            res.status_code(StatusCode::UNAUTHORIZED);
            return;
        }
        let read: Result<endpoint::Announcement, _> =
            req.parse_json_with_max_size(MAX_ANNOUNCEMENT_BYTES).await;
        let Ok(announcement) = read else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        self.accept(announcement, res);
    }
}

impl Announcements {
    fn is_authorized(&self, request: &Request) -> bool {
        let Some(token) = &self.token else {
            return true;
        };
        let presented = request.headers().get(header::AUTHORIZATION);
        let presented = presented.and_then(|value| value.to_str().ok());
        let presented = presented
            .and_then(|text| text.strip_prefix("Bearer "))
            .unwrap_or_default();
        // Hashes are compared instead of the tokens, so that the duration of the comparison
        // reveals nothing about the token.
        blake3::hash(presented.as_bytes()) == blake3::hash(token.as_bytes())
    }

    fn accept(&self, announcement: endpoint::Announcement, response: &mut Response) {
        // This entry stops using a leaving endpoint at once; other entries learn of it
        // through the replicated log.
        if announcement.phase == endpoint::Phase::Leaving {
            self.core.router.mark_leaving(&announcement.endpoint);
            let about = note::About::default().at(&announcement.endpoint);
            let sentence = "it said that it leaves, and gets no new work from here";
            self.core.trace.note(&about, "leaving", sentence, &[]);
        }
        if let Err(cause) = self.core.announcements.accept(announcement) {
            response.status_code(StatusCode::CONFLICT);
            crate::caller::write_json(response, serde_json::json!(cause.to_string()).to_string());
            return;
        }
        let welcome = endpoint::Welcome {
            addresses: self.listener_addresses(),
            heartbeat: HEARTBEAT_INTERVAL,
        };
        crate::caller::write_json(response, serde_json::json!(welcome).to_string());
    }

    /// Listeners of all active entries: this entry's first, unless it is draining.
    fn listener_addresses(&self) -> Vec<address::Socket> {
        let own = self.core.settings.listen.endpoints;
        let view = self.core.view.latest();
        let members: Vec<view::Member> = view
            .map(|view| view.active_entries().cloned().collect())
            .unwrap_or_default();
        let others = members.iter().filter_map(|member| member.endpoints);
        let mut all: Vec<address::Socket> = others.filter(|other| *other != own).collect();
        if !self.core.is_draining() {
            all.insert(0, own);
        }
        all
    }
}
