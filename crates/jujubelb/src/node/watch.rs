//! Watches the keys with a prefix in the store.

use std::sync::Arc;

use super::state::{Node, sleep};
use crate::model::Span;
use crate::platform::{CallError, KeyState, ReadResult, Revision, WatchError};

/// An update of the watched keys.
#[derive(Debug)]
pub(crate) enum WatchEvent {
    /// All keys: at the start, and after a gap in the store's history.
    Snapshot(Vec<KeyState>),
    /// Changes since the last event.
    Changes(Vec<KeyState>),
}

/// Options of a watch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WatchOptions {
    pub(crate) prefix: &'static str,
    /// Longest time that the store may hold a watch call open. Bounds how long a
    /// dead connection goes unnoticed.
    pub(crate) wait: Span,
    /// Pause between two watch calls. Each answered watch is one call to the store, and
    /// calls have a cost.
    pub(crate) pause: Span,
}

/// Pause after a failed call, which limits the load on the store during an outage.
const RETRY_PAUSE: Span = Span::from_millis(250);

/// Passes all keys with a prefix and their later changes to `apply`. Never returns.
pub(crate) async fn watch_prefix(
    node: Arc<Node>,
    options: WatchOptions,
    mut apply: impl FnMut(WatchEvent),
) {
    let mut last: Option<Revision> = None;
    loop {
        let result = match last {
            None => read_all(&node, options)
                .await
                .map(|r| (WatchEvent::Snapshot(r.content), r.revision)),
            Some(after) => match watch_changes(&node, options, after).await {
                Ok(Some(r)) => Ok((WatchEvent::Changes(r.content), r.revision)),
                Ok(None) => {
                    log::warn!(prefix = options.prefix; "the store has discarded the history of the watched keys; reading all of them again");
                    last = None;
                    continue;
                }
                Err(error) => Err(error),
            },
        };
        match result {
            Ok((event, next)) => {
                last = Some(last.map_or(next, |known| known.max(next)));
                let idle = matches!(&event, WatchEvent::Changes(items) if items.is_empty());
                if !idle {
                    apply(event);
                    sleep(options.pause).await;
                }
            }
            Err(error) => {
                log::debug!(prefix = options.prefix, error:% = error; "watch of the store failed");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn read_all(
    node: &Node,
    options: WatchOptions,
) -> Result<ReadResult<Vec<KeyState>>, CallError> {
    let sent = node.now();
    let result = node.kv.range(options.prefix).await;
    node.record_store_call("range", sent, result)
}

/// Returns `None` if the store has discarded the history since `after`.
async fn watch_changes(
    node: &Node,
    options: WatchOptions,
    after: Revision,
) -> Result<Option<ReadResult<Vec<KeyState>>>, CallError> {
    let sent = node.now();
    let result = match node.kv.watch(options.prefix, after, options.wait).await {
        Ok(read) => Ok(Some(read)),
        Err(WatchError::HistoryGone) => Ok(None),
        Err(WatchError::Call(error)) => Err(error),
    };
    node.record_store_call("watch", sent, result)
}
