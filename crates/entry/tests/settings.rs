//! An entry's settings: what is optional, and what is refused.

use berylhook_entry::settings::EntrySettings;

fn settings(node: &str) -> String {
    format!(
        "[node]\nname = entry-1\ndata_centre = here\n{node}\n\
         [listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\npeers = 10.0.0.1:3\n\
         [store]\naddress = 10.0.0.9:1\n"
    )
}

#[test]
fn the_share_of_a_processor_is_the_whole_where_none_is_named() {
    let whole = EntrySettings::parse(&settings("")).expect("it is valid");
    let named = EntrySettings::parse(&settings("processor_share = 0.18")).expect("it is valid");

    assert!((whole.processor_share - 1.0).abs() < f64::EPSILON);
    assert!((named.processor_share - 0.18).abs() < f64::EPSILON);
}

#[test]
fn a_share_of_a_processor_that_is_none_is_refused() {
    for share in ["0", "-1", "NaN", "much"] {
        let text = settings(&format!("processor_share = {share}"));

        let error = EntrySettings::parse(&text).expect_err("it is no share");

        let message = error.to_string();
        assert!(message.contains("processor_share"), "{message}");
        assert!(message.contains("such as 0.25"), "{message}");
    }
}
