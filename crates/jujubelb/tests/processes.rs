//! Tests of the process binaries: command line, error output and planned stop.

use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

use assert_cmd::cargo::cargo_bin;

const BINARIES: [&str; 2] = ["jujubelb-entry", "jujubelb-scheduler"];

/// Settings for a process whose platform is unreachable.
fn settings(dir: &Path, binary: &str) -> String {
    std::fs::write(dir.join("key"), "k".repeat(40)).unwrap();
    std::fs::write(dir.join("token"), "t".repeat(20)).unwrap();
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let unreachable = unreachable.unwrap();
    let callers = match binary {
        "jujubelb-entry" => "callers: 127.0.0.1:0\n",
        _ => "",
    };
    let dir = dir.display();
    format!(
        "host: host-1\ndomain: home-a\n{callers}operators: 127.0.0.1:0\npeers: 127.0.0.1:0\n\
         store: {unreachable}\nhost-list: {unreachable}\nkeys: [{dir}/key]\ntokens: [{dir}/token]\n\
         stop: 20s\nnotice: 100ms\n"
    )
}

fn command(binary: &str, file: &Path) -> Command {
    let mut command = Command::new(cargo_bin(binary));
    command
        .arg("--settings")
        .arg(file)
        .env_remove("RUST_LOG")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn run(binary: &str, text: &str, argument: Option<&str>) -> Output {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("settings.yaml");
    std::fs::write(&file, text).unwrap();
    command(binary, &file).args(argument).output().unwrap()
}

/// Guards against errors that are printed twice, without the cause or with exit code 0.
#[test]
fn errors_are_printed_once() {
    for binary in BINARIES {
        let dir = tempfile::tempdir().unwrap();
        let good = settings(dir.path(), binary);
        let key = format!("{}/key", dir.path().display());
        let cases = [
            (good.replace("stop: 20s", "stopp: 20s"), "stopp"),
            (good.replace("home-a", "''"), "`domain`"),
            (good.replace(&key, "/nonexistent/key"), "/nonexistent/key"),
        ];
        for (text, wanted) in cases {
            let output = run(binary, &text, None);
            let error = String::from_utf8(output.stderr).unwrap();
            assert_eq!(output.status.code(), Some(1), "{binary}: {error}");
            assert_eq!(error.matches("error:").count(), 1, "{binary}: {error}");
            assert!(error.contains(wanted), "{binary}: {error}");
        }
        let output = run(binary, &good, Some("--check"));
        assert_eq!(output.status.code(), Some(0), "{binary}");
    }
    let missing = command(BINARIES[0], Path::new("/nonexistent/settings.yaml"));
    let output = { missing }.output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nonexistent/settings.yaml"));
}

/// Guards against a planned stop that fails, or hangs while the platform is unreachable.
#[test]
fn sigterm_stops_process_while_platform_is_unreachable() {
    for binary in BINARIES {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("settings.yaml");
        std::fs::write(&file, settings(dir.path(), binary)).unwrap();
        let mut child = command(binary, &file).spawn().unwrap();
        wait_for_start(&mut child);
        let id = child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(sent.success());
        let output = child.wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(0), "{binary}: {output:?}");
    }
}

/// Reads the log until the process has started; fails the test if it exits before.
fn wait_for_start(child: &mut Child) {
    use std::io::{BufRead, BufReader};
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let started = lines
        .by_ref()
        .any(|line| line.unwrap().contains("process started"));
    assert!(started);
    // Drains the remaining lines, so that a full pipe does not block the process.
    std::thread::spawn(move || lines.for_each(drop));
}
