use super::*;
use opentelemetry::KeyValue;

/// Guards against a page that differs from the metrics.
#[test]
fn the_page_lists_all_metrics() {
    let page = include_str!("../../../../docs/metrics.md");
    let listed = page.lines().filter(|line| line.starts_with("| `")).count();
    for metric in METRICS {
        let row = format!(
            "| `{}` | {} | {} | {} | {} |",
            metric.name, metric.kind, metric.unit, metric.labels, metric.meaning
        );
        assert!(page.contains(&row), "{row}");
    }
    assert_eq!(listed, METRICS.len());
}

/// Guards against global state: processes in one program would show each other's metrics.
#[test]
fn instances_have_metrics_of_their_own() {
    let (one, two) = (Metrics::new().unwrap(), Metrics::new().unwrap());
    one.counter(&REQUESTS).add(3, &[KeyValue::new("code", 100)]);
    one.watch_gauge(&INFLIGHT, |observe| observe(7.0, &[]));
    let text = one.render().unwrap();
    assert!(
        text.contains("jujubelb_requests_total{code=\"100\"} 3"),
        "{text}"
    );
    assert!(text.contains("jujubelb_requests_in_flight 7"), "{text}");
    assert!(!two.render().unwrap().contains("requests"));
}

/// Guards against queues that grow without bound or lose entries unnoticed.
#[test]
fn a_full_queue_gives_the_entry_back_and_counts_it() {
    let queues = Queues::default();
    let (mut outlet, mut inbox) = queue(&queues, "test", 2);
    assert_eq!(
        (outlet.push(1), outlet.push(2), outlet.push(3)),
        (Ok(()), Ok(()), Err(3))
    );
    let view = &queues.views()[0];
    assert_eq!((view.length, view.capacity, view.dropped), (2, 2, 1));
    assert_eq!(
        (inbox.pop(), inbox.pop(), inbox.pop()),
        (Some(1), Some(2), None)
    );
    drop(outlet);
    assert!(inbox.is_abandoned());
}

/// Guards against a reader that sleeps while there is work.
#[test]
fn an_entry_wakes_the_reader() {
    let (mut outlet, mut inbox) = queue(&Queues::default(), "test", 2);
    let (ready, started) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        inbox.register_reader();
        ready.send(()).unwrap();
        loop {
            if let Some(entry) = inbox.pop() {
                return entry;
            }
            std::thread::park();
        }
    });
    started.recv().unwrap();
    outlet.push(5).unwrap();
    assert_eq!(reader.join().unwrap(), 5);
}
