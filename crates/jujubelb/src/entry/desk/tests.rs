//! The handler of a request and the tasks of its attempts meet at the desk in any order.

use super::*;
use crate::config::declare;
use crate::model::{Bytes, Priority};

const DECLARED: &str = "
regions: [r]
domains: [{ name: d, region: r }]
services:
- { name: s, endpoints: [{ name: e, domain: d, address: \"127.0.0.1:1\", slots: 8, connections: 8 }] }
";

fn desk() -> Desk {
    let files = IndexMap::from([("a.yaml".to_owned(), DECLARED.to_owned())]);
    let config = declare::check(&files).unwrap();
    let desk = Desk::new("n".into(), "d".into(), Clock::start(), Span::from_secs(1));
    desk.decide(|now, state| state.router.configure(now, &config));
    desk
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

/// Guards against an answer that arrives while its handler was woken for another
/// reason: the router no longer knows the request then, and the handler gave up
/// with an internal error although the answer was there.
#[test]
fn delivered_answer_is_found_by_a_handler_that_asks_late() {
    let desk = desk();
    let (ticket, _) = desk.admit(request()).unwrap();
    let Turn::Step(Step::Send(dispatch)) = desk.turn(ticket) else {
        panic!("the request was not sent");
    };
    assert!(matches!(desk.turn(ticket), Turn::Step(Step::Wait { .. })));
    let whole = EndpointResponse {
        status: 200,
        headers: Vec::new(),
        body: b"x".to_vec(),
        length: 1,
    };
    let end = AttemptOutcome::Answered {
        status: 200,
        bytes: Bytes(1),
        leaving: false,
    };
    desk.finish(dispatch.attempt, end, Some(whole.clone()));
    assert_eq!(desk.turn(ticket), Turn::Answer(whole));
}
