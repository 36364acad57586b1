//! Splits JSON text into elements and members without decoding them, so that one that cannot be decoded leaves the
//! others. Nesting is not limited, and numbers may be of any size.

use std::fmt;

use serde::{
    de::{IgnoredAny, Visitor},
    Deserializer as _,
};
use serde_json::Deserializer;

use super::HashMap;

/// Returns the elements of an array; `None` if the text does not begin with an array.
pub fn elements(array: &[u8]) -> Option<Vec<&[u8]>> {
    let mut out = Vec::new();
    let mut scanner = Scanner(array);
    scanner.list(b'[', b']', |s| {
        out.push(s.value()?);
        Some(())
    })?;
    Some(out)
}

/// Members of an object that are not decoded, by name.
pub type Members<'a> = HashMap<Vec<u8>, &'a [u8]>;

/// Returns the members of an object by name; `None` if the text does not begin with an object, or a name occurs twice.
pub fn members(object: &[u8]) -> Option<Members<'_>> {
    let mut out = HashMap::default();
    let mut scanner = Scanner(object);
    scanner.list(b'{', b'}', |s| {
        let name = text(s.value()?)?;
        let value = s.accept(b':').then(|| s.value())??;
        out.insert(name, value).is_none().then_some(())
    })?;
    Some(out)
}

/// Returns the bytes of a string, which need not be UTF-8; `None` if the text is not a string.
pub fn text(string: &[u8]) -> Option<Vec<u8>> {
    struct TextVisitor;

    impl Visitor<'_> for TextVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("a string")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }
    }

    let mut decoder = Deserializer::from_slice(string);
    decoder.deserialize_bytes(TextVisitor).ok()
}

/// Text that is not scanned yet.
struct Scanner<'a>(&'a [u8]);

impl<'a> Scanner<'a> {
    /// Scans a list between brackets; `element` scans one element.
    fn list(
        &mut self,
        open: u8,
        close: u8,
        mut element: impl FnMut(&mut Self) -> Option<()>,
    ) -> Option<()> {
        if !self.accept(open) {
            return None;
        }
        if self.accept(close) {
            return Some(());
        }
        loop {
            element(self)?;
            if self.accept(close) {
                return Some(());
            }
            if !self.accept(b',') {
                return None;
            }
        }
    }

    /// Scans a character after white space; returns whether it came next.
    fn accept(&mut self, wanted: u8) -> bool {
        let text = self.0.trim_ascii_start();
        let rest = text.strip_prefix(&[wanted]);
        self.0 = rest.unwrap_or(text);
        rest.is_some()
    }

    /// Scans a value.
    fn value(&mut self) -> Option<&'a [u8]> {
        let text = self.0.trim_ascii_start();
        let mut values = Deserializer::from_slice(text).into_iter::<IgnoredAny>();
        values.next()?.ok()?;
        let (value, rest) = text.split_at(values.byte_offset());
        self.0 = rest;
        Some(value)
    }
}
