use super::*;
use opentelemetry::KeyValue;

/// Guards against a page that lacks a metric or describes it differently.
#[test]
fn the_page_lists_all_metrics() {
    let page = include_str!("../../../../docs/metrics.md");
    let listed = page.lines().filter(|line| line.starts_with("| `")).count();
    for metric in METRICS {
        let row = format!(
            "| `{}` | {} | {} | {} | {} |",
            metric.name, metric.kind, metric.unit, metric.labels, metric.description
        );
        assert!(page.contains(&row), "{row}");
    }
    assert_eq!(listed, METRICS.len());
}

/// Guards against global state, with which processes in one program would expose each
/// other's metrics.
#[test]
fn instances_have_metrics_of_their_own() {
    let (one, two) = (Metrics::new().unwrap(), Metrics::new().unwrap());
    one.counter(&REQUESTS).add(3, &[KeyValue::new("code", 100)]);
    one.observable_gauge(&REQUESTS_IN_FLIGHT, |observe| observe(7.0, &[]));
    let text = one.render().unwrap();
    assert!(
        text.contains("jujubelb_requests_total{code=\"100\"} 3"),
        "{text}"
    );
    assert!(text.contains("jujubelb_requests_in_flight 7"), "{text}");
    assert!(!two.render().unwrap().contains("requests"));
}

/// Guards against queues that grow without bound or drop entries silently.
#[test]
fn a_full_queue_returns_the_entry_and_counts_it() {
    let queues = Queues::default();
    let (mut sender, mut receiver) = queue(&queues, "test", 2);
    assert_eq!(
        (sender.push(1), sender.push(2), sender.push(3)),
        (Ok(()), Ok(()), Err(3))
    );
    let status = &queues.statuses()[0];
    assert_eq!((status.length, status.capacity, status.dropped), (2, 2, 1));
    assert_eq!(
        (receiver.pop(), receiver.pop(), receiver.pop()),
        (Some(1), Some(2), None)
    );
    drop(sender);
    assert!(receiver.is_abandoned());
}

/// Guards against a receiving thread that stays parked while the queue has entries.
#[test]
fn an_entry_wakes_the_reader() {
    let (mut sender, mut receiver) = queue(&Queues::default(), "test", 2);
    let (ready, started) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        receiver.register_reader();
        ready.send(()).unwrap();
        loop {
            if let Some(entry) = receiver.pop() {
                return entry;
            }
            std::thread::park();
        }
    });
    started.recv().unwrap();
    sender.push(5).unwrap();
    assert_eq!(reader.join().unwrap(), 5);
}
