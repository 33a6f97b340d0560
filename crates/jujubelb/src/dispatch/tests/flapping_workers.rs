//! Workers that go down and up by turns, and sound jobs that need them.

use arcstr::ArcStr;

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{JobKey, JobStatus, Step};
use crate::model::Span;

/// Workers that go down and up by turns, the only ones with the label.
const FLAPPING: usize = 2;

/// A long-running task has to run again 7 s after the last disruption.
const MAX_LASTING_WAIT: Span = Span::from_secs(7);

/// Twenty workers, of which two have a label, and jobs that need it: five finite ones and a
/// long-running one.
fn with_labelled_jobs() -> (Simulation, Vec<JobKey>, JobKey) {
    let mut sim = Simulation::new(20);
    for i in 0..FLAPPING {
        sim.worker(i).report.labels.push(ArcStr::from("b"));
    }
    sim.list_workers();
    let labelled = |step: Step| {
        let label = Some(ArcStr::from("b"));
        job(0, vec![Step { label, ..step }])
    };
    let finite = (1..6).map(|id| sim.submit(id, labelled(step(2, 1, Span::from_secs(2)))));
    let finite = finite.collect();
    let lasting = sim.submit(6, labelled(long_running(2, 1)));
    sim.run(Span::from_millis(200));
    (sim, finite, lasting)
}

/// Lets the workers with the label go down and up by turns. After each `turns_per_leader` turns
/// the leader changes.
fn flap(sim: &mut Simulation, total: Span, down: Span, up: Span, turns_per_leader: usize) {
    let end = sim.now + total;
    let mut turns = 0;
    while sim.now < end {
        for i in 0..FLAPPING {
            sim.crash_worker(i);
        }
        sim.run(down);
        for i in 0..FLAPPING {
            sim.restart_worker(i);
        }
        sim.list_workers();
        sim.run(up);
        turns += 1;
        if turns % turns_per_leader == 0 {
            sim.replace_leader(true);
        }
    }
    assert_eq!(sim.worker(0).fault, Fault::None);
}

/// Guards against jobs shown as failed because the workers with their label crash for 6.5 s.
#[test]
fn sound_jobs_do_not_fail_on_workers_that_flap() {
    for turns_per_leader in [usize::MAX, 2] {
        let (mut sim, finite, lasting) = with_labelled_jobs();
        let half = Span::from_millis(700);
        flap(
            &mut sim,
            Span::from_millis(6_500),
            half,
            half,
            turns_per_leader,
        );
        sim.run(MAX_LASTING_WAIT.saturating_sub(half));
        assert_eq!(sim.dispatcher.job_status(lasting), Some(JobStatus::Running));
        assert_eq!(sim.running(lasting), 2);
        sim.run(Span::from_secs(5));
        for key in finite {
            let status = sim.dispatcher.job_status(key);
            assert_eq!(status, Some(JobStatus::Completed), "{key}");
        }
    }
}

/// Guards against the same fault if the workers are up for long enough to start tasks.
#[test]
fn sound_jobs_do_not_fail_on_workers_that_flap_slowly() {
    for up in (600..6_000).step_by(200).map(Span::from_millis) {
        for turns_per_leader in [usize::MAX, 3] {
            let (mut sim, finite, lasting) = with_labelled_jobs();
            let down = Span::from_millis(700);
            flap(&mut sim, Span::from_secs(60), down, up, turns_per_leader);
            sim.run(MAX_LASTING_WAIT.saturating_sub(up.min(MAX_LASTING_WAIT)));
            assert_eq!(sim.running(lasting), 2, "{up}");
            // A finite task with two crashes waits for a worker that has been up for 20 s.
            sim.run(Span::from_secs(28));
            for key in finite {
                let status = sim.dispatcher.job_status(key);
                assert_eq!(status, Some(JobStatus::Completed), "{key} {up}");
            }
        }
    }
}
