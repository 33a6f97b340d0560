//! `jujubectl tasks`: lists the tasks that match the options.

use serde::Serialize;

use super::note_missing_sources;
use crate::config::format;
use crate::ctl::CtlError;
use crate::ctl::cli::Tasks;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export, format_table};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::operator::api::{self, TasksView};
use crate::shard::TaskView;

/// Output of `tasks`, one row for each task.
#[derive(Serialize)]
#[serde(transparent)]
pub(in crate::ctl) struct TaskList(pub(in crate::ctl) TasksView);

impl Render for TaskList {
    fn text(&self, style: &Style) -> String {
        if self.0.tasks.is_empty() {
            return "no tasks".into();
        }
        let header = ["TASK", "TEAM", "STATE", "TRY", "WORKER", "LIMIT"];
        let rows = self.0.tasks.iter().map(row).collect();
        let total = format!("\n\n{} tasks", self.0.tasks.len());
        format_table(style, &header, rows) + &total
    }
}

fn row(task: &TaskView) -> Vec<String> {
    let worker = task.worker.as_ref();
    vec![
        task.task.to_string(),
        task.team.to_string(),
        task.state.clone(),
        task.attempt.to_string(),
        worker.map_or_else(|| "-".into(), ToString::to_string),
        format::resources(&task.limit),
    ]
}

pub(super) fn run(
    args: &Tasks,
    options: &Options,
    terminal: &mut Terminal,
) -> Result<(), CtlError> {
    let shard = args.shard.iter().map(|s| ("shard", s.clone()));
    let parameters: Vec<_> = shard.collect();
    let client = Client::new(options)?;
    let progress = terminal.progress("asking the schedulers");
    let view = client.get::<TasksView>(api::TASKS, &parameters);
    progress.finish_and_clear();
    let mut view = view?;
    view.tasks.retain(|task| matches(args, task));
    view.tasks.sort_by(|a, b| a.task.cmp(&b.task));
    note_missing_sources(&view.sources, terminal);
    export(options.format, &TaskList(view), terminal)
}

fn matches(args: &Tasks, task: &TaskView) -> bool {
    let equals = |want: &Option<String>, is: &str| want.as_deref().is_none_or(|w| w == is);
    let worker = task.worker.as_ref().map_or("", |w| w.as_str());
    equals(&args.job, task.task.job.as_str())
        && equals(&args.team, task.team.as_str())
        && equals(&args.state, &task.state)
        && equals(&args.worker, worker)
}
