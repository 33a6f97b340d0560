use std::time::Duration;

use super::paused_jobs;
use crate::emulator::history::{Event, Life, Record, TaskName, What};

fn record(events: Vec<(u64, What)>) -> Record {
    let event = |(at, what)| Event {
        at: Duration::from_secs(at),
        what,
    };
    Record {
        events: events.into_iter().map(event).collect(),
        ..Record::default()
    }
}

fn started(job: &str, index: u32) -> What {
    What::Started {
        worker: life(),
        zone: "za".into(),
        service: "main".into(),
        task: task(job, index),
        run: 1,
        payload: "payload".into(),
        checkpoint: None,
        late: false,
        over_room: false,
    }
}

fn paused(job: &str, index: u32, paused: bool) -> What {
    What::Paused {
        worker: life(),
        task: task(job, index),
        run: 1,
        paused,
    }
}

fn life() -> Life {
    Life {
        name: "w".into(),
        life: 1,
    }
}

fn task(job: &str, index: u32) -> TaskName {
    TaskName {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Guards against a figure that takes runs at work, or ones paused for a moment, for jobs that stand still.
#[test]
fn only_jobs_whose_runs_all_stand_are_counted() {
    let still = vec![(1, started("a", 0)), (2, paused("a", 0, true))];
    let works = vec![(2, started("a", 1))];
    let resumed = vec![(20, paused("a", 0, false)), (21, paused("a", 0, true))];
    let gone = vec![(20, What::Died { worker: life() })];
    let count = |parts: &[&Vec<(u64, What)>], end| {
        let mut events: Vec<_> = parts.iter().flat_map(|p| p.iter().cloned()).collect();
        events.insert(0, (1, What::TrafficEnded));
        events.push((end, What::FaultEnded { id: 1 }));
        paused_jobs(&record(events))
    };
    assert_eq!(count(&[&still], 26), 1);
    assert_eq!(count(&[&still], 25), 0);
    assert_eq!(count(&[&still, &works], 26), 0);
    assert_eq!(count(&[&still, &resumed], 30), 0);
    assert_eq!(count(&[&still, &resumed], 32), 1);
    assert_eq!(count(&[&still, &gone], 40), 0);
}
