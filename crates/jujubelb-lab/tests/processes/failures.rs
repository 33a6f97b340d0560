use std::thread;

use jujubelb::model::Span;
use jujubelb::operator::api::{ApplyResponse, DomainRequest, RecordsView, TopView};

use super::deployment::{Deployment, code};

/// Guards against a planned stop that interrupts requests in progress.
#[test]
fn planned_stop_of_entry_process_completes_requests() {
    let deployment = Deployment::new(2, Span::from_millis(300));
    let (stopping, other) = (deployment.entry(0), deployment.entry(1));
    deployment.apply(&stopping);
    drop(deployment.request_until_served(&stopping));
    let url = format!("http://{}/svc/hello/x", stopping.callers());
    let started = deployment.platform.receipts.total();
    let requests: Vec<_> = (0..6)
        .map(|n| {
            let (http, url) = (deployment.http.clone(), url.clone());
            thread::spawn(move || {
                let request = http.get(url).header("Lab-Request", format!("r{n}"));
                let response = request.send().unwrap();
                let code = code(&response);
                (code, response.bytes().unwrap().len())
            })
        })
        .collect();
    deployment.wait_until("requests in flight", || {
        deployment.platform.receipts.total() > started
    });
    assert!(stopping.stop());
    for request in requests {
        assert_eq!(request.join().unwrap(), (100, 4_096));
    }
    assert!(other.stop());
}

/// Guards against tasks that are lost or run twice when a scheduler dies or is
/// stopped, and against a domain that is not evacuated on an operator's request.
#[test]
fn tasks_survive_the_loss_and_the_planned_stop_of_their_owner() {
    let deployment = Deployment::new(3, Span::from_millis(5));
    let entry = deployment.entry(0);
    let mut schedulers: Vec<_> = (0..3)
        .map(|host| Some(deployment.scheduler(host)))
        .collect();
    deployment.apply(&entry);
    let running = || {
        let tasks = deployment.tasks(entry.operators()).tasks;
        tasks.iter().filter(|t| t.state == "running").count()
    };
    deployment.wait_until("running watchers", || running() == 2);
    let owner = || {
        let url = format!("http://{}/v1/top", entry.operators());
        let top: TopView = deployment
            .operator(deployment.http.get(url))
            .json()
            .unwrap();
        let shard = top.shards.first()?;
        Some((shard.owner.to_string(), shard.epoch))
    };
    let index = |name: &str| {
        name["host-".len()..]
            .split('/')
            .next()?
            .parse::<usize>()
            .ok()
    };
    let (first, epoch) = owner().unwrap();
    let dead = index(&first).unwrap() - 1;
    schedulers[dead].take().unwrap().abort();
    deployment.wait_until("another owner", || {
        owner().is_some_and(|(name, next)| name != first && next > epoch)
    });
    deployment.wait_until("running watchers at the new owner", || running() == 2);
    let (second, epoch) = owner().unwrap();
    let leaving = index(&second).unwrap() - 1;
    assert!(schedulers[leaving].take().unwrap().stop());
    deployment.wait_until("a third owner", || {
        owner().is_some_and(|(name, next)| name != second && next > epoch)
    });
    deployment.wait_until("running watchers at the third owner", || running() == 2);
    take_domain_out(&deployment, entry.operators());
    deployment.wait_until("an empty domain", || running() == 0);
    let url = format!("http://{}/v1/records?subject=watch", entry.operators());
    let records: RecordsView = deployment
        .operator(deployment.http.get(url))
        .json()
        .unwrap();
    let evicted = |r: &&jujubelb::model::Record| r.action == jujubelb::model::Action::Evict;
    let evict = records.records.iter().find(evicted);
    assert!(evict.is_some_and(|r| r.parent.is_some()), "{records:?}");
    assert_eq!(deployment.platform.ledger().violations(), 0);
}

/// Guards against watchers that run on after an operator removed their declaration.
#[test]
fn a_removed_declaration_stops_its_watcher() {
    let deployment = Deployment::new(1, Span::from_millis(5));
    let (scheduler, entry) = (deployment.scheduler(0), deployment.entry(0));
    let applied = deployment.apply(&entry);
    let watching = || {
        let tasks = deployment.tasks(entry.operators()).tasks;
        let watch = |t: &&jujubelb::shard::TaskView| t.task.job.as_str() == "watch";
        tasks
            .iter()
            .filter(watch)
            .filter(|t| t.state == "running")
            .count()
    };
    deployment.wait_until("running watchers", || watching() == 2);
    let text = &deployment.files["all.yaml"];
    let (rest, _) = text.split_once("watchers:").unwrap();
    deployment.apply_text(&entry, "change-2", applied.change.revision, rest);
    deployment.wait_until("stopped watchers", || watching() == 0);
    assert!(scheduler.stop() && entry.stop());
    assert_eq!(deployment.platform.ledger().violations(), 0);
}

/// Guards against refusals without a stored record of their cause.
#[test]
fn refusals_are_recorded_and_stored_by_an_owner() {
    let deployment = Deployment::new(1, Span::from_millis(400));
    let (scheduler, entry) = (deployment.scheduler(0), deployment.entry(0));
    deployment.apply(&entry);
    drop(deployment.request_until_served(&entry));
    deployment.wait_until("an owner", || {
        !deployment.tasks(entry.operators()).tasks.is_empty()
    });
    let url = format!("http://{}/svc/hello/x", entry.callers());
    let short_deadline = deployment.http.get(url).header("Jujubelb-Deadline-Ms", "1");
    assert_eq!(code(&short_deadline.send().unwrap()), 203);
    // The scheduler lists the record only after it reached a shard.
    let url = format!("http://{}/v1/records?subject=hello", scheduler.operators());
    deployment.wait_until("the record", || {
        let view: RecordsView = deployment
            .operator(deployment.http.get(&url))
            .json()
            .unwrap();
        let refuse = |r: &jujubelb::model::Record| r.action == jujubelb::model::Action::Refuse;
        view.records.iter().any(refuse)
    });
    assert!(entry.stop());
    deployment.wait_until("the stored record", || {
        let view: RecordsView = deployment
            .operator(deployment.http.get(&url))
            .json()
            .unwrap();
        view.records
            .iter()
            .any(|r| r.id.node.as_str() == "host-1/entry")
    });
    assert!(scheduler.stop());
}

fn take_domain_out(deployment: &Deployment, operators: std::net::SocketAddr) {
    let request = DomainRequest {
        change: "out".into(),
        author: "test".into(),
        out: true,
    };
    let url = format!("http://{operators}/v1/domains/home-a");
    let response = deployment.operator(deployment.http.post(url).json(&request));
    assert_eq!(response.status(), 200, "{}", response.text().unwrap());
    let answer: ApplyResponse = response.json().unwrap();
    assert!(!answer.unchanged);
}
