//! Keys of customers at hosts that learn of a new configuration late, or from another host.

use std::io::Cursor;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use rocket::fairing::AdHoc;
use rocket::http::{Header, Method, Status};
use rocket::local::asynchronous::Client;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::super::callers::CallerApi;
use super::super::candidacy::Eligibility;
use super::super::config_check::current_config;
use super::super::config_exchange::{ConfigCopy, ConfigReport};
use super::super::keys::{self, Leader};
use super::super::known_config::KnownConfig;
use super::super::leader::{ActiveTerm, dispatch_orders};
use super::super::main::apply_operator_keys;
use super::super::peers::{PeerApi, PeerRequest, PeerResponse};
use super::super::relay::HostReport;
use super::super::state::{KnownLeader, Node};
use super::super::watch::WatchEvent;
use super::config_store::{ConfigStore, HOST};
use super::load::{Found, Store};
use super::node_with_store;
use super::scripted_store::{begin_term, page, serve_store};
use crate::http::{self, body};
use crate::model::{Bytes, CustomerName, DomainName, HostName, Span, Time};
use crate::platform::{CONFIG_KEY, KeyDigest, KeyState, OperatorConfig, Revision, decode_config};

/// The customers of a version: one key belongs to it alone, another one to all versions.
fn customers(version: u64) -> String {
    format!(r#","tenants":[{{"name":"one","api_keys":["all","k{version}"],"weight":3}}]"#)
}

fn config_text(version: u64) -> String {
    let customers = customers(version);
    format!(
        r#"{{"version":{version},"routes":[{{"host":"{HOST}","prefix":"/q1/","service":"s"}},
            {{"host":"{HOST}","prefix":"/open/","service":"s","public":true}}]{customers}}}"#
    )
}

fn operator(version: u64) -> OperatorConfig {
    decode_config(config_text(version).as_bytes()).unwrap()
}

fn item(version: u64) -> KeyState {
    KeyState {
        key: CONFIG_KEY.to_owned(),
        value: Some(config_text(version).into_bytes()),
        revision: Revision(version),
    }
}

/// No store is there.
fn nowhere() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// A process that has activated a version, without evidence that it is the newest.
fn host(store: SocketAddr, version: u64) -> Arc<Node> {
    let node = Arc::new(node_with_store(store));
    node.set_config(operator(version), Revision(version));
    node
}

/// Lets other hosts call a process.
async fn serve_peers(node: &Arc<Node>) -> SocketAddr {
    serve_routes(PeerApi(node.clone()).routes()).await
}

/// Serves routes on a free port, which is bound once: another process may take one that is
/// released in between.
async fn serve_routes(routes: Vec<Route>) -> SocketAddr {
    let (bound, port) = tokio::sync::oneshot::channel();
    let report_port = AdHoc::on_liftoff("port", |rocket| {
        let _ = bound.send(rocket.config().port);
        Box::pin(std::future::ready(()))
    });
    let config = http::rocket_config(([127, 0, 0, 1], 0).into());
    let rocket = rocket::custom(config).attach(report_port);
    tokio::spawn(rocket.mount("/", routes).launch());
    ([127, 0, 0, 1], port.await.expect("the server starts")).into()
}

fn follow(node: &Node, peer_address: SocketAddr) {
    let leader = Leader {
        host: HostName::new("h2"),
        peer_address,
        nonce: 99,
    };
    node.set_leader(KnownLeader::Present(leader, Revision(5)));
}

async fn caller(node: &Arc<Node>) -> Client {
    let rocket = rocket::build().mount("/", CallerApi(node.clone()).routes());
    Client::untracked(rocket).await.unwrap()
}

/// Status and body of the answer to a call with a key.
async fn call(node: &Arc<Node>, method: Method, path: &str, key: &str) -> (Status, String) {
    let caller = caller(node).await;
    let mut request = caller.req(method, path.to_owned());
    request.add_header(Header::new("Host", HOST));
    if !key.is_empty() {
        request.add_header(Header::new("Authorization", format!("Token {key}")));
    }
    let response = request.dispatch().await;
    let is_refused = response.status() == Status::Unauthorized;
    assert_eq!(response.headers().contains("WWW-Authenticate"), is_refused);
    (response.status(), response.into_string().await.unwrap())
}

/// The status of the answer to a count; `Ok` if the key was taken and the count is unknown because
/// there is no leader.
async fn count(node: &Arc<Node>, key: &str) -> Status {
    let (status, body) = call(node, Method::Get, "/q1/", key).await;
    let is_admitted = body.contains("no leader is known") || body.contains("leader can't be");
    if is_admitted { Status::Ok } else { status }
}

/// Guards against calls without a valid key that are served by some method, and against a 401 at a
/// queue that does not exist or is public.
#[tokio::test]
async fn each_call_to_a_queue_needs_a_key() {
    let node = host(nowhere(), 1);
    node.confirm_config(node.now());
    let job = "/q1/5c0e7a21d94b36f8";
    for key in ["", "k2"] {
        for (method, path) in [
            (Method::Get, "/q1/"),
            (Method::Get, job),
            (Method::Post, job),
            (Method::Delete, job),
        ] {
            let (status, _) = call(&node, method, path, key).await;
            assert_eq!(status, Status::Unauthorized, "{method} {path} {key}");
        }
        let (status, _) = call(&node, Method::Get, "/none/", key).await;
        assert_eq!(status, Status::NotFound);
        let (_, body) = call(&node, Method::Get, "/open/", key).await;
        assert!(body.contains("no leader is known"), "{body}");
    }
    assert_eq!(count(&node, "k1").await, Status::Ok);
    let metrics = node.metrics.registry.render().unwrap();
    for cause in ["missing", "unknown"] {
        let line = format!(r#"jujubelb_access_refusals_total{{cause="{cause}"}} 4"#);
        assert!(metrics.contains(&line), "{metrics}");
    }
}

/// Guards against a job that counts for no customer, or for one that its queue does not ask for.
#[tokio::test]
async fn a_job_is_stored_with_its_customer() {
    let (store, address) = Store::start(Found::Nothing).await;
    let node = host(address, 1);
    node.confirm_config(node.now());
    let caller = caller(&node).await;
    for (path, expected) in [("/q1/", Some("one")), ("/open/", None)] {
        let request = caller
            .post(format!("{path}5c0e7a21d94b36f8"))
            .header(Header::new("Host", HOST))
            .header(Header::new("Authorization", "Token all"))
            .body(r#"{"spec":"p","steps":[{"count":1,"cpu":100}]}"#);
        assert_eq!(request.dispatch().await.status(), Status::Ok);
        let customer = store.written_job().customer;
        assert_eq!(customer.as_ref().map(CustomerName::as_str), expected);
    }
}

/// Guards against a withdrawn key that is served on by a host whose watch stands still, and against
/// a 401 for a new key there.
#[tokio::test]
async fn a_host_without_watch_reads_the_keys_before_it_answers() {
    let (store, address) = ConfigStore::start_with(customers).await;
    store.version.send_replace(2);
    let node = host(address, 1);
    assert_eq!(count(&node, "k1").await, Status::Unauthorized);
    assert_eq!(count(&node, "k2").await, Status::Ok);
    assert_eq!(store.answered("/kv-key"), 1);
}

/// Guards against a withdrawn key that works on at a host which only the leader can tell, and
/// against one question for each request.
#[tokio::test]
async fn a_host_without_the_store_learns_of_a_withdrawal_from_the_leader() {
    let node = host(nowhere(), 1);
    let leader = host(nowhere(), 2);
    leader.confirm_config(leader.now());
    follow(&node, serve_peers(&leader).await);
    let (old, new, all) = tokio::join!(count(&node, "k1"), count(&node, "k2"), count(&node, "all"));
    assert_eq!(
        (old, new, all),
        (Status::Unauthorized, Status::Ok, Status::Ok)
    );
    let metrics = node.metrics.registry.render().unwrap();
    assert!(!metrics.contains("no_evidence"), "{metrics}");
    let active = node.config().unwrap();
    assert_eq!((active.operator.version, active.revision), (2, Revision(2)));
    assert_eq!(active.operator, operator(2));
}

/// Guards against a refusal of a key by a host that has not read its version, for good (401) or
/// without a time to come back.
#[tokio::test]
async fn a_new_key_is_refused_for_the_time_being_by_a_host_that_is_cut_off() {
    let node = host(nowhere(), 1);
    follow(&node, nowhere());
    for key in ["k2", ""] {
        assert_eq!(count(&node, key).await, Status::ServiceUnavailable);
    }
    // Known keys read, and write nothing.
    assert_eq!(count(&node, "k1").await, Status::Ok);
    let job = "/q1/5c0e7a21d94b36f8";
    for method in [Method::Post, Method::Delete] {
        let (status, body) = call(&node, method, job, "k1").await;
        assert_eq!(status, Status::ServiceUnavailable);
        assert!(body.contains("the key can't be confirmed"), "{body}");
    }
    let mut strict = node_with_store(nowhere());
    strict.settings.revocation.strict = true;
    strict.set_config(operator(1), Revision(1));
    let refused = count(&Arc::new(strict), "k1").await;
    assert_eq!(refused, Status::ServiceUnavailable);
}

/// A host that takes connections and never answers. The listener doesn't block.
fn silent_host() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against a call to a public queue that waits for another host, whose answer changes
/// nothing.
#[tokio::test]
async fn a_call_to_a_public_queue_asks_no_other_host() {
    let node = host(nowhere(), 1);
    let (listener, address) = silent_host();
    follow(&node, address);
    // Served by the queue: a job can't be read from a store that is not there.
    let (_, body) = call(&node, Method::Post, "/open/5c0e7a21d94b36f8", "").await;
    assert!(body.contains("can't be decoded"), "{body}");
    assert!(listener.accept().is_err(), "another host was asked");
}

/// Guards against calls that all wait, over and over, for a host that does not answer.
#[tokio::test]
async fn a_host_without_an_answer_delays_one_call_at_a_time() {
    let node = host(nowhere(), 1);
    follow(&node, nowhere());
    assert_eq!(count(&node, "k1").await, Status::Ok);
    let (listener, address) = silent_host();
    follow(&node, address);
    let write = || call(&node, Method::Post, "/q1/5c0e7a21d94b36f8", "k1");
    tokio::time::sleep(Span::from_millis(400).to_std()).await;
    assert_eq!(write().await.0, Status::ServiceUnavailable);
    assert!(listener.accept().is_err(), "asked again within the pause");
    tokio::time::sleep(Span::from_millis(1_200).to_std()).await;
    let asking = async {
        write().await;
        panic!("a silent host has answered");
    };
    let others = async {
        while listener.accept().is_err() {
            tokio::time::sleep(Span::from_millis(5).to_std()).await;
        }
        for _ in 0..2 {
            assert_eq!(write().await.0, Status::ServiceUnavailable);
        }
    };
    tokio::select! { () = asking => {}, () = others => {} }
}

/// A host whose answers with a configuration take some time on their way. It answers no other
/// question.
#[derive(Clone)]
struct DistantHost(Arc<Node>);

#[rocket::async_trait]
impl Handler for DistantHost {
    async fn handle<'r>(&self, _: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let bytes = body::read(data, Bytes::from_mib(1)).await.unwrap();
        let Some(PeerRequest::KnownConfig(known)) = keys::decode("request", &bytes) else {
            return Outcome::Error(Status::InternalServerError);
        };
        let report = self.0.config_report(known);
        if report.as_ref().is_some_and(|r| r.newer.is_some()) {
            tokio::time::sleep(Span::from_millis(1_300).to_std()).await;
        }
        let bytes = keys::encode(&PeerResponse::KnownConfig(report));
        let mut response = Response::new();
        response.set_sized_body(bytes.len(), Cursor::new(bytes));
        Outcome::Success(response)
    }
}

/// Guards against a large configuration that never arrives over a link that others use too.
#[tokio::test]
async fn a_configuration_may_take_longer_than_an_answer_without_one() {
    let node = host(nowhere(), 1);
    let other = host(nowhere(), 2);
    other.confirm_config(other.now());
    let routes = vec![Route::new(Method::Post, "/peer", DistantHost(other))];
    follow(&node, serve_routes(routes).await);
    assert_eq!(count(&node, "k1").await, Status::Unauthorized);
    assert_eq!(count(&node, "k2").await, Status::Ok);
}

/// Guards against evidence of a host that is behind, or that has none, which would keep a withdrawn
/// key in use.
#[tokio::test]
async fn a_host_that_is_behind_proves_nothing() {
    for (version, is_confirmed) in [(1, true), (2, false)] {
        let node = host(nowhere(), 2);
        let other = host(nowhere(), version);
        if is_confirmed {
            other.confirm_config(other.now());
        }
        follow(&node, serve_peers(&other).await);
        let (active, evidence) = current_config(&node, |_| true).await.unwrap();
        assert!(!evidence.is_recent, "from version {version}");
        assert_eq!(active.operator.version, 2);
    }
}

fn answer_of_empty_store(path: &str) -> Option<String> {
    // The leader's store answers all but the configuration.
    (!path.contains("config")).then(|| page(&[], false))
}

async fn lead(node: &Arc<Node>, others: &[SocketAddr]) -> Arc<ActiveTerm> {
    let term = Arc::new(begin_term(node).await);
    for (i, peer_address) in others.iter().enumerate() {
        let report = HostReport {
            host: HostName::new(format!("other-{i}")),
            domain: DomainName::new("a"),
            peer_address: *peer_address,
            cores: 0.5,
            draining: false,
        };
        let eligibility = Eligibility {
            link_mbps: 10.0,
            store_reachable: true,
        };
        term.host_announced(node, report, eligibility);
    }
    node.set_active_term(Some(term.clone()));
    term
}

/// Guards against a leader that is cut off from the store and keeps withdrawn keys in use, and
/// against a host out of reach that keeps it from asking the others. The term's end changes
/// nothing.
#[tokio::test]
async fn a_leader_without_the_store_learns_of_a_withdrawal_from_another_host() {
    let node = host(serve_store(answer_of_empty_store).await, 1);
    let other = host(nowhere(), 2);
    other.confirm_config(other.now());
    let address = serve_peers(&other).await;
    lead(&node, &[nowhere(), address]).await;
    let _ = current_config(&node, |_| true).await;
    assert_eq!(node.config().unwrap().operator.version, 1);
    node.set_active_term(None);
    tokio::time::sleep(Span::from_millis(260).to_std()).await;
    assert_eq!(count(&node, "k1").await, Status::Unauthorized);
    assert_eq!(node.config().unwrap().operator.version, 2);
}

/// Guards against limits of customers that get old at a leader while no caller asks for them.
#[tokio::test]
async fn a_leader_learns_of_a_new_configuration_without_a_call() {
    let node = host(serve_store(answer_of_empty_store).await, 1);
    let other = host(nowhere(), 2);
    other.confirm_config(other.now());
    let term = lead(&node, &[serve_peers(&other).await]).await;
    let pass = tokio::spawn(dispatch_orders(node.clone(), term));
    let learned = async {
        while node.config().unwrap().operator.version < 2 {
            tokio::time::sleep(Span::from_millis(20).to_std()).await;
        }
    };
    let result = tokio::time::timeout(Span::from_secs(5).to_std(), learned).await;
    pass.abort();
    result.expect("the new version is known in time");
}

/// Guards against a withdrawn key that works on at a host which can only ask a leader that is cut
/// off too, and against hosts that ask each other without end.
#[tokio::test]
async fn a_leader_that_is_asked_asks_others_in_turn() {
    let node = host(nowhere(), 1);
    let leader = host(serve_store(answer_of_empty_store).await, 1);
    let other = host(nowhere(), 2);
    other.confirm_config(other.now());
    lead(&leader, &[serve_peers(&other).await]).await;
    follow(&node, serve_peers(&leader).await);
    let asked = async {
        while count(&node, "k1").await != Status::Unauthorized {
            tokio::time::sleep(Span::from_millis(20).to_std()).await;
        }
    };
    let limit = Span::from_secs(5).to_std();
    tokio::time::timeout(limit, asked)
        .await
        .expect("the withdrawal is known in time");
}

/// Guards against a key that comes back with an older configuration: in a late answer of the store,
/// in a snapshot after a compacted history, or from another host.
#[test]
fn an_older_configuration_brings_no_key_back() {
    let node = host(nowhere(), 3);
    let is_known = |key: &str| {
        let keys = node.config().unwrap().operator.keys.clone().unwrap();
        keys.owner(&KeyDigest::of(key)).is_some()
    };
    apply_operator_keys(&node, WatchEvent::Changes(vec![item(2)]));
    apply_operator_keys(&node, WatchEvent::Snapshot(vec![item(1)]));
    apply_operator_keys(&node, WatchEvent::Snapshot(Vec::new()));
    let report = ConfigReport {
        version: 2,
        revision: Revision(9),
        age: Some(Span::ZERO),
        newer: Some(Box::new(ConfigCopy::new(&operator(2)))),
    };
    node.learn_config(report, node.now());
    assert!(is_known("k3") && !is_known("k2") && !is_known("k1"));
    assert!(node.config_age().is_none());
}

/// Guards against evidence that counts as younger than it is: from the answer on, from before the
/// start of the process, or of a version that this host does not have.
#[test]
fn evidence_of_another_host_keeps_its_age() {
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    let age = Span::from_millis;
    let mut known = KnownConfig::default();
    known.activate(operator(2), Revision(2));
    known.confirm_by_peer(2, age(5_000), at(4_000));
    known.confirm_by_peer(1, age(0), at(4_000));
    known.confirm_by_peer(3, age(0), at(4_000));
    assert_eq!(known.evidence_age(at(4_000)), None);
    known.confirm_by_peer(2, age(3_000), at(4_000));
    known.confirm_by_peer(2, age(3_500), at(4_200));
    assert_eq!(known.evidence_age(at(6_000)), Some(age(5_000)));
    known.mark_unreadable(Revision(3));
    assert_eq!(known.report(2, at(6_000)).unwrap().age, None);
}

/// Guards against a strict deployment that uses a key for as long as the bound on configurations,
/// where that on withdrawals is shorter, and against one without customers that changes its bound.
#[test]
fn strict_withdrawals_keep_to_the_shorter_bound() {
    let mut settings = node_with_store(nowhere()).settings;
    settings.config_bound = Span::from_secs(4);
    settings.revocation.bound = Span::from_secs(2);
    assert_eq!(settings.evidence_bound(true), Span::from_secs(4));
    settings.revocation.strict = true;
    assert_eq!(settings.evidence_bound(true), Span::from_secs(2));
    assert_eq!(settings.evidence_bound(false), Span::from_secs(4));
    settings.revocation.bound = Span::from_secs(5);
    assert_eq!(settings.evidence_bound(true), Span::from_secs(4));
}

/// Guards against a large configuration that is lost on the way between hosts, or that takes a
/// link for longer than the question may.
#[test]
fn a_large_configuration_passes_between_hosts() {
    let routes: Vec<String> = (0..1_500)
        .map(|n| format!(r#"{{"host":"{HOST}","prefix":"/queue-{n}/","service":"s"}}"#))
        .collect();
    let keys: Vec<String> = (0..1_500).map(|n| format!(r#""key-{n:016}""#)).collect();
    let text = format!(
        r#"{{"version":2,"routes":[{}],"tenants":[{{"name":"one","api_keys":[{}],"weight":3}}]}}"#,
        routes.join(","),
        keys.join(",")
    );
    let operator = decode_config(text.as_bytes()).unwrap();
    let node = host(nowhere(), 1);
    node.set_config(operator.clone(), Revision(2));
    let bytes = keys::encode(&PeerResponse::KnownConfig(node.config_report(1)));
    assert!(bytes.len() < 2 * text.len(), "{} bytes", bytes.len());
    let Some(PeerResponse::KnownConfig(Some(report))) = keys::decode("response", &bytes) else {
        panic!("a report");
    };
    assert_eq!(OperatorConfig::from(*report.newer.unwrap()), operator);
    // A host that has the version gets no copy.
    let bytes = keys::encode(&PeerResponse::KnownConfig(node.config_report(2)));
    assert!(bytes.len() < 32, "{} bytes", bytes.len());
}

/// Set in the process that [`no_line_shows_a_key`] starts.
const LOG_VARIABLE: &str = "JUJUBELB_TEST_LOG_OF_KEYS";

/// Logs and prints all that malformed customers and calls with keys bring about. All keys begin with
/// `secret`.
async fn print_lines_of_keys() {
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Trace)
        .init();
    let text = format!(
        r#"{{"version":4,"routes":[{{"host":"{HOST}","prefix":"/q1/","service":"s"}}],"tenants":[
            {{"name":"one","api_keys":["secret-1"],"weight":1}},
            {{"name":"two","api_keys":["secret-1","secret-2"]}},
            {{"name":"three","api_keys":"secret-3"}},{{"name":"four","api_keys":["secret-4"],"weight":-1}},
            {{"name":"five","api_keys":[{{"secret-5":1}}]}},{{"api_keys":["secret-6"]}},"secret-7"]}}"#
    );
    let node = host(nowhere(), 1);
    let item = KeyState {
        value: Some(text.into_bytes()),
        ..item(4)
    };
    apply_operator_keys(&node, WatchEvent::Changes(vec![item]));
    for is_confirmed in [false, true] {
        if is_confirmed {
            node.confirm_config(node.now());
        }
        for key in ["secret-1", "secret-8"] {
            for method in [Method::Get, Method::Delete] {
                let (_, body) = call(&node, method, "/q1/5c0e7a21d94b36f8", key).await;
                println!("{body}");
            }
        }
    }
    let operator = &node.config().unwrap().operator;
    println!("{operator:?} {:?}", node.config_report(1));
}

/// Guards against keys in log lines of any level, in the answers to callers, and in what programs
/// print. The lines come from a process of their own, since the HTTP server may set the logger of
/// this one.
#[tokio::test]
async fn no_line_shows_a_key() {
    if std::env::var_os(LOG_VARIABLE).is_some() {
        return print_lines_of_keys().await;
    }
    let output = std::process::Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "--nocapture"])
        .arg("node::tests::customer_keys::no_line_shows_a_key")
        .env(LOG_VARIABLE, "1")
        .output()
        .unwrap();
    let lines = [output.stdout, output.stderr].concat();
    let lines = String::from_utf8_lossy(&lines);
    assert!(output.status.success(), "{lines}");
    for expected in [
        "customer=two",
        "customer=four",
        "call refused for its key",
        "cause=no_evidence",
        "KeyDigest(..)",
    ] {
        assert!(lines.contains(expected), "{expected} in {lines}");
    }
    assert!(!lines.contains("secret"), "{lines}");
}
