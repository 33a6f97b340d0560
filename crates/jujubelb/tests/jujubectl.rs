//! Command-line tests of `jujubectl`, offline and against a fake operator API server.

mod fake;

use std::fs;
use std::path::{Path, PathBuf};

use assert_cmd::Command;
use assert_cmd::assert::Assert;
use fake::Server;
use jujubelb::model::{
    Action, Attempt, Cause, Code, Fact, NodeName, Priority, Record, RecordId, Resources, Revision,
    Span, Subject, TaskId, Unit, WallTime,
};
use jujubelb::operator::api::{
    ApplyRequest, ApplyResponse, DoneBody, DumpView, ErrorBody, RecordsView, Source, TasksView,
};
use jujubelb::shard::TaskView;
use tempfile::TempDir;

const TOKEN: &str = "a-secret-of-the-operators";

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

fn jujubectl() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubectl"));
    command
        .env_clear()
        .env("USER", "amal")
        .current_dir(examples());
    command
}

fn stdout(assert: &Assert) -> String {
    String::from_utf8(assert.get_output().stdout.clone()).expect("valid UTF-8")
}

fn stderr(assert: &Assert) -> String {
    String::from_utf8(assert.get_output().stderr.clone()).expect("valid UTF-8")
}

fn write_file(dir: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = dir.path().join(name);
    fs::write(&path, text).expect("file access");
    path
}

/// Guards against examples in the repository that the tool rejects.
#[test]
fn all_examples_pass_check() {
    for entry in fs::read_dir(examples()).expect("the folder exists") {
        let path = entry.expect("readable").path();
        let assert = jujubectl().arg("check").arg(&path).assert().code(0);
        assert!(
            stdout(&assert).starts_with("no errors: "),
            "{}",
            path.display()
        );
    }
    let assert = jujubectl().args(["check", "kusunoki"]).assert().code(0);
    insta::assert_snapshot!(stdout(&assert));
}

/// Guards against error lists that are not machine-readable or lack the file and line.
#[test]
fn check_reports_all_errors() {
    let dir = tempfile::tempdir().expect("temporary directory");
    write_file(
        &dir,
        "a.yaml",
        "regions: [r]\ndomains: [{ name: d, regoin: r }]\n",
    );
    write_file(
        &dir,
        "b.yaml",
        "teams: [{ name: t, quota: { cpu: 1, memory: 32 } }]\n",
    );
    let assert = jujubectl().arg("check").arg(dir.path()).assert().code(1);
    insta::assert_snapshot!(stdout(&assert) + &stderr(&assert));
    let mut command = jujubectl();
    let assert = command
        .args(["check", "--format", "json"])
        .arg(dir.path())
        .assert()
        .code(1);
    let json: serde_json::Value = serde_json::from_str(&stdout(&assert)).expect("JSON");
    assert_eq!(json["problems"][0]["file"], "a.yaml");
    assert_eq!(json["problems"][0]["line"], 2);
}

/// Guards against a diff that needs a running system or hides unsafe changes.
#[test]
fn diff_of_local_files() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let old = fs::read_to_string(examples().join("minimal/minimal.yaml")).expect("readable");
    let new = old
        .replace("count: 2", "count: 1")
        .replace("cpu: 12", "cpu: 8");
    let new = write_file(&dir, "minimal.yaml", &new);
    jujubectl()
        .args(["diff", "minimal", "minimal/minimal.yaml"])
        .assert()
        .code(0);
    let assert = jujubectl()
        .args(["diff", "minimal"])
        .arg(new)
        .assert()
        .code(1);
    insta::assert_snapshot!(stdout(&assert));
}

/// Guards against wrong exit codes for local usage errors, and against tokens in error messages.
#[test]
fn local_mistakes_have_code_2() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let invalid_token = write_file(&dir, "token", "two words\n");
    let invalid_token = invalid_token.to_str().expect("valid UTF-8");
    let texts: Vec<String> = [
        vec!["get"],
        vec!["get", "--server", "http://127.0.0.1:1"],
        vec!["get", "--server", "ftp://127.0.0.1:1"],
        vec!["get", "--server", "http://localhost:1"],
        vec![
            "get",
            "--server",
            "http://127.0.0.1:1",
            "--token-file",
            invalid_token,
        ],
        vec!["check", "no-such-file.yaml"],
        vec!["confirm-dead", "tunis-a-1-3"],
        vec!["events", "--action", "explode"],
    ]
    .iter()
    .map(|args| stderr(&jujubectl().args(args).assert().code(2)))
    .collect();
    let all = texts
        .concat()
        .replace(dir.path().to_str().expect("valid UTF-8"), "DIR");
    assert!(!all.contains("two words"));
    insta::assert_snapshot!(all);
    jujubectl().arg("no-such-command").assert().code(2);
}

/// Guards against help without examples and completions that fail.
#[test]
fn help_has_examples_and_completions_work() {
    let commands = [
        "check",
        "diff",
        "apply",
        "get",
        "domain",
        "drain",
        "tasks",
        "why",
        "events",
        "top",
        "dump",
        "confirm-dead",
        "completions",
    ];
    for command in commands {
        let assert = jujubectl().args([command, "--help"]).assert().code(0);
        assert!(stdout(&assert).contains("Example"), "{command}");
    }
    for shell in ["bash", "zsh", "fish"] {
        let assert = jujubectl().args(["completions", shell]).assert().code(0);
        assert!(stdout(&assert).contains("confirm-dead"), "{shell}");
    }
    let assert = jujubectl().arg("--help").assert().code(0);
    assert!(stdout(&assert).contains("Exit codes:"));
}

fn connected(server: &Server, dir: &TempDir) -> Command {
    let token = write_file(dir, "token", TOKEN);
    let mut command = jujubectl();
    command.env("JUJUBECTL_SERVER", server.url());
    command.env("JUJUBECTL_TOKEN_FILE", token);
    command
}

/// Guards against a connection failure that is reported as a rejected change.
#[test]
fn unreachable_server_has_code_5() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let token = write_file(&dir, "token", TOKEN);
    let mut command = jujubectl();
    // Port 1 of the loopback address has no listener.
    command
        .args(["get", "--server", "http://127.0.0.1:1", "--token-file"])
        .arg(token);
    let assert = command.assert().code(5);
    assert!(stderr(&assert).contains("nothing was changed"));
}

/// Guards against calls without the token, and against a token that is printed.
#[test]
fn token_is_sent_and_not_shown() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let assert = connected(&server, &dir).arg("get").assert().code(0);
    insta::assert_snapshot!(stdout(&assert));
    let assert = connected(&server, &dir)
        .args(["get", "minimal.yaml"])
        .assert()
        .code(0);
    assert!(stdout(&assert).starts_with("# The smallest deployment"));
    let other = Server::start("another-token");
    let assert = connected(&other, &dir).arg("get").assert().code(3);
    assert!(stderr(&assert).contains("(208)"));
    assert!(!stderr(&assert).contains(TOKEN));
}

/// Guards against a change that is applied to an unexpected base revision, or twice after
/// a lost response.
#[test]
fn apply_repeats_under_the_same_identifier() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let text = "teams: [{ name: more, quota: { cpu: 1, memory: 1 GiB } }]\n";
    let file = write_file(&dir, "more.yaml", text);
    server.fail_applies(2);
    let assert = connected(&server, &dir)
        .arg("apply")
        .arg(&file)
        .assert()
        .code(0);
    assert!(
        stdout(&assert).contains("revision 8 is in force"),
        "{}",
        stdout(&assert)
    );
    let requests: Vec<ApplyRequest> = server.apply_requests();
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|r| r == &requests[0]));
    assert_eq!(requests[0].expected, Revision(7));
    assert_eq!(requests[0].author, "amal");
    assert_eq!(requests[0].files["more.yaml"].as_deref(), Some(text));
    // Every attempt gets a 502: the outcome is unknown and the change identifier is shown.
    server.fail_applies(9);
    let mut command = connected(&server, &dir);
    let assert = command
        .args(["apply", "--change", "c-1"])
        .arg(&file)
        .assert()
        .code(4);
    assert!(
        stderr(&assert).contains("--change c-1"),
        "{}",
        stderr(&assert)
    );
}

/// Guards against invalid files that are sent to the server, and against dry runs that apply
/// the change.
#[test]
fn apply_checks_first() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let bad = write_file(&dir, "bad.yaml", "jobs: [{ name: j, team: nobody }]\n");
    connected(&server, &dir)
        .arg("apply")
        .arg(&bad)
        .assert()
        .code(1);
    let good = write_file(&dir, "good.yaml", "regions: [more]\n");
    let assert = connected(&server, &dir)
        .args(["apply", "--dry-run"])
        .arg(&good)
        .assert()
        .code(0);
    assert_eq!(stdout(&assert), "+ region more\n");
    connected(&server, &dir)
        .args(["apply", "--remove", "operations.yaml"])
        .assert()
        .code(2);
    assert!(server.apply_requests().is_empty());
}

/// Guards against a conflict report that does not show the conflicting change.
#[test]
fn conflict_shows_the_other_change() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let mut body = ErrorBody::new(Code::ConfigConflict, "another change came first");
    body.other = Some(fake::change(9));
    server.reject_changes(body);
    let file = write_file(&dir, "more.yaml", "regions: [more]\n");
    let assert = connected(&server, &dir)
        .arg("apply")
        .arg(&file)
        .assert()
        .code(3);
    insta::assert_snapshot!(stderr(&assert));
    let mut command = connected(&server, &dir);
    let assert = command
        .args(["apply", "--format", "json"])
        .arg(&file)
        .assert()
        .code(3);
    let json: serde_json::Value = serde_json::from_str(&stderr(&assert)).expect("JSON");
    assert_eq!(json["body"]["number"], 405);
    server.reject_changes(ErrorBody::new(
        Code::StoreUnknown,
        "the store did not answer",
    ));
    connected(&server, &dir)
        .args(["domain", "out", "home-a"])
        .assert()
        .code(4);
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: "tidy-up".into(),
        index,
    }
}

fn record(seq: u64, subject: Subject, action: Action, cause: Cause) -> Record {
    let id = |seq| RecordId {
        node: NodeName::from("entry-1/scheduler"),
        seq,
    };
    Record {
        id: id(seq),
        at: WallTime::from_millis(1_796_378_400_000 + seq * 1_000),
        shard: None,
        subject,
        action,
        cause,
        place: Some("worker-1".into()),
        facts: vec![Fact::new("free-memory", 3 << 30, Unit::Bytes)],
        revision: Revision(7),
        parent: (seq > 1).then(|| id(seq - 1)),
        count: 1,
    }
}

/// Two processes: one is cut off and returned state that is 95 s old, the other
/// did not respond.
fn sources() -> Vec<Source> {
    let source = |node: &str, answered, age| Source {
        node: NodeName::from(node),
        answered,
        age,
    };
    vec![
        source("entry-1/scheduler", true, Some(Span::from_secs(95))),
        source("entry-2/scheduler", false, None),
    ]
}

fn records() -> RecordsView {
    let domain = Subject::Domain("home-a".into());
    RecordsView {
        sources: sources(),
        records: vec![
            record(1, domain, Action::Remove, Cause::DomainOut),
            record(2, Subject::Task(task(0)), Action::Evict, Cause::DomainOut),
            record(3, Subject::Task(task(1)), Action::Start, Cause::Scheduled),
        ],
    }
}

/// Guards against output that hides unresponsive processes or the age of the state.
#[test]
fn why_and_events_ask_for_records() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    server.set_response("/v1/records", records());
    let why = connected(&server, &dir)
        .args(["why", "tidy-up/0", "--since", "30m"])
        .assert()
        .code(0);
    let events = connected(&server, &dir)
        .args(["events", "--cause", "601"])
        .assert()
        .code(0);
    let by_domain = [
        "events", "--domain", "home-a", "--action", "evict", "--format", "json",
    ];
    let json = connected(&server, &dir).args(by_domain).assert().code(0);
    let view: RecordsView = serde_json::from_str(&stdout(&json)).expect("JSON");
    assert_eq!(view.records, records().records[1..2]);
    assert_eq!(
        server.recorded_calls()[..2],
        [
            "/v1/records?subject=tidy-up%2F0&since=1800",
            "/v1/records?since=3600"
        ]
    );
    let all = [stdout(&why), stderr(&why), stdout(&events)].join("--\n");
    insta::assert_snapshot!(all);
}

/// Guards against filters that are not applied to the task list.
#[test]
fn tasks_are_listed() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let view = |index, state: &str| TaskView {
        task: task(index),
        team: "everyone".into(),
        priority: Priority::Batch,
        state: state.into(),
        attempt: Attempt(1),
        worker: Some("worker-1".into()),
        limit: Resources::new(1_500, 2 << 30, 0),
        checkpoint: None,
    };
    let tasks = vec![view(1, "running"), view(0, "running"), view(2, "stopping")];
    server.set_response(
        "/v1/tasks",
        TasksView {
            sources: Vec::new(),
            tasks,
        },
    );
    let args = ["tasks", "--state", "running", "--shard", "home-a-1"];
    let assert = connected(&server, &dir).args(args).assert().code(0);
    insta::assert_snapshot!(stdout(&assert));
    assert_eq!(server.recorded_calls(), ["/v1/tasks?shard=home-a-1"]);
}

/// Guards against changes that are sent to the wrong path or with the wrong body.
#[test]
fn changes_are_sent_to_their_paths() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let answer = ApplyResponse {
        change: fake::change(8),
        unchanged: true,
        diff: Vec::new(),
    };
    server.set_response("/v1/endpoints/hello-1", answer);
    let done = DoneBody {
        code: Code::Done,
        number: 100,
        message: "worker-1 is taken as dead".into(),
    };
    server.set_response("/v1/workers/worker-1/confirm-dead", done);
    let args = ["drain", "hello-1", "--change", "c", "--author", "a"];
    let assert = connected(&server, &dir).args(args).assert().code(0);
    assert_eq!(
        stdout(&assert),
        "nothing to change; revision 8 is in force\n"
    );
    let args = [
        "drain",
        "hello-1",
        "--restore",
        "--change",
        "d",
        "--author",
        "a",
    ];
    connected(&server, &dir).args(args).assert().code(0);
    let args = ["confirm-dead", "worker-1", "--yes"];
    let assert = connected(&server, &dir).args(args).assert().code(0);
    assert_eq!(stdout(&assert), "worker-1 is taken as dead (100)\n");
    let expected = [
        r#"/v1/endpoints/hello-1 {"change":"c","author":"a","drain":true}"#,
        r#"/v1/endpoints/hello-1 {"change":"d","author":"a","drain":false}"#,
        r#"/v1/workers/worker-1/confirm-dead {"author":"amal"}"#,
    ];
    assert_eq!(server.recorded_calls(), expected);
    // A name with path separators is escaped, so that it can't address another path.
    connected(&server, &dir)
        .args(["drain", "../workers/x"])
        .assert()
        .code(3);
    assert!(
        server
            .recorded_calls()
            .last()
            .is_some_and(|c| c.starts_with("/v1/endpoints/"))
    );
}

/// Guards against dumps that are not written to the file given by `--output`.
#[test]
fn dump_is_written_to_a_file() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let server = Server::start(TOKEN);
    let node = NodeName::from("entry-1/entry");
    let view = DumpView {
        sources: sources(),
        nodes: [(node, serde_json::json!({ "queue": 3 }))].into(),
    };
    server.set_response("/v1/dump", &view);
    let path = dir.path().join("state.json");
    let assert = connected(&server, &dir)
        .args(["dump", "--output"])
        .arg(&path)
        .assert()
        .code(0);
    assert_eq!(stdout(&assert), "");
    assert_eq!(
        stderr(&assert),
        "note: incomplete; no answer from entry-2/scheduler\n"
    );
    let text = fs::read_to_string(path).expect("file access");
    let written: DumpView = serde_json::from_str(&text).expect("JSON");
    assert_eq!(written, view);
}
