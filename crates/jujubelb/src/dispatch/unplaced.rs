//! Sizes for which a pass has found no worker, so that it searches none for larger ones.

use arcstr::ArcStr;

use super::job_spec::{JobRecord, Step};
use crate::model::{Resources, ServiceName};

/// A request for which no worker was found in this pass.
#[derive(Debug)]
struct UnplacedSize {
    size: Resources,
    /// Whether the search kept the reserve for short tasks free. If so, it says nothing
    /// about tasks that may use the reserve.
    keep_reserve: bool,
    /// Whether the search included unhealthy workers that are due a probe. If not, it says
    /// nothing about tasks that may probe them.
    may_probe: bool,
    best_effort: bool,
    /// Image of a best-effort task; `None` for others. Whether a worker admits a best-effort
    /// task depends on its image.
    image: Option<ArcStr>,
    service: ServiceName,
}

/// Requests for which no worker was found in this pass. The search is skipped for a request
/// at least as large.
#[derive(Debug, Default)]
pub(super) struct UnplacedSizes {
    sizes: Vec<UnplacedSize>,
}

impl UnplacedSizes {
    pub(super) fn covers(
        &self,
        step: &Step,
        record: &JobRecord,
        keep_reserve: bool,
        may_probe: impl Fn() -> bool,
    ) -> bool {
        self.sizes.iter().any(|known| {
            known.size.fits(&step.size)
                && (keep_reserve || !known.keep_reserve)
                && (known.may_probe || !may_probe())
                && known.best_effort == step.best_effort
                && known.image.as_ref() == step.image.as_ref().filter(|_| step.best_effort)
                && known.service == record.queue.service
        })
    }

    pub(super) fn add(
        &mut self,
        step: &Step,
        record: &JobRecord,
        keep_reserve: bool,
        may_probe: bool,
    ) {
        // A step that lacks tickets says nothing about room.
        let unconstrained = step.label.is_none()
            && step.per_worker.is_none()
            && record.queue.ticket_lifetime.is_none();
        if unconstrained {
            self.sizes.push(UnplacedSize {
                size: step.size,
                keep_reserve,
                may_probe,
                best_effort: step.best_effort,
                image: step.image.clone().filter(|_| step.best_effort),
                service: record.queue.service.clone(),
            });
        }
    }
}
