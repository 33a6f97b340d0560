//! The thread that polls the host list.

use crate::hosts::{HostList, HostListView};
use crate::model::Span;
use crate::process::Running;
use crate::telemetry::Outlet;

/// Interval of polling. Endpoints that leave have to get no new requests within a few seconds.
const EVERY: Span = Span::from_millis(1_000);

/// Polls until the process ends. A failed call leaves the last list in use.
pub(super) fn run<H: HostList>(list: &H, mut news: Outlet<HostListView>, running: &Running) {
    let mut view = HostListView::default();
    let mut told = 0;
    let mut failing = false;
    while running.goes_on() {
        match list.hosts(view.version()) {
            Ok(answer) => {
                view.update(answer);
                failing = false;
            }
            Err(error) if failing => log::debug!(error:% = error; "the host list is not available"),
            Err(error) => {
                failing = true;
                log::warn!(error:% = error; "the host list is not available");
            }
        }
        if view.version() != told && news.push(view.clone()).is_ok() {
            told = view.version();
        }
        running.wait(EVERY);
    }
}
