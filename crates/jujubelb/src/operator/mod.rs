//! HTTP API for operators: configuration, state of the system, health and metrics.

pub mod api;
mod health;
mod query;
mod routes;
#[cfg(test)]
mod tests;
mod token;
mod top;

use std::pin::Pin;
use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

pub(crate) use health::{catchers, health_routes};
pub use token::TokenError;

use self::token::Tokens;
use crate::http::Server;
use crate::model::{Code, NodeName, ShardName, Span};
use crate::peer::{Call, Peers, Reply};
use crate::process::{Process, StartError};
use crate::telemetry;

/// Threads of the HTTP server for operators.
const SERVER_THREADS: usize = 2;

/// Handles a call in this process instead of sending it to a peer.
type LocalHandler = Arc<dyn Fn(Call) -> Pin<Box<dyn Future<Output = Reply> + Send>> + Send + Sync>;

/// State that the routes share.
#[derive(Clone)]
pub(crate) struct OperatorApi {
    process: Arc<Process>,
    peers: Peers,
    local_handler: LocalHandler,
    tokens: Arc<Tokens>,
    calls: Counter<u64>,
}

impl OperatorApi {
    /// Reads the operator tokens and creates the API of a process. `local_handler` handles
    /// calls that are addressed to this process.
    pub(crate) fn new(
        process: Arc<Process>,
        peers: Peers,
        local_handler: impl Fn(Call) -> Pin<Box<dyn Future<Output = Reply> + Send>>
        + Send
        + Sync
        + 'static,
    ) -> Result<Self, StartError> {
        let now = process.clock.now();
        Ok(Self {
            tokens: Arc::new(Tokens::read(now, process.settings.tokens.clone())?),
            calls: process.metrics.counter(&telemetry::OPERATOR_CALLS),
            local_handler: Arc::new(local_handler),
            process,
            peers,
        })
    }

    /// Starts the HTTP server on the operators' address from the settings.
    pub(crate) fn serve(self) -> Result<Server, StartError> {
        let address = self.process.settings.operators;
        let server = Server::start("operators", address, SERVER_THREADS, move |rocket| {
            rocket
                .manage(self.process.clone())
                .manage(self)
                .mount("/", routes::all())
                .mount("/", health_routes())
                .register("/", catchers())
        })?;
        Ok(server)
    }

    /// Calls a process, which may be this one. Returns `None` if no reply came in time.
    async fn call(&self, node: &NodeName, call: Call, limit: Span) -> Option<Reply> {
        if *node != self.process.node {
            return self.peers.call(node, call, limit).await.ok();
        }
        let answer = (self.local_handler)(call);
        tokio::time::timeout(limit.to_std(), answer).await.ok()
    }

    /// The owner of a shard according to heartbeats; it may be this process.
    fn owner_of(&self, shard: &ShardName) -> Option<NodeName> {
        let own = self.peers.own_heartbeat();
        let owns = own.shards.iter().any(|summary| summary.shard == *shard);
        if owns {
            return Some(own.node);
        }
        self.peers.owner_of(shard)
    }

    fn count_result(&self, code: Code) {
        let label = KeyValue::new("code", i64::from(code.number()));
        self.calls.add(1, &[label]);
    }
}
