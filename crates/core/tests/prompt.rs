//! Which parts of a prompt are shared with other requests.

use berylhook_core::prompt::{MAX_SHARED_PARTS, PromptPart, SharedParts};
use proptest::prelude::*;

fn shared(names: &[&str]) -> String {
    let parts = names.iter().map(|name| name.parse().ok());
    SharedParts::of_prompt(parts).to_string()
}

#[test]
fn all_parts_but_the_last_are_shared() {
    assert_eq!(
        shared(&["5c1e07a2", "91bd3f06", "e4402b7d"]),
        "5c1e07a2,91bd3f06"
    );
    assert_eq!(shared(&["5c1e07a2"]), "-");
    assert_eq!(shared(&[]), "-");
}

#[test]
fn a_part_that_is_named_twice_counts_once() {
    assert_eq!(shared(&["a1", "b2", "a1", "c3"]), "000000a1,000000b2");
    // The last occurrence is the request's own part, the first one is shared.
    assert_eq!(shared(&["a1", "b2", "a1"]), "000000a1,000000b2");
}

#[test]
fn names_that_cannot_be_read_are_left_out() {
    assert_eq!(
        shared(&["", "b2", "no hex", "c3", "d4"]),
        "000000b2,000000c3"
    );
    // The last entry is the request's own part even if its name cannot be read.
    assert_eq!(shared(&["a1", "?"]), "000000a1");
}

#[test]
fn names_are_compared_as_numbers_and_long_ones_by_their_hash() {
    let part = |name: &str| name.parse::<PromptPart>().expect("a hexadecimal name");

    assert_eq!(part("00A1"), part("a1"));
    assert_eq!(part(&"Ab".repeat(40)), part(&"aB".repeat(40)));
    assert_ne!(part(&"ab".repeat(40)), part(&"ab".repeat(41)));
}

#[test]
fn the_number_of_parts_of_a_request_is_bounded() {
    let parts = SharedParts::of_prompt((0..10_000).map(|number| Some(PromptPart(number))));

    assert_eq!(parts.as_slice().len(), MAX_SHARED_PARTS);
}

proptest! {
    #[test]
    fn no_text_is_refused_with_a_panic(name in ".{0,200}") {
        let part = name.parse::<PromptPart>();
        let is_name = !name.is_empty() && name.chars().all(|char| char.is_ascii_hexdigit());
        prop_assert_eq!(part.is_ok(), is_name);
    }
}
