//! The thread that polls the host list.

use crate::hosts::{HostList, HostListView};
use crate::model::Span;
use crate::process::Running;
use crate::telemetry::QueueSender;

/// Interval of polling. Leaving endpoints may get new requests for a few seconds only.
const POLL_INTERVAL: Span = Span::from_millis(1_000);

/// Polls until the process stops. After a failed call the last list stays in use. Only
/// the first failure in a row is logged as a warning.
pub(super) fn run<H: HostList>(list: &H, mut outlet: QueueSender<HostListView>, running: &Running) {
    let mut view = HostListView::default();
    let mut published = 0;
    let mut failing = false;
    while running.is_active() {
        match list.hosts(view.version()) {
            Ok(response) => {
                view.update(response);
                failing = false;
            }
            Err(error) if failing => {
                log::debug!(error:% = error; "the host list could not be read")
            }
            Err(error) => {
                failing = true;
                log::warn!(error:% = error; "the host list could not be read");
            }
        }
        if view.version() != published && outlet.push(view.clone()).is_ok() {
            published = view.version();
        }
        running.wait(POLL_INTERVAL);
    }
}
