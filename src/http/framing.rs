//! Whether the head of a response is one of a final response, and where its body ends.

use hyper::{
    header::{HeaderMap, TRANSFER_ENCODING},
    StatusCode,
};

/// Returns whether a status is one that HTTP defines for final responses, 200 to 599. The parser takes all numbers from
/// 100 to 999; what comes with another one is no response.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response has a transfer coding other than `chunked`. Its body ends with the connection then, even
/// if the head names a length, so that nothing tells whether it is complete.
pub(crate) fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return false;
    };
    let chunked = coding
        .as_bytes()
        .trim_ascii()
        .eq_ignore_ascii_case(b"chunked");
    !chunked || codings.next().is_some()
}
