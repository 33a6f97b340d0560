//! Checked options.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use reqwest::Url;

use super::CtlError;
use super::cli::{Cli, Format, Identity};

/// Longest token. A longer file is certainly not a token.
const TOKEN: usize = 4_096;

/// Checked options of all commands.
#[derive(Debug)]
pub(super) struct Options {
    /// Where to send calls, if named.
    pub(super) server: Option<Url>,
    /// Operator token, if named.
    pub(super) token: Option<Token>,
    /// Output format.
    pub(super) format: Format,
    /// Longest wait for an answer.
    pub(super) timeout: Duration,
}

/// An operator token. Never shown.
pub(super) struct Token(String);

impl Token {
    pub(super) fn secret(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl Options {
    pub(super) fn new(cli: &Cli) -> Result<Self, CtlError> {
        let global = &cli.global;
        Ok(Self {
            server: global.server.as_deref().map(server).transpose()?,
            token: global.token_file.as_deref().map(token).transpose()?,
            format: global.format,
            timeout: global.timeout,
        })
    }
}

fn server(text: &str) -> Result<Url, CtlError> {
    let wrong = || {
        let message = format!("`{text}` is not a server; write for example http://127.0.0.1:7200");
        CtlError::Usage(message)
    };
    let url: Url = text.parse().map_err(|_| wrong())?;
    let ip = url.host_str().is_some_and(|h| {
        h.trim_matches(['[', ']'])
            .parse::<std::net::IpAddr>()
            .is_ok()
    });
    let plain = url.scheme() == "http" && url.path() == "/" && url.query().is_none();
    let user = !url.username().is_empty() || url.password().is_some();
    match ip && plain && !user && url.port_or_known_default().is_some() {
        true => Ok(url),
        false => Err(wrong()),
    }
}

fn token(path: &Path) -> Result<Token, CtlError> {
    let text = std::fs::read_to_string(path).map_err(|error| CtlError::File {
        path: path.into(),
        error,
    })?;
    let text = text.trim();
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > TOKEN || !printable {
        let message = format!(
            "{} holds no token; write it as one line of printable characters",
            path.display()
        );
        return Err(CtlError::Usage(message));
    }
    Ok(Token(text.to_owned()))
}

/// Identifier and author of a change.
pub(super) fn identity(identity: &Identity) -> (String, String) {
    let change = identity.change.clone();
    let change = change.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    (change, author(identity.author.as_deref()))
}

/// The named author, or the user of the session.
pub(super) fn author(named: Option<&str>) -> String {
    let user = || std::env::var("USER").ok().filter(|u| !u.is_empty());
    let named = named.map(str::to_owned).or_else(user);
    named.unwrap_or_else(|| "unknown".into())
}
