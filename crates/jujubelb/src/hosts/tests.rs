use super::*;
use crate::http::canned::{json, nobody, serve};

fn answer(version: u64, hosts: &[(&str, Option<u16>, bool)]) -> HostsAnswer {
    let hosts = hosts.iter().map(|(address, port, leaving)| HostState {
        address: address.parse().unwrap(),
        port: *port,
        leaving: *leaving,
    });
    HostsAnswer {
        version,
        hosts: Some(hosts.collect()),
    }
}

/// Guards against an old list that brings a leaving host back.
#[test]
fn older_lists_are_dropped() {
    let mut view = HostView::default();
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    assert!(view.update(answer(5, &[("10.0.0.1", None, true)])));
    assert!(!view.update(answer(4, &[("10.0.0.1", None, false)])));
    assert!(!view.update(HostsAnswer {
        version: 6,
        hosts: None
    }));
    assert!(view.is_leaving(address));
    assert_eq!(view.version(), 5);
}

/// Guards against a list entry for one port that speaks for its whole host.
#[test]
fn entries_with_a_port_stand_for_that_port_only() {
    let mut view = HostView::default();
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
    let hosts = |address| HttpHosts::new(address).unwrap().hosts(0);
    assert!(matches!(hosts(nobody()), Err(HostsError::Unreachable(_))));
    assert!(matches!(
        hosts(serve(vec![json(200, "[]")])),
        Err(HostsError::Malformed(_))
    ));
    assert!(matches!(
        hosts(serve(vec![json(503, "")])),
        Err(HostsError::Unreachable(_))
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
