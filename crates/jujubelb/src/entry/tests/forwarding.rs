use std::net::SocketAddr;

use reqwest::Method;
use reqwest::header::HeaderMap;

use super::super::forward::{self, OutgoingRequest};
use crate::http::response::EndpointResponse;
use crate::http::test_server::{serve, unused_address};
use crate::model::{Bytes, Span};
use crate::route::AttemptOutcome;

/// Sends a request whose response may have a body of 16 bytes.
fn send(
    address: SocketAddr,
    method: Method,
    time: Span,
) -> (AttemptOutcome, Option<EndpointResponse>) {
    let outgoing = OutgoingRequest {
        method,
        target: "/path".into(),
        headers: HeaderMap::new(),
        body: Vec::new(),
        response_limit: 16,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let client = forward::client().unwrap();
    runtime.block_on(forward::send_attempt(&client, address, &outgoing, time))
}

fn get(raw: &str) -> (AttemptOutcome, Option<EndpointResponse>) {
    let raw = format!("HTTP/1.1 {raw}").into_bytes();
    send(serve(vec![raw]), Method::GET, Span::from_secs(60))
}

/// Guards against forwarding a truncated response as a complete one.
#[test]
fn only_complete_responses_count() {
    for raw in [
        "",
        "200 OK\r\nContent-Length: 5\r\n\r\nhell",
        "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "200 OK\r\nConnection: close\r\n\r\nhello",
        "200 OK\r\nContent-Length: 17\r\n\r\n12345678901234567",
        "nonsense\r\n\r\n",
    ] {
        let (outcome, response) = get(raw);
        assert_eq!((outcome, response), (AttemptOutcome::Broken, None), "{raw}");
    }
    let (outcome, response) =
        get("404 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    let answered = AttemptOutcome::Answered {
        status: 404,
        bytes: Bytes(5),
        leaving: false,
    };
    assert_eq!(outcome, answered);
    assert_eq!(response.unwrap().body, b"hello");
}

/// Guards against reporting a request that did not run as possibly run, and the reverse.
#[test]
fn outcomes_without_a_response_tell_whether_the_request_was_sent() {
    let (outcome, _) = send(unused_address(), Method::GET, Span::from_secs(60));
    assert_eq!(outcome, AttemptOutcome::Unconnected);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let (outcome, _) = send(address, Method::GET, Span::from_millis(50));
    assert_eq!(outcome, AttemptOutcome::TimedOut);
}

/// Guards against missing an endpoint's announcement that it is leaving.
#[test]
fn an_endpoint_can_announce_that_it_is_leaving() {
    let (outcome, response) = get("200 OK\r\nJujubelb-Leaving: true\r\nContent-Length: 0\r\n\r\n");
    assert!(matches!(
        outcome,
        AttemptOutcome::Answered { leaving: true, .. }
    ));
    assert!(
        response.unwrap().headers.is_empty(),
        "the header must not reach callers"
    );
    let (outcome, response) =
        get("503 No\r\nJujubelb-Leaving: declined\r\nContent-Length: 0\r\n\r\n");
    assert_eq!((outcome, response), (AttemptOutcome::Declined, None));
}

/// Guards against responses to HEAD that wait for a body or lose the stated length.
#[test]
fn responses_to_head_have_a_length_and_no_body() {
    let raw = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n".to_vec();
    let (outcome, response) = send(serve(vec![raw]), Method::HEAD, Span::from_secs(60));
    let response = response.unwrap();
    assert!(matches!(
        outcome,
        AttemptOutcome::Answered { status: 200, .. }
    ));
    assert_eq!((response.length, response.body.len()), (5_000, 0));
}
