//! Watches the keys with a prefix in the store.

use std::sync::Arc;

use tokio::sync::watch::Sender;

use super::state::{Node, sleep};
use crate::model::{Span, Time};
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

/// Wait of a call whose answer is needed at once.
const SHORTEST_WAIT: Span = Span::from_millis(1);

/// Position of a watch in the history of the store.
#[derive(Debug, Default)]
pub(crate) struct WatchPosition {
    /// Revision up to which changes are known; `None` if all keys have to be read.
    last: Option<Revision>,
}

impl WatchPosition {
    /// The position after a read of all keys at this revision.
    pub(crate) fn after(revision: Revision) -> Self {
        Self {
            last: Some(revision),
        }
    }

    /// Takes a read of all keys.
    pub(crate) fn keys_read(&mut self, read: ReadResult<Vec<KeyState>>) -> WatchEvent {
        self.last = Some(read.revision);
        WatchEvent::Snapshot(read.content)
    }

    /// Takes the answer to a watch; `None` says that the store has discarded the history since
    /// the position. All keys then have to be read, because the discarded history may hold
    /// the removal of a key.
    pub(crate) fn changes_read(
        &mut self,
        read: Option<ReadResult<Vec<KeyState>>>,
    ) -> Option<WatchEvent> {
        let Some(read) = read else {
            self.last = None;
            return None;
        };
        self.last = self.last.max(Some(read.revision));
        Some(WatchEvent::Changes(read.content))
    }

    /// Revision after which to watch for changes; `None` if all keys have to be read.
    pub(crate) fn watched(&self) -> Option<Revision> {
        self.last
    }
}

/// Takes what a watch learns of its keys.
pub(crate) trait WatchObserver {
    /// Takes an update.
    fn apply(&mut self, event: WatchEvent);

    /// All changes made before `sent` have been applied.
    fn answered(&mut self, _sent: Time) {}

    /// What others ask of the watch; `None` if nobody does.
    fn demand(&self) -> Option<&EvidenceDemand> {
        None
    }
}

impl<F: FnMut(WatchEvent)> WatchObserver for F {
    fn apply(&mut self, event: WatchEvent) {
        self(event);
    }
}

/// Asks a watch for evidence of what the watched keys hold. All who wait for it share one call.
#[derive(Debug)]
pub(crate) struct EvidenceDemand {
    /// When the call has to be sent, or later, whose answer suffices.
    oldest: Sender<Time>,
}

impl Default for EvidenceDemand {
    fn default() -> Self {
        let oldest = Sender::new(Time::ZERO);
        Self { oldest }
    }
}

impl EvidenceDemand {
    /// Asks for the answer to a call sent at this time or later. A watch that has none makes a call
    /// at once, however long the present one may wait.
    pub(crate) fn ask(&self, oldest: Time) {
        self.oldest.send_if_modified(|asked| {
            let is_later = oldest > *asked;
            *asked = (*asked).max(oldest);
            is_later
        });
    }

    /// Whether the answer to a call sent at `proven` does not suffice.
    fn is_unmet(&self, proven: Time) -> bool {
        *self.oldest.borrow() > proven
    }

    /// Waits until the answer to a call sent at `proven` does not suffice.
    async fn unmet(&self, proven: Time) {
        let mut asked = self.oldest.subscribe();
        // An error would mean that the sender is gone, which is borrowed here.
        let _ = asked.wait_for(|oldest| *oldest > proven).await;
    }
}

/// The failures of a watch since its last answer.
#[derive(Debug, Clone, Copy)]
struct WatchOutage {
    calls: u32,
    /// When the first of the failed calls was sent.
    since: Time,
}

/// Passes all keys with a prefix and their later changes to an observer, or only the changes since a
/// position that is known already. Never returns.
pub(crate) async fn watch_prefix(
    node: Arc<Node>,
    options: WatchOptions,
    mut position: WatchPosition,
    mut observer: impl WatchObserver,
) {
    let mut outage: Option<WatchOutage> = None;
    let mut proven = Time::ZERO;
    loop {
        let sent = node.now();
        let is_unmet = observer.demand().is_some_and(|d| d.is_unmet(proven));
        let result = match position.watched() {
            // While the store has a gap in its history it answers reads and no watch. A lost store is
            // not asked for everything, since its watch shows soon enough when it is back.
            Some(after) if !is_unmet || outage.is_none() || node.is_store_lost() => {
                let wait = match is_unmet {
                    true => SHORTEST_WAIT,
                    false => options.wait,
                };
                let interrupted = async {
                    match observer.demand() {
                        Some(demand) if !is_unmet => demand.unmet(proven).await,
                        _ => std::future::pending().await,
                    }
                };
                tokio::select! {
                    read = watch_changes(&node, options.prefix, after, wait) => {
                        read.map(|read| position.changes_read(read))
                    }
                    () = interrupted => continue,
                }
            }
            _ => read_all(&node, options)
                .await
                .map(|read| Some(position.keys_read(read))),
        };
        if is_unmet && result.is_ok() {
            log::info!(prefix = options.prefix, age:% = sent.since(proven), took:% = node.now().since(sent); "evidence read because tasks wait for it");
        }
        if result.is_ok()
            && let Some(ended) = outage.take()
        {
            log::info!(prefix = options.prefix, failures = ended.calls, outage:% = node.now().since(ended.since); "watch of the store is answered again");
        }
        match result {
            Ok(None) => {
                log::warn!(prefix = options.prefix; "the store has discarded the history of the watched keys; reading all of them again");
            }
            Ok(Some(event)) => {
                let idle = matches!(&event, WatchEvent::Changes(items) if items.is_empty());
                if !idle {
                    observer.apply(event);
                }
                proven = sent;
                observer.answered(sent);
                if !idle {
                    sleep(options.pause).await;
                }
            }
            Err(error) => {
                let failed = outage.get_or_insert(WatchOutage {
                    calls: 0,
                    since: sent,
                });
                failed.calls += 1;
                // One line for each outage, since it may last for minutes.
                let level = match failed.calls {
                    1 => log::Level::Warn,
                    _ => log::Level::Debug,
                };
                log::log!(level, prefix = options.prefix, after:? = position.watched().map(|r| r.0), took:% = node.now().since(sent), error:% = error; "watch of the store failed");
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
    prefix: &str,
    after: Revision,
    wait: Span,
) -> Result<Option<ReadResult<Vec<KeyState>>>, CallError> {
    let sent = node.now();
    let result = match node.kv.watch(prefix, after, wait).await {
        Ok(read) => Ok(Some(read)),
        Err(WatchError::HistoryGone) => Ok(None),
        Err(WatchError::Call(error)) => Err(error),
    };
    node.record_store_call("watch", sent, result)
}
