use super::*;
use crate::http::test_server::{json, serve, unused_address};

fn response(version: u64, hosts: &[(&str, Option<u16>, bool)]) -> HostListResponse {
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

/// Guards against an older list that makes a leaving host available again.
#[test]
fn older_lists_are_ignored() {
    let mut view = HostListView::default();
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    assert!(view.update(response(5, &[("10.0.0.1", None, true)])));
    assert!(!view.update(response(4, &[("10.0.0.1", None, false)])));
    assert!(!view.update(HostListResponse {
        version: 6,
        hosts: None
    }));
    assert!(view.is_leaving(address));
    assert_eq!(view.version(), 5);
}

/// Guards against applying an entry for one port to all ports of its host.
#[test]
fn entries_with_a_port_apply_to_that_port_only() {
    let mut view = HostListView::default();
    view.update(response(
        1,
        &[("10.0.0.1", Some(80), true), ("10.0.0.1", None, false)],
    ));
    assert!(view.is_leaving("10.0.0.1:80".parse().unwrap()));
    assert!(!view.is_leaving("10.0.0.1:81".parse().unwrap()));
    assert!(!view.is_listed("10.0.0.2:80".parse().unwrap()));
}

/// Guards against treating a failed or malformed response as an empty list.
#[test]
fn failures_return_no_list() {
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
        Ok(response(2, &[("10.0.0.1", None, false)]))
    );
}
