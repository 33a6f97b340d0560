//! Expansion of number placeholders in the names and addresses of groups.

/// The numbers of one item of a group.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Numbers {
    /// Number of the item in its group, for `{}`; `None` outside a group.
    pub(super) item: Option<u64>,
    /// Number of its rack, for `{rack}`; `None` unless the rack is in a group.
    pub(super) rack: Option<u64>,
}

/// Expands `{}` and `{rack}`; a width as in `{:02}` and `{rack:02}` adds leading zeros.
/// Placeholders that are unknown or have no number stay.
pub(super) fn expand(pattern: &str, numbers: Numbers) -> String {
    let mut out = String::with_capacity(pattern.len() + 4);
    let mut rest = pattern;
    while let Some(start) = rest.find('{') {
        let Some(length) = rest[start..].find('}') else {
            break;
        };
        let inside = &rest[start + 1..start + length];
        out.push_str(&rest[..start]);
        match placeholder_value(inside, numbers) {
            Some(text) => out.push_str(&text),
            None => out.push_str(&rest[start..=start + length]),
        }
        rest = &rest[start + length + 1..];
    }
    out.push_str(rest);
    out
}

/// Whether the pattern has a placeholder for the item's own number.
pub(super) fn is_numbered(pattern: &str) -> bool {
    let one = Numbers {
        item: Some(1),
        rack: None,
    };
    expand(pattern, one) != pattern
}

/// Returns the text for the placeholder whose braces enclose `inside`.
fn placeholder_value(inside: &str, numbers: Numbers) -> Option<String> {
    let (word, width) = inside.split_once(':').unwrap_or((inside, "0"));
    let width: usize = width.parse().ok().filter(|w| *w < 10)?;
    let number = match word {
        "" => numbers.item?,
        "rack" => numbers.rack?,
        _ => return None,
    };
    Some(format!("{number:0width$}"))
}
