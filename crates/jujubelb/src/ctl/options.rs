//! Validates the options that all commands share.

use std::fmt;
use std::path::Path;
use std::time::Duration;

use reqwest::Url;

use super::CtlError;
use super::cli::{Cli, Format, Identity};

/// Longest accepted token; a longer file is the invalid file.
const MAX_TOKEN_BYTES: usize = 4_096;

/// Validated options of all commands.
#[derive(Debug)]
pub(super) struct Options {
    /// URL of the server; `None` for commands that run without one.
    pub(super) server: Option<Url>,
    /// Operator token; `None` if no token file is given.
    pub(super) token: Option<Token>,
    pub(super) format: Format,
    /// Time limit of each HTTP request.
    pub(super) timeout: Duration,
}

/// An operator token. `Debug` leaves its value out.
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
            server: global.server.as_deref().map(parse_server).transpose()?,
            token: global.token_file.as_deref().map(read_token).transpose()?,
            format: global.format,
            timeout: global.timeout,
        })
    }
}

fn parse_server(text: &str) -> Result<Url, CtlError> {
    let invalid = || {
        let message = format!("`{text}` is not a server; write for example http://127.0.0.1:7200");
        CtlError::Usage(message)
    };
    let url: Url = text.parse().map_err(|_| invalid())?;
    let is_ip = url.host_str().is_some_and(|h| {
        h.trim_matches(['[', ']'])
            .parse::<std::net::IpAddr>()
            .is_ok()
    });
    let is_origin = url.scheme() == "http" && url.path() == "/" && url.query().is_none();
    let has_user = !url.username().is_empty() || url.password().is_some();
    match is_ip && is_origin && !has_user && url.port_or_known_default().is_some() {
        true => Ok(url),
        false => Err(invalid()),
    }
}

fn read_token(path: &Path) -> Result<Token, CtlError> {
    let text = std::fs::read_to_string(path).map_err(|error| CtlError::File {
        path: path.into(),
        error,
    })?;
    let text = text.trim();
    let is_printable = text.bytes().all(|b| b.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_TOKEN_BYTES || !is_printable {
        let message = format!(
            "{} holds no token; write it as one line of printable characters",
            path.display()
        );
        return Err(CtlError::Usage(message));
    }
    Ok(Token(text.to_owned()))
}

/// Identifier and author of a change; the identifier is random unless given.
pub(super) fn identity(identity: &Identity) -> (String, String) {
    let change = identity.change.clone();
    let change = change.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    (change, author(identity.author.as_deref()))
}

/// The given author, or else the value of `USER`, or else `unknown`.
pub(super) fn author(given: Option<&str>) -> String {
    let user = || std::env::var("USER").ok().filter(|u| !u.is_empty());
    let given = given.map(str::to_owned).or_else(user);
    given.unwrap_or_else(|| "unknown".into())
}
