//! Questions to all processes, with a bound on time.

use indexmap::{IndexMap, IndexSet};
use tokio::task::JoinSet;

use super::Operators;
use super::api::Source;
use crate::model::{NodeName, Record, RecordId, Span};
use crate::peer::{Call, NodeView, Query, Reply};
use crate::shard::TaskView;

/// Time for the answers of all processes. An operator waits for it if one is cut off.
const PATIENCE: Span = Span::from_millis(2_000);

/// Rounds of questions for records that led to others. Each goes one process further.
const ROUNDS: usize = 4;

/// Records asked for by identity in one round.
const MISSING: usize = 16;

/// Records in one answer.
const RECORDS: usize = 10_000;

/// The answers of all processes.
#[derive(Debug, Default)]
pub(super) struct Views {
    pub(super) sources: Vec<Source>,
    pub(super) views: Vec<NodeView>,
}

impl Operators {
    /// Asks all processes that are configured or were heard of, this one included.
    pub(super) async fn ask(&self, query: Query) -> Views {
        let mut nodes: IndexSet<NodeName> = self.peers.known_nodes().into_iter().collect();
        nodes.insert(self.process.node.clone());
        let mut answers = JoinSet::new();
        for node in nodes {
            let (operators, call) = (self.clone(), Call::Query(query.clone()));
            answers.spawn(async move {
                let reply = operators.call(&node, call, PATIENCE).await;
                (node, reply)
            });
        }
        let mut all = Views::default();
        while let Some(answer) = answers.join_next().await {
            let Ok((node, reply)) = answer else {
                continue;
            };
            let view = match reply {
                Some(Reply::View(view)) => Some(view),
                _ => None,
            };
            all.sources.push(Source {
                node,
                answered: view.is_some(),
                age: view.as_ref().and_then(|view| view.age),
            });
            all.views.extend(view);
        }
        all.sources.sort_by(|a, b| a.node.cmp(&b.node));
        all.views.sort_by(|a, b| a.node.cmp(&b.node));
        all
    }

    /// Asks for records and, process by process, for what led to them.
    pub(super) async fn records(
        &self,
        subject: Option<String>,
        since: Option<Span>,
    ) -> (Vec<Source>, Vec<Record>) {
        let mut found: IndexMap<RecordId, Record> = IndexMap::new();
        let mut asked: IndexSet<RecordId> = IndexSet::new();
        let first = self.ask(Query::Records { subject, since }).await;
        collect(&mut found, first.views);
        for _ in 0..ROUNDS {
            let parents = found.values().filter_map(|record| record.parent.clone());
            let missing: Vec<_> = parents
                .filter(|id| !found.contains_key(id) && !asked.contains(id))
                .take(MISSING)
                .collect();
            if missing.is_empty() {
                break;
            }
            for id in missing {
                let query = Query::Records {
                    subject: Some(id.to_string()),
                    since: None,
                };
                asked.insert(id);
                collect(&mut found, self.ask(query).await.views);
            }
        }
        let mut records: Vec<_> = found.into_values().collect();
        records.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        let excess = records.len().saturating_sub(RECORDS);
        records.drain(..excess);
        (first.sources, records)
    }
}

fn collect(found: &mut IndexMap<RecordId, Record>, views: Vec<NodeView>) {
    for record in views.into_iter().flat_map(|view| view.records) {
        found.insert(record.id.clone(), record);
    }
}

/// Each task once, in order. During a handoff two shards know a task; the target
/// has the higher attempt.
pub(super) fn newest(mut tasks: Vec<TaskView>) -> Vec<TaskView> {
    tasks.sort_by(|a, b| (&a.task, b.attempt).cmp(&(&b.task, a.attempt)));
    tasks.dedup_by(|later, kept| later.task == kept.task);
    tasks
}
