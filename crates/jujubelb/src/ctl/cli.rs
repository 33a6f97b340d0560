//! Definition of the command line: options, commands and their help texts.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Exit codes, shown at the end of the help.
const EXIT_CODES_HELP: &str = "Exit codes:
  0  done (diff: no differences)
  1  the files have errors, or diff found differences
  2  wrong command line, setting or local file
  3  refused; nothing was changed
  4  a change was sent and it is not known whether it took effect
  5  the server can't be reached; nothing was changed
  6  unreadable answer, or the output can't be written";

/// Checks and applies configuration, and explains what the system did.
#[derive(Debug, Parser)]
#[command(name = "jujubectl", version, after_help = EXIT_CODES_HELP)]
pub(super) struct Cli {
    #[command(flatten)]
    pub(super) global: Global,
    #[command(subcommand)]
    pub(super) command: Command,
}

/// Options of all commands.
#[derive(Debug, Args)]
pub(super) struct Global {
    /// Operators' address of an entry or scheduler process, as http://IP:PORT.
    #[arg(long, global = true, env = "JUJUBECTL_SERVER", value_name = "URL")]
    pub(super) server: Option<String>,
    /// File that holds the operator token.
    #[arg(long, global = true, env = "JUJUBECTL_TOKEN_FILE", value_name = "FILE")]
    pub(super) token_file: Option<PathBuf>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub(super) format: Format,
    /// Longest wait for an answer.
    #[arg(long, global = true, value_parser = parse_duration, default_value = "10s", value_name = "TIME")]
    pub(super) timeout: Duration,
}

/// Output formats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(super) enum Format {
    /// Text for people.
    Table,
    /// JSON for programs.
    Json,
}

#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Check declaration files without a running system.
    #[command(after_help = "Examples:
  jujubectl check examples/ben-salah
  jujubectl check site.yaml teams.yaml --format json")]
    Check(Check),
    /// Show what differs between two sets of files, or between files and what is in force.
    #[command(after_help = "Examples:
  jujubectl diff old/ new/
  jujubectl diff teams.yaml            (against the server; other files stay)")]
    Diff(Diff),
    /// Apply declaration files; each change is applied as a whole or not at all.
    #[command(after_help = "Examples:
  jujubectl apply teams.yaml work.yaml
  jujubectl apply examples/ben-salah --dry-run
  jujubectl apply --remove old-teams.yaml teams.yaml
  jujubectl apply teams.yaml --expected 41   (refused if teams.yaml changed after revision 41)")]
    Apply(Apply),
    /// Show the configuration in force, or one of its files.
    #[command(after_help = "Examples:
  jujubectl get
  jujubectl get teams.yaml > teams.yaml")]
    Get(Get),
    /// Take a failure domain out of service or bring it back.
    #[command(after_help = "Examples:
  jujubectl domain out tunis-a
  jujubectl domain in tunis-a")]
    Domain(Domain),
    /// Drain an endpoint: it gets no new requests and finishes those in flight.
    #[command(after_help = "Examples:
  jujubectl drain booking-1-3
  jujubectl drain booking-1-3 --restore")]
    Drain(Drain),
    /// List tasks.
    #[command(after_help = "Examples:
  jujubectl tasks --team accounts --state queued
  jujubectl tasks --worker tunis-a-1-3 --format json")]
    Tasks(Tasks),
    /// Explain what was done with a task, job, worker, domain, service or endpoint, and why.
    #[command(after_help = "Examples:
  jujubectl why reconcile-stock/17
  jujubectl why tunis-a --since 30m
  jujubectl why booking --follow")]
    Why(Why),
    /// List decisions.
    #[command(after_help = "Examples:
  jujubectl events --action evict --domain tunis-a
  jujubectl events --cause 616 --team accounts --since 2h")]
    Events(Events),
    /// Show domains, shards, services, teams and processes.
    #[command(after_help = "Examples:
  jujubectl top
  jujubectl top --follow")]
    Top(Top),
    /// Write the state of the processes as JSON.
    #[command(after_help = "Example:
  jujubectl dump --output state.json")]
    Dump(Dump),
    /// Confirm that a worker's host is dead, so that its tasks run elsewhere at once.
    #[command(after_help = "Example:
  jujubectl confirm-dead tunis-a-1-3 --yes

If the host is in fact alive, its tasks may run twice. Make sure that it is
powered off or cut off before you confirm.")]
    ConfirmDead(ConfirmDead),
    /// Write a completion script for a shell.
    #[command(after_help = "Example:
  jujubectl completions bash > /etc/bash_completion.d/jujubectl")]
    Completions(Completions),
}

/// Identity of a change.
#[derive(Debug, Clone, Args)]
pub(super) struct Identity {
    /// Identifier of the change; a repeat with the same one is the same change. Random by default.
    #[arg(long, value_name = "ID")]
    pub(super) change: Option<String>,
    /// Who makes the change.
    #[arg(long, env = "JUJUBECTL_AUTHOR", value_name = "NAME")]
    pub(super) author: Option<String>,
}

#[derive(Debug, Args)]
pub(super) struct Check {
    /// Files, or folders whose `.yaml` and `.yml` files are taken.
    #[arg(required = true)]
    pub(super) paths: Vec<PathBuf>,
}

#[derive(Debug, Args)]
pub(super) struct Diff {
    /// File or folder before; the only one is compared with the server.
    pub(super) first: PathBuf,
    /// File or folder after.
    pub(super) second: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(super) struct Apply {
    /// Files or folders to add or replace. Files that are not named stay.
    #[arg(required_unless_present = "remove")]
    pub(super) paths: Vec<PathBuf>,
    /// Name of a file in force to remove.
    #[arg(long, value_name = "NAME")]
    pub(super) remove: Vec<String>,
    /// Revision on which the change is based; by default the one in force when the command starts.
    #[arg(long, value_name = "REVISION")]
    pub(super) expected: Option<u64>,
    /// Check and show the differences only.
    #[arg(long)]
    pub(super) dry_run: bool,
    #[command(flatten)]
    pub(super) identity: Identity,
}

#[derive(Debug, Args)]
pub(super) struct Get {
    /// Name of a file to print as stored.
    pub(super) file: Option<String>,
}

#[derive(Debug, Args)]
pub(super) struct Domain {
    /// What to do.
    #[arg(value_enum)]
    pub(super) way: DomainChange,
    /// Name of the domain.
    pub(super) name: String,
    #[command(flatten)]
    pub(super) identity: Identity,
}

/// Direction of a change to a domain's service state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(super) enum DomainChange {
    /// No task starts there; running ones are checkpointed and run elsewhere.
    Out,
    /// The domain is filled again at a bounded rate.
    In,
}

#[derive(Debug, Args)]
pub(super) struct Drain {
    /// Name of the endpoint.
    pub(super) endpoint: String,
    /// Bring it back instead.
    #[arg(long)]
    pub(super) restore: bool,
    #[command(flatten)]
    pub(super) identity: Identity,
}

#[derive(Debug, Args)]
pub(super) struct Tasks {
    /// Only tasks of this job.
    #[arg(long)]
    pub(super) job: Option<String>,
    /// Only tasks of this team.
    #[arg(long)]
    pub(super) team: Option<String>,
    /// Only tasks in this state, for example `running`.
    #[arg(long)]
    pub(super) state: Option<String>,
    /// Only tasks of this shard.
    #[arg(long)]
    pub(super) shard: Option<String>,
    /// Only tasks on this worker.
    #[arg(long)]
    pub(super) worker: Option<String>,
}

#[derive(Debug, Args)]
pub(super) struct Why {
    /// Name of a task (`job/number`), job, worker, shard, domain, service, endpoint or team, also
    /// with the word before it (`worker tunis-a-1-3`).
    #[arg(required = true, num_args = 1..=2)]
    pub(super) subject: Vec<String>,
    /// Only decisions at most this old.
    #[arg(long, value_parser = parse_duration, default_value = "24h", value_name = "TIME")]
    pub(super) since: Duration,
    /// Go on printing new decisions.
    #[arg(long)]
    pub(super) follow: bool,
}

#[derive(Debug, Args)]
pub(super) struct Events {
    /// Only this action, for example `evict`.
    #[arg(long)]
    pub(super) action: Option<String>,
    /// Only this cause, by number or name, for example `616` or `quota-exhausted`.
    #[arg(long)]
    pub(super) cause: Option<String>,
    /// Only decisions about the work of this team.
    #[arg(long)]
    pub(super) team: Option<String>,
    /// Only decisions in this failure domain.
    #[arg(long)]
    pub(super) domain: Option<String>,
    /// Only decisions at most this old.
    #[arg(long, value_parser = parse_duration, default_value = "1h", value_name = "TIME")]
    pub(super) since: Duration,
}

#[derive(Debug, Args)]
pub(super) struct Top {
    /// Refresh until interrupted.
    #[arg(long)]
    pub(super) follow: bool,
}

#[derive(Debug, Args)]
pub(super) struct Dump {
    /// File to write; standard output by default.
    #[arg(long, value_name = "FILE")]
    pub(super) output: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub(super) struct ConfirmDead {
    /// Name of the worker.
    pub(super) worker: String,
    /// State that the host is certainly dead.
    #[arg(long)]
    pub(super) yes: bool,
    /// Who confirms it.
    #[arg(long, env = "JUJUBECTL_AUTHOR", value_name = "NAME")]
    pub(super) author: Option<String>,
}

#[derive(Debug, Args)]
pub(super) struct Completions {
    /// The shell.
    #[arg(value_enum)]
    pub(super) shell: Shell,
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    match humantime::parse_duration(text) {
        Ok(time) if !time.is_zero() => Ok(time),
        Ok(_) => Err("has to be above zero".into()),
        Err(_) => Err("write for example 30s, 10m or 2h".into()),
    }
}
