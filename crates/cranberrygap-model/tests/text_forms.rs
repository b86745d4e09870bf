//! What people write in settings comes back the same in dumps.

use cranberrygap_model::{duration, id, rate, size, token};
use proptest::{prop_assert_eq, proptest};

#[test]
fn size_is_written_with_the_largest_unit() {
    let size: size::Bytes = "24GiB".parse().unwrap();

    assert_eq!(size.0, 24 << 30);
    assert_eq!(size.to_string(), "24GiB");
}

#[test]
fn wrong_size_says_what_was_expected() {
    let outcome = "24 gigs".parse::<size::Bytes>();

    let error = outcome.unwrap_err();
    assert_eq!(
        error.to_string(),
        "\"24 gigs\" is not a size such as 24GiB, 512MiB or 0B"
    );
}

#[test]
fn name_with_a_space_is_refused() {
    "two words".parse::<id::Model>().unwrap_err();
    "".parse::<id::Model>().unwrap_err();
}

#[test]
fn negative_rate_is_refused() {
    "-1/s".parse::<token::Rate>().unwrap_err();
    "nan/s".parse::<token::Rate>().unwrap_err();
}

// An endpoint that names nonsense must not be sent nothing, or everything, for that.
#[test]
fn limit_is_a_number_above_zero() {
    let limit: rate::Limit = "1.3".parse().unwrap();

    assert_eq!(limit.to_string(), "1.3");
    assert_eq!(limit.interval(), duration::Span(769_230));
    for text in ["-1", "0", "1e300", "inf", "nan", "many", ""] {
        text.parse::<rate::Limit>().unwrap_err();
    }
}

proptest! {
    #[test]
    fn every_span_survives_its_text(micros in 0_u64..u64::MAX / 2) {
        let span = duration::Span(micros);

        let read: duration::Span = span.to_string().parse().unwrap();

        prop_assert_eq!(read, span);
    }

    #[test]
    fn every_size_survives_its_text(bytes in 0_u64..u64::MAX / 2) {
        let size = size::Bytes(bytes);

        let read: size::Bytes = size.to_string().parse().unwrap();

        prop_assert_eq!(read, size);
    }
}
