use super::*;
use crate::http::test_server::{json, serve, unused_address};

fn answer(version: u64, hosts: &[(&str, Option<u16>, bool)]) -> HostListResponse {
    let hosts = hosts.iter().map(|(address, port, leaving)| HostEntry {
        address: address.parse().unwrap(),
        port: *port,
        leaving: *leaving,
    });
    HostListResponse {
        version,
        hosts: Some(hosts.collect()),
    }
}

/// Guards against an old list that brings a leaving host back.
#[test]
fn older_lists_are_dropped() {
    let mut view = HostListView::default();
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    assert!(view.update(answer(5, &[("10.0.0.1", None, true)])));
    assert!(!view.update(answer(4, &[("10.0.0.1", None, false)])));
    assert!(!view.update(HostListResponse {
        version: 6,
        hosts: None
    }));
    assert!(view.is_leaving(address));
    assert_eq!(view.version(), 5);
}

/// Guards against a list entry for one port that speaks for its whole host.
#[test]
fn entries_with_a_port_stand_for_that_port_only() {
    let mut view = HostListView::default();
    view.update(answer(
        1,
        &[("10.0.0.1", Some(80), true), ("10.0.0.1", None, false)],
    ));
    assert!(view.is_leaving("10.0.0.1:80".parse().unwrap()));
    assert!(!view.is_leaving("10.0.0.1:81".parse().unwrap()));
    assert!(!view.is_listed("10.0.0.2:80".parse().unwrap()));
}

/// Guards against a malformed answer that empties the list.
#[test]
fn failures_bring_no_list() {
    let hosts = |address| HttpHostList::new(address).unwrap().hosts(0);
    assert!(matches!(
        hosts(unused_address()),
        Err(HostListError::Unreachable(_))
    ));
    assert!(matches!(
        hosts(serve(vec![json(200, "[]")])),
        Err(HostListError::Malformed(_))
    ));
    assert!(matches!(
        hosts(serve(vec![json(503, "")])),
        Err(HostListError::Unreachable(_))
    ));
    let good = json(
        200,
        r#"{"version":2,"hosts":[{"address":"10.0.0.1","leaving":false}]}"#,
    );
    assert_eq!(
        hosts(serve(vec![good])),
        Ok(answer(2, &[("10.0.0.1", None, false)]))
    );
}
