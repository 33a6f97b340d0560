//! The handler of a request and the tasks of its attempts call the shared router in any
//! order.

use super::*;
use crate::config::declare;
use crate::model::{Bytes, Priority};

const DECLARED: &str = "
regions: [r]
domains: [{ name: d, region: r }]
services:
- { name: s, endpoints: [{ name: e, domain: d, address: \"127.0.0.1:1\", slots: 8, connections: 8 }] }
";

fn shared_router() -> SharedRouter {
    let files = IndexMap::from([("a.yaml".to_owned(), DECLARED.to_owned())]);
    let config = declare::check(&files).unwrap();
    let shared_router =
        SharedRouter::new("n".into(), "d".into(), Clock::start(), Span::from_secs(1));
    shared_router.with_state(|now, state| state.router.configure(now, &config));
    shared_router
}

fn request() -> RequestInfo {
    RequestInfo {
        service: "s".into(),
        deadline: None,
        priority: Priority::Urgent,
        idempotent: true,
        key: None,
        caller: None,
        bytes: Bytes(0),
    }
}

/// Guards against losing a response that is delivered after its handler was woken for
/// another reason: the router has dropped the request by then, and the handler failed
/// with an internal error.
#[test]
fn delivered_response_is_found_by_a_late_handler() {
    let shared_router = shared_router();
    let (ticket, _) = shared_router.admit(request()).unwrap();
    let NextAction::Step(Step::Send(dispatch)) = shared_router.next_action(ticket) else {
        panic!("the request was not sent");
    };
    assert!(matches!(
        shared_router.next_action(ticket),
        NextAction::Step(Step::Wait { .. })
    ));
    let response = EndpointResponse {
        status: 200,
        headers: Vec::new(),
        body: b"x".to_vec(),
        length: 1,
    };
    let outcome = AttemptOutcome::Answered {
        status: 200,
        bytes: Bytes(1),
        leaving: false,
    };
    shared_router.finish_attempt(dispatch.attempt, outcome, Some(response.clone()));
    assert_eq!(
        shared_router.next_action(ticket),
        NextAction::Respond(response)
    );
}
