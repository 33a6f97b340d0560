//! Handles calls of peers.

use std::sync::{Arc, Weak};

use serde_json::json;

use super::EntryProcess;
use crate::model::{Code, NodeName};
use crate::operator::api::ServiceTop;
use crate::peer::{Call, Handler, NodeView, Query, Reply};

/// Handles calls once the entry process is initialised; until then it replies with
/// `Code::Draining`.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerCallHandler(pub(super) Arc<std::sync::OnceLock<Weak<EntryProcess>>>);

impl Handler for PeerCallHandler {
    async fn handle(&self, _: NodeName, call: Call) -> Reply {
        match self.0.get().and_then(Weak::upgrade) {
            Some(entry) => entry.handle_call(call),
            None => Reply::Code(Code::Draining, "the process is starting or stopping".into()),
        }
    }
}

impl EntryProcess {
    /// Handles one call.
    pub(super) fn handle_call(&self, call: Call) -> Reply {
        if let Some(reply) = self.handle_claim(&call) {
            return reply;
        }
        match call {
            Call::Config(revision) => self.process.active_config.reply(revision),
            Call::Query(query) => Reply::View(self.query_view(&query)),
            _ => {
                let text = "an entry process owns no shards";
                Reply::Code(Code::NotOwner, text.into())
            }
        }
    }

    fn query_view(&self, query: &Query) -> NodeView {
        let process = &self.process;
        let mut view = NodeView::empty(process.node.clone(), process.active_config.evidence_age());
        match query {
            Query::Records { subject, since } => {
                view.records = process.records.about(subject.as_deref(), *since);
            }
            Query::Dump => view.dump = Some(self.dump().to_string()),
            Query::Top => view.services = self.service_top(),
            Query::Tasks(_) => {}
        }
        view
    }

    fn service_top(&self) -> Vec<ServiceTop> {
        let state = self
            .shared_router
            .with_state(|now, state| state.router.state(now));
        let mut services = self.stats.top();
        for top in &mut services {
            if let Some(service) = state.services.iter().find(|s| s.service == top.service) {
                let endpoints = &service.endpoints;
                top.inflight = endpoints.iter().map(|e| e.inflight).sum();
                top.endpoints = endpoints.iter().filter(|e| e.out.is_none()).count() as u32;
            }
        }
        services
    }

    fn dump(&self) -> serde_json::Value {
        let (router, holder) = self.shared_router.with_state(|now, state| {
            let holder = state.holder.state(now);
            (state.router.state(now), holder)
        });
        let mut dump = self.process.dump(&self.peers);
        dump["requests-in-flight"] = json!(self.stats.inflight());
        dump["router"] = json!(router);
        dump["claims"] = json!(holder);
        dump
    }
}
