//! Error messages for invalid files. The exact text matters to operators: it names the line, the
//! setting and how to correct it.

use berylhook_operator::change::{StoredCatalogue, parse_desired};
use berylhook_operator::document::VersionKey;
use berylhook_operator::settings::{AgentSettings, EntrySettings};
use berylhook_operator::{Catalogue, IniFile};
use insta::assert_snapshot;
use proptest::prelude::*;

fn catalogue_error(text: &str) -> String {
    Catalogue::parse(text)
        .expect_err("the file is invalid")
        .to_string()
}

const ENTRY: &str = "[entry briefing-llm]\nowner = nilewake\n";

#[test]
fn unknown_setting_error_suggests_the_most_similar_name() {
    let text = format!("{ENTRY}clas = batch\n");

    assert_snapshot!(
        catalogue_error(&text),
        @"line 3: unknown setting `clas` in [entry briefing-llm]; did you mean `class`?"
    );
}

#[test]
fn invalid_value_error_says_what_to_write() {
    assert_snapshot!(
        catalogue_error(&format!("{ENTRY}class = urgent\n")),
        @"line 3: `class = urgent` in [entry briefing-llm]: write one of interactive, batch, critical"
    );
    assert_snapshot!(
        catalogue_error(&format!("{ENTRY}concurrency = many\n")),
        @"line 3: `concurrency = many` in [entry briefing-llm]: write a whole number; 0 means no limit"
    );
    assert_snapshot!(
        catalogue_error(&format!("{ENTRY}kind = plain\npath = /v1/x\n")),
        @"line 4: `path = /v1/x` in [entry briefing-llm]: write a path such as /guide-push, not `/`, not below /v1, without a slash at its end"
    );
}

#[test]
fn missing_setting_is_reported() {
    assert_snapshot!(
        catalogue_error("[entry x]\nclass = batch\n"),
        @"line 1: [entry x] lacks `owner`; add a line `owner = ...`"
    );
}

#[test]
fn duplicate_setting_is_reported() {
    assert_snapshot!(
        catalogue_error(&format!("{ENTRY}class = batch\nclass = critical\n")),
        @"line 4: `class` in [entry briefing-llm] is given twice; keep one of the two"
    );
}

#[test]
fn unknown_section_is_reported() {
    assert_snapshot!(
        catalogue_error("[entries x]\nowner = y\n"),
        @"line 1: unknown section [entries x]; `entries x` names no catalogue item; write `entry NAME`, `account NAME` or `group NAME`"
    );
}

#[test]
fn reference_to_unknown_entry_is_reported() {
    let account = format!(
        "{ENTRY}[account a]\nowner = x\nentries = drafter\nkey_sha256 = {}\n",
        "0".repeat(64)
    );

    let error = parse_desired(&account).expect_err("the entry drafter does not exist");

    assert_snapshot!(
        error.to_string(),
        @"account a names the entry `drafter`, which is not in the file; add it or correct the name"
    );
}

#[test]
fn invalid_key_error_does_not_reveal_the_key() {
    let text = "[entry]\nname = a\ndata_centre = b\nlisten = 127.0.0.1:1\n\
                digest_listen = 127.0.0.1:2\n[platform]\nkey_value = http://x\nvm_list = http://y\n\
                [trust]\nkey = hunter2\n";

    let error = EntrySettings::parse(text).expect_err("the key is too short");

    assert_snapshot!(
        error.to_string(),
        @"line 10: `key = ...` in [trust]: write 32 random bytes as 64 hex digits"
    );
}

#[test]
fn printed_catalogue_can_be_applied_again() {
    let text = format!("{ENTRY}class = batch\n");
    let desired = parse_desired(&text).expect("valid");
    let mut stored = StoredCatalogue::default();
    for (id, settings) in &desired {
        let document = serde_json::json!({
            "change_id": "c", "author": "a", "applied_unix_ms": 0, "settings": settings,
        });
        let key = VersionKey {
            id: id.clone(),
            version: 1,
        };
        stored.add(key, document.to_string().as_bytes());
    }

    let printed = stored.to_ini(7);

    assert_eq!(parse_desired(&printed).expect("valid"), desired);
    assert_eq!(stored.changes_to(&desired, false), Ok(Vec::new()));
}

proptest! {
    #[test]
    fn parsers_do_not_panic_on_arbitrary_text(text in "(\\[|\\]|=|#|;|\n|entry |account |group |[a-z_0-9é\"' :/]){0,80}") {
        let _ = IniFile::parse(&text);
        let _ = Catalogue::parse(&text);
        let _ = EntrySettings::parse(&text);
        let _ = AgentSettings::parse(&text);
        let _ = parse_desired(&text);
    }
}
