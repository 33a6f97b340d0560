//! Command-line tests of `jujubectl`, without a system and against a small fake of it.

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
    String::from_utf8(assert.get_output().stdout.clone()).expect("text")
}

fn stderr(assert: &Assert) -> String {
    String::from_utf8(assert.get_output().stderr.clone()).expect("text")
}

fn write(dir: &TempDir, name: &str, text: &str) -> PathBuf {
    let path = dir.path().join(name);
    fs::write(&path, text).expect("written");
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

/// Guards against error lists that programs can't read or that miss the place.
#[test]
fn check_reports_all_errors() {
    let dir = tempfile::tempdir().expect("a folder");
    write(
        &dir,
        "a.yaml",
        "regions: [r]\ndomains: [{ name: d, regoin: r }]\n",
    );
    write(
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
    let dir = tempfile::tempdir().expect("a folder");
    let old = fs::read_to_string(examples().join("minimal/minimal.yaml")).expect("readable");
    let new = old
        .replace("count: 2", "count: 1")
        .replace("cpu: 12", "cpu: 8");
    let new = write(&dir, "minimal.yaml", &new);
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

/// Guards against wrong exit codes for local mistakes, and against tokens in messages.
#[test]
fn local_mistakes_have_code_2() {
    let dir = tempfile::tempdir().expect("a folder");
    let spaced = write(&dir, "token", "two words\n");
    let spaced = spaced.to_str().expect("text");
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
            spaced,
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
        .replace(dir.path().to_str().expect("text"), "DIR");
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

fn online(server: &Server, dir: &TempDir) -> Command {
    let token = write(dir, "token", TOKEN);
    let mut command = jujubectl();
    command.env("JUJUBECTL_SERVER", server.url());
    command.env("JUJUBECTL_TOKEN_FILE", token);
    command
}

/// Guards against a connection failure that looks like a refusal.
#[test]
fn unreachable_server_has_code_5() {
    let dir = tempfile::tempdir().expect("a folder");
    let token = write(&dir, "token", TOKEN);
    let mut command = jujubectl();
    // Port 1 of the loopback address has no listener.
    command
        .args(["get", "--server", "http://127.0.0.1:1", "--token-file"])
        .arg(token);
    let assert = command.assert().code(5);
    assert!(stderr(&assert).contains("nothing was changed"));
}

/// Guards against calls without the token, and against its appearance in output.
#[test]
fn token_is_sent_and_not_shown() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    let assert = online(&server, &dir).arg("get").assert().code(0);
    insta::assert_snapshot!(stdout(&assert));
    let assert = online(&server, &dir)
        .args(["get", "minimal.yaml"])
        .assert()
        .code(0);
    assert!(stdout(&assert).starts_with("# The smallest deployment"));
    let other = Server::start("another-token");
    let assert = online(&other, &dir).arg("get").assert().code(3);
    assert!(stderr(&assert).contains("(208)"));
    assert!(!stderr(&assert).contains(TOKEN));
}

/// Guards against a change that is applied on an unseen base or twice after a lost answer.
#[test]
fn apply_repeats_under_the_same_identifier() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    let text = "teams: [{ name: more, quota: { cpu: 1, memory: 1 GiB } }]\n";
    let file = write(&dir, "more.yaml", text);
    server.lose_answers(2);
    let assert = online(&server, &dir)
        .arg("apply")
        .arg(&file)
        .assert()
        .code(0);
    assert!(
        stdout(&assert).contains("revision 8 is in force"),
        "{}",
        stdout(&assert)
    );
    let requests: Vec<ApplyRequest> = server.applied();
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|r| r == &requests[0]));
    assert_eq!(requests[0].expected, Revision(7));
    assert_eq!(requests[0].author, "amal");
    assert_eq!(requests[0].files["more.yaml"].as_deref(), Some(text));
    // All answers are lost: the outcome is unknown and the identifier is shown.
    server.lose_answers(9);
    let mut command = online(&server, &dir);
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

/// Guards against files with errors that reach the server, and against dry runs that apply.
#[test]
fn apply_checks_first() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    let bad = write(&dir, "bad.yaml", "jobs: [{ name: j, team: nobody }]\n");
    online(&server, &dir)
        .arg("apply")
        .arg(&bad)
        .assert()
        .code(1);
    let good = write(&dir, "good.yaml", "regions: [more]\n");
    let assert = online(&server, &dir)
        .args(["apply", "--dry-run"])
        .arg(&good)
        .assert()
        .code(0);
    assert_eq!(stdout(&assert), "+ region more\n");
    online(&server, &dir)
        .args(["apply", "--remove", "operations.yaml"])
        .assert()
        .code(2);
    assert!(server.applied().is_empty());
}

/// Guards against a conflict that does not show the other change.
#[test]
fn conflict_shows_the_other_change() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    let mut body = ErrorBody::new(Code::ConfigConflict, "another change came first");
    body.other = Some(fake::change(9));
    server.refuse(body);
    let file = write(&dir, "more.yaml", "regions: [more]\n");
    let assert = online(&server, &dir)
        .arg("apply")
        .arg(&file)
        .assert()
        .code(3);
    insta::assert_snapshot!(stderr(&assert));
    let mut command = online(&server, &dir);
    let assert = command
        .args(["apply", "--format", "json"])
        .arg(&file)
        .assert()
        .code(3);
    let json: serde_json::Value = serde_json::from_str(&stderr(&assert)).expect("JSON");
    assert_eq!(json["body"]["number"], 405);
    server.refuse(ErrorBody::new(
        Code::StoreUnknown,
        "the store did not answer",
    ));
    online(&server, &dir)
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

/// Two processes, of which one is cut off and one does not answer.
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

/// Guards against explanations that hide silent processes or the age of the view.
#[test]
fn why_and_events_ask_for_records() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    server.answer("/v1/records", records());
    let why = online(&server, &dir)
        .args(["why", "tidy-up/0", "--since", "30m"])
        .assert()
        .code(0);
    let events = online(&server, &dir)
        .args(["events", "--cause", "601"])
        .assert()
        .code(0);
    let by_domain = [
        "events", "--domain", "home-a", "--action", "evict", "--format", "json",
    ];
    let json = online(&server, &dir).args(by_domain).assert().code(0);
    let view: RecordsView = serde_json::from_str(&stdout(&json)).expect("JSON");
    assert_eq!(view.records, records().records[1..2]);
    assert_eq!(
        server.calls()[..2],
        [
            "/v1/records?subject=tidy-up%2F0&since=1800",
            "/v1/records?since=3600"
        ]
    );
    let all = [stdout(&why), stderr(&why), stdout(&events)].join("--\n");
    insta::assert_snapshot!(all);
}

/// Guards against filters that don't reach the list.
#[test]
fn tasks_are_listed() {
    let dir = tempfile::tempdir().expect("a folder");
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
    server.answer(
        "/v1/tasks",
        TasksView {
            sources: Vec::new(),
            tasks,
        },
    );
    let args = ["tasks", "--state", "running", "--shard", "home-a-1"];
    let assert = online(&server, &dir).args(args).assert().code(0);
    insta::assert_snapshot!(stdout(&assert));
    assert_eq!(server.calls(), ["/v1/tasks?shard=home-a-1"]);
}

/// Guards against changes that are sent to the wrong path or with the wrong meaning.
#[test]
fn changes_go_to_their_paths() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    let answer = ApplyResponse {
        change: fake::change(8),
        unchanged: true,
        diff: Vec::new(),
    };
    server.answer("/v1/endpoints/hello-1", answer);
    let done = DoneBody {
        code: Code::Done,
        number: 100,
        message: "worker-1 is taken as dead".into(),
    };
    server.answer("/v1/workers/worker-1/confirm-dead", done);
    let args = ["drain", "hello-1", "--change", "c", "--author", "a"];
    let assert = online(&server, &dir).args(args).assert().code(0);
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
    online(&server, &dir).args(args).assert().code(0);
    let args = ["confirm-dead", "worker-1", "--yes"];
    let assert = online(&server, &dir).args(args).assert().code(0);
    assert_eq!(stdout(&assert), "worker-1 is taken as dead (100)\n");
    let expected = [
        r#"/v1/endpoints/hello-1 {"change":"c","author":"a","drain":true}"#,
        r#"/v1/endpoints/hello-1 {"change":"d","author":"a","drain":false}"#,
        r#"/v1/workers/worker-1/confirm-dead {"author":"amal"}"#,
    ];
    assert_eq!(server.calls(), expected);
    // A name can't lead to another path.
    online(&server, &dir)
        .args(["drain", "../workers/x"])
        .assert()
        .code(3);
    assert!(
        server
            .calls()
            .last()
            .is_some_and(|c| c.starts_with("/v1/endpoints/"))
    );
}

/// Guards against dumps that are not written where asked.
#[test]
fn dump_is_written_to_a_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let server = Server::start(TOKEN);
    let node = NodeName::from("entry-1/entry");
    let view = DumpView {
        sources: sources(),
        nodes: [(node, serde_json::json!({ "queue": 3 }))].into(),
    };
    server.answer("/v1/dump", &view);
    let path = dir.path().join("state.json");
    let assert = online(&server, &dir)
        .args(["dump", "--output"])
        .arg(&path)
        .assert()
        .code(0);
    assert_eq!(stdout(&assert), "");
    assert_eq!(
        stderr(&assert),
        "note: incomplete; no answer from entry-2/scheduler\n"
    );
    let text = fs::read_to_string(path).expect("written");
    let written: DumpView = serde_json::from_str(&text).expect("JSON");
    assert_eq!(written, view);
}
