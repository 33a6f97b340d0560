//! Queries sent to all processes, with a time limit.

use indexmap::{IndexMap, IndexSet};
use tokio::task::JoinSet;

use super::OperatorApi;
use super::api::Source;
use crate::model::{NodeName, Record, RecordId, Span};
use crate::peer::{Call, NodeView, Query, Reply};
use crate::shard::TaskView;

/// Time limit for the replies of all processes. An operator waits this long if a process
/// is unreachable.
const NODE_TIMEOUT: Span = Span::from_millis(2_000);

/// Rounds of queries for the causes of records. Each round follows the chains of causes
/// into one further process.
const MAX_CAUSE_ROUNDS: usize = 4;

/// Records queried by identifier in one round.
const MAX_RECORDS_PER_ROUND: usize = 16;

/// Records in one response; the oldest ones beyond it are left out.
const MAX_RECORDS: usize = 10_000;

/// The replies of all processes.
#[derive(Debug, Default)]
pub(super) struct NodeViews {
    pub(super) sources: Vec<Source>,
    pub(super) views: Vec<NodeView>,
}

impl OperatorApi {
    /// Queries all processes that are configured or in the membership, including this one.
    pub(super) async fn query_nodes(&self, query: Query) -> NodeViews {
        let mut nodes: IndexSet<NodeName> = self.peers.known_nodes().into_iter().collect();
        nodes.insert(self.process.node.clone());
        let mut answers = JoinSet::new();
        for node in nodes {
            let (operators, call) = (self.clone(), Call::Query(query.clone()));
            answers.spawn(async move {
                let reply = operators.call(&node, call, NODE_TIMEOUT).await;
                (node, reply)
            });
        }
        let mut all = NodeViews::default();
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

    /// Collects records and follows their parents across processes.
    pub(super) async fn records(
        &self,
        subject: Option<String>,
        since: Option<Span>,
    ) -> (Vec<Source>, Vec<Record>) {
        let mut found: IndexMap<RecordId, Record> = IndexMap::new();
        let mut asked: IndexSet<RecordId> = IndexSet::new();
        let first = self.query_nodes(Query::Records { subject, since }).await;
        add_records(&mut found, first.views);
        for _ in 0..MAX_CAUSE_ROUNDS {
            let parents = found.values().filter_map(|record| record.parent.clone());
            let missing: Vec<_> = parents
                .filter(|id| !found.contains_key(id) && !asked.contains(id))
                .take(MAX_RECORDS_PER_ROUND)
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
                add_records(&mut found, self.query_nodes(query).await.views);
            }
        }
        let mut records: Vec<_> = found.into_values().collect();
        records.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        let excess = records.len().saturating_sub(MAX_RECORDS);
        records.drain(..excess);
        (first.sources, records)
    }
}

fn add_records(found: &mut IndexMap<RecordId, Record>, views: Vec<NodeView>) {
    for record in views.into_iter().flat_map(|view| view.records) {
        found.insert(record.id.clone(), record);
    }
}

/// Sorts tasks and keeps each once. During a handoff two shards list a task; the target
/// shard has the higher attempt, which is kept.
pub(super) fn newest_attempts(mut tasks: Vec<TaskView>) -> Vec<TaskView> {
    tasks.sort_by(|a, b| (&a.task, b.attempt).cmp(&(&b.task, a.attempt)));
    tasks.dedup_by(|later, kept| later.task == kept.task);
    tasks
}
