//! Follows the keys with a prefix in the store.

use std::sync::Arc;

use super::state::{Node, sleep};
use crate::model::Span;
use crate::platform::{CallError, Item, Read, Revision, WatchError};

/// What the store tells of the watched keys.
#[derive(Debug)]
pub(crate) enum News {
    /// All keys, at the start and after a gap in the history.
    All(Vec<Item>),
    /// Changes since the last news.
    Changes(Vec<Item>),
}

/// How a prefix is followed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Follow {
    pub(crate) prefix: &'static str,
    /// Longest wait of a watch. Bounds how long a silent connection goes unnoticed.
    pub(crate) wait: Span,
    /// Pause between two watches. Each answered watch is a call with a price.
    pub(crate) pause: Span,
}

/// Pause after a failed call, so that an outage is not met with a storm of calls.
const RETRY: Span = Span::from_millis(250);

/// Follows a prefix for ever.
pub(crate) async fn follow(node: Arc<Node>, follow: Follow, mut apply: impl FnMut(News)) {
    let mut at: Option<Revision> = None;
    loop {
        let result = match at {
            None => read(&node, follow)
                .await
                .map(|r| (News::All(r.content), r.at)),
            Some(after) => match watch(&node, follow, after).await {
                Ok(Some(r)) => Ok((News::Changes(r.content), r.at)),
                Ok(None) => {
                    log::warn!(prefix = follow.prefix; "history of the watched keys is gone; reading all of them");
                    at = None;
                    continue;
                }
                Err(error) => Err(error),
            },
        };
        match result {
            Ok((news, next)) => {
                at = Some(at.map_or(next, |known| known.max(next)));
                let idle = matches!(&news, News::Changes(items) if items.is_empty());
                if !idle {
                    apply(news);
                    sleep(follow.pause).await;
                }
            }
            Err(error) => {
                log::debug!(prefix = follow.prefix, error:% = error; "watch failed");
                sleep(RETRY).await;
            }
        }
    }
}

async fn read(node: &Node, follow: Follow) -> Result<Read<Vec<Item>>, CallError> {
    let sent = node.now();
    let result = node.kv.range(follow.prefix).await;
    node.store_called("range", sent, result)
}

/// `None` if the history since `after` is gone.
async fn watch(
    node: &Node,
    follow: Follow,
    after: Revision,
) -> Result<Option<Read<Vec<Item>>>, CallError> {
    let sent = node.now();
    let result = match node.kv.watch(follow.prefix, after, follow.wait).await {
        Ok(read) => Ok(Some(read)),
        Err(WatchError::HistoryGone) => Ok(None),
        Err(WatchError::Call(error)) => Err(error),
    };
    node.store_called("watch", sent, result)
}
