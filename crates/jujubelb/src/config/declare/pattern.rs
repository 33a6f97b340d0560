//! Names and addresses of many alike things, written once with a number in them.

/// The numbers of one thing in a group.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Numbers {
    /// Number of the thing, for `{}`.
    pub(super) own: Option<u64>,
    /// Number of its rack, for `{rack}`.
    pub(super) rack: Option<u64>,
}

/// Replaces `{}` and `{rack}`, or `{:02}` and `{rack:02}` with leading zeros.
pub(super) fn expand(pattern: &str, numbers: Numbers) -> String {
    let mut out = String::with_capacity(pattern.len() + 4);
    let mut rest = pattern;
    while let Some(start) = rest.find('{') {
        let Some(length) = rest[start..].find('}') else {
            break;
        };
        let inside = &rest[start + 1..start + length];
        out.push_str(&rest[..start]);
        match number(inside, numbers) {
            Some(text) => out.push_str(&text),
            None => out.push_str(&rest[start..=start + length]),
        }
        rest = &rest[start + length + 1..];
    }
    out.push_str(rest);
    out
}

/// Whether the text has a place for the thing's own number.
pub(super) fn is_numbered(pattern: &str) -> bool {
    let one = Numbers {
        own: Some(1),
        rack: None,
    };
    expand(pattern, one) != pattern
}

fn number(inside: &str, numbers: Numbers) -> Option<String> {
    let (word, width) = inside.split_once(':').unwrap_or((inside, "0"));
    let width: usize = width.parse().ok().filter(|w| *w < 10)?;
    let number = match word {
        "" => numbers.own?,
        "rack" => numbers.rack?,
        _ => return None,
    };
    Some(format!("{number:0width$}"))
}
