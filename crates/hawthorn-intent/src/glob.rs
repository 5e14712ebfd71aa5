//! Wildcard patterns in rules: `*` matches any number of characters, `?` exactly one.

use std::str::Chars;

/// Whether `pattern` matches all of `text`.
///
/// Backtracks to the last `*` only, so the time is bounded by the product of both lengths.
pub fn matches(pattern: &str, text: &str) -> bool {
    let (mut pattern, mut text) = (pattern.chars(), text.chars());
    // The pattern after the last `*`, and the text at which to retry it.
    let mut retry: Option<(Chars<'_>, Chars<'_>)> = None;
    loop {
        let after = pattern.as_str();
        if let Some(rest) = after.strip_prefix('*') {
            pattern = rest.chars();
            retry = Some((rest.chars(), text.clone()));
            continue;
        }
        match (pattern.next(), text.next()) {
            (None, None) => return true,
            (Some(expected), Some(found)) if expected == '?' || expected == found => {}
            _ => {
                let Some((rest, start)) = &mut retry else { return false };
                if start.next().is_none() {
                    return false;
                }
                (pattern, text) = (rest.clone(), start.clone());
            }
        }
    }
}
