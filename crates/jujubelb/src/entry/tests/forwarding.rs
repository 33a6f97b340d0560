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

fn get(answer: &str) -> (AttemptOutcome, Option<EndpointResponse>) {
    let answer = format!("HTTP/1.1 {answer}").into_bytes();
    send(serve(vec![answer]), Method::GET, Span::from_secs(60))
}

/// Guards against forwarding a truncated response as a complete one.
#[test]
fn only_complete_responses_count() {
    for answer in [
        "",
        "200 OK\r\nContent-Length: 5\r\n\r\nhell",
        "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "200 OK\r\nConnection: close\r\n\r\nhello",
        "200 OK\r\nContent-Length: 17\r\n\r\n12345678901234567",
        "nonsense\r\n\r\n",
    ] {
        let (end, whole) = get(answer);
        assert_eq!((end, whole), (AttemptOutcome::Broken, None), "{answer}");
    }
    let (end, whole) = get("404 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    let answered = AttemptOutcome::Answered {
        status: 404,
        bytes: Bytes(5),
        leaving: false,
    };
    assert_eq!(end, answered);
    assert_eq!(whole.unwrap().body, b"hello");
}

/// Guards against reporting a request that did not run as possibly run, and the reverse.
#[test]
fn outcomes_without_a_response_tell_whether_the_request_was_sent() {
    let (end, _) = send(unused_address(), Method::GET, Span::from_secs(60));
    assert_eq!(end, AttemptOutcome::Unconnected);
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let (end, _) = send(address, Method::GET, Span::from_millis(50));
    assert_eq!(end, AttemptOutcome::TimedOut);
}

/// Guards against missing an endpoint's announcement that it is leaving.
#[test]
fn an_endpoint_can_announce_that_it_is_leaving() {
    let (end, whole) = get("200 OK\r\nJujubelb-Leaving: true\r\nContent-Length: 0\r\n\r\n");
    assert!(matches!(
        end,
        AttemptOutcome::Answered { leaving: true, .. }
    ));
    assert!(
        whole.unwrap().headers.is_empty(),
        "the header must not reach callers"
    );
    let (end, whole) = get("503 No\r\nJujubelb-Leaving: declined\r\nContent-Length: 0\r\n\r\n");
    assert_eq!((end, whole), (AttemptOutcome::Declined, None));
}

/// Guards against responses to HEAD that wait for a body or lose the stated length.
#[test]
fn responses_to_head_have_a_length_and_no_body() {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n".to_vec();
    let (end, whole) = send(serve(vec![answer]), Method::HEAD, Span::from_secs(60));
    let whole = whole.unwrap();
    assert!(matches!(end, AttemptOutcome::Answered { status: 200, .. }));
    assert_eq!((whole.length, whole.body.len()), (5_000, 0));
}
