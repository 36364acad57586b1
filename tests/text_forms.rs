//! Text forms of units and identifiers.

use assert_matches::assert_matches;
use proptest::prelude::*;
use sesamewing::{
    base::{Digest, Millis, Percent, ProcessName, Rate, RequestId, RequestRate, Size},
    kernel::NodePath,
};

#[test]
fn units_are_case_sensitive_and_whole() {
    assert_eq!("20Mbit/s".parse(), Ok(Rate(2_500_000)));
    assert_eq!("64KiB".parse(), Ok(Size(65_536)));
    assert_eq!("5min".parse(), Ok(Millis(300_000)));
    assert_matches!("20mbit/s".parse::<Rate>(), Err(_));
    assert_matches!("1.5s".parse::<Millis>(), Err(_));
    assert_matches!("101%".parse::<Percent>(), Err(_));
    assert_matches!("18446744073709551615d".parse::<Millis>(), Err(_));
}

#[test]
fn names_are_bounded() {
    assert_matches!("east-1".parse::<ProcessName>(), Ok(_));
    assert_matches!("".parse::<ProcessName>(), Err(_));
    assert_matches!("a/b".parse::<ProcessName>(), Err(_));
    assert_matches!("x".repeat(65).parse::<ProcessName>(), Err(_));
}

#[test]
fn node_paths_round_trip() {
    for text in ["/", "/east", "/east/drafts", "/east/drafts/ws-1"] {
        assert_eq!(
            text.parse::<NodePath>().map(|p| p.to_string()),
            Ok(text.to_owned())
        );
    }
    assert_matches!("east".parse::<NodePath>(), Err(_));
    assert_matches!("/a/b/c/d".parse::<NodePath>(), Err(_));
}

#[test]
fn request_ids_carry_their_time() {
    let id: RequestId = "018bcfe5-6800-7000-8000-000000000000"
        .parse()
        .expect("a UUID");
    assert_eq!(id.created_ms(), Some(0x018b_cfe5_6800));
    let random: RequestId = "9b2f4f0e-1c8e-4b7a-9a51-0a3f8f1d2c3b"
        .parse()
        .expect("a UUID");
    assert_eq!(random.created_ms(), None);
}

proptest! {
    #[test]
    fn text_forms_round_trip(n: u64, percent in 0u8..=100, hash: [u8; 32]) {
        prop_assert_eq!(Millis(n).to_string().parse(), Ok(Millis(n)));
        prop_assert_eq!(Size(n).to_string().parse(), Ok(Size(n)));
        prop_assert_eq!(Rate(n / 8).to_string().parse(), Ok(Rate(n / 8)));
        prop_assert_eq!(Percent(percent).to_string().parse(), Ok(Percent(percent)));
        prop_assert_eq!(Digest(hash).to_string().parse(), Ok(Digest(hash)));
    }

    #[test]
    fn parsers_refuse_arbitrary_text_without_panic(s in ".{0,40}") {
        let _ = s.parse::<Millis>();
        let _ = s.parse::<Size>();
        let _ = s.parse::<Rate>();
        let _ = s.parse::<NodePath>();
        let _ = s.parse::<ProcessName>();
    }
}

/// Guards against limits that are read too high, and against text that is taken for a limit.
#[test]
fn request_rates_are_decimal() {
    for (text, parts) in [
        ("2.4", 2400),
        (" 0.05", 50),
        ("12", 12_000),
        ("1.9999", 1999),
    ] {
        assert_eq!(text.parse(), Ok(RequestRate(parts)));
    }
    for text in ["", "-1", "NaN", "inf", "2/s", "1e12"] {
        assert_matches!(text.parse::<RequestRate>(), Err(_), "{text}");
    }
    assert_eq!(RequestRate(2300).to_string(), "2.3");
}
