//! Patterns for names in rules: `*` stands for any run of characters, `?` for one.

use std::str::Chars;

/// Whether the whole of `text` is of the form `pattern`.
///
/// Keeps the last `*` only, so the time is at most the product of the lengths
/// and no pattern can make it explode.
pub fn matches(pattern: &str, text: &str) -> bool {
    let (mut pattern, mut text) = (pattern.chars(), text.chars());
    // The pattern after the last star, and the text from which it is tried next.
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
            (Some(wanted), Some(found)) if wanted == '?' || wanted == found => {}
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
