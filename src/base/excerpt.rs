//! Bounded form of text of unknown origin, for log lines.

use std::fmt;

/// Longest excerpt, in characters.
const EXCERPT_MAX: usize = 160;

/// Displays the beginning of a text on one line; control characters and quotation marks are escaped.
#[derive(Clone, Copy, Debug)]
pub struct Excerpt<'a>(pub &'a str);

impl fmt::Display for Excerpt<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut chars = self.0.chars();
        for c in chars.by_ref().take(EXCERPT_MAX) {
            write!(f, "{}", c.escape_debug())?;
        }
        if chars.next().is_some() {
            f.write_str("...")?;
        }
        Ok(())
    }
}
