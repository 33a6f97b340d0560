//! `jujubectl get`: shows the active configuration or prints one of its files.

use serde::Serialize;

use crate::ctl::cli::Get;
use crate::ctl::client::Client;
use crate::ctl::export::{Render, Style, export, format_table};
use crate::ctl::options::Options;
use crate::ctl::terminal::Terminal;
use crate::ctl::{CtlError, explain};
use crate::operator::api::{self, ConfigView};

#[derive(Serialize)]
#[serde(transparent)]
struct ActiveConfig(ConfigView);

impl Render for ActiveConfig {
    fn text(&self, style: &Style) -> String {
        let view = &self.0;
        let mut text = match &view.change {
            Some(change) => format!(
                "revision {} since {} (change {} by {})\n",
                change.revision,
                explain::time(change.at),
                change.change,
                change.author
            ),
            None => "nothing was applied yet\n".to_owned(),
        };
        text += &match view.age {
            Some(age) => format!("as seen by {}, confirmed {age} ago\n\n", view.node),
            None => format!(
                "as seen by {}, which has no contact to the store\n\n",
                view.node
            ),
        };
        let row = |(name, text): (&String, &String)| {
            vec![
                name.clone(),
                text.lines().count().to_string(),
                text.len().to_string(),
            ]
        };
        text + &format_table(
            style,
            &["FILE", "LINES", "BYTES"],
            view.files.iter().map(row).collect(),
        )
    }
}

pub(super) fn run(args: &Get, options: &Options, terminal: &mut Terminal) -> Result<(), CtlError> {
    let view: ConfigView = Client::new(options)?.get(api::CONFIG, &[])?;
    let Some(name) = &args.file else {
        return export(options.format, &ActiveConfig(view), terminal);
    };
    match view.files.get(name) {
        Some(text) => terminal.write(text),
        None => {
            let known: Vec<&str> = view.files.keys().map(String::as_str).collect();
            let message = format!(
                "no file {name} is in force; there are: {}",
                known.join(", ")
            );
            Err(CtlError::Usage(message))
        }
    }
}
