//! Patterns for names in rules: `*` stands for any run of characters, `?` for one.

/// Whether the whole of `text` is of the form `pattern`.
///
/// Keeps the last `*` only, so the time is at most the product of the lengths
/// and no pattern can make it explode.
pub fn matches(pattern: &str, text: &str) -> bool {
    let pattern: Vec<char> = pattern.chars().collect();
    let text: Vec<char> = text.chars().collect();
    let mut at = 0;
    let mut position = 0;
    let mut star: Option<(usize, usize)> = None;
    while position < text.len() {
        match pattern.get(at) {
            Some('*') => {
                star = Some((at, position));
                at += 1;
            }
            Some(&wanted) if wanted == '?' || wanted == text[position] => {
                at += 1;
                position += 1;
            }
            _ => {
                let Some((star_at, star_position)) = star else { return false };
                star = Some((star_at, star_position + 1));
                at = star_at + 1;
                position = star_position + 1;
            }
        }
    }
    pattern[at..].iter().all(|&rest| rest == '*')
}
