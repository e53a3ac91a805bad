//! Tests of the request digest.

use berylhook_core::digest::{RequestContent, RequestDigest};

fn content() -> RequestContent<'static> {
    RequestContent {
        method: "POST",
        path: "/drafts/7?tone=plain",
        account: Some("harbour"),
        body: b"{\"bag\": 12}",
    }
}

#[test]
fn the_same_content_has_the_same_digest() {
    assert_eq!(RequestDigest::of(&content()), RequestDigest::of(&content()));
}

#[test]
fn each_field_of_the_content_changes_the_digest() {
    let others = [
        RequestContent {
            method: "PUT",
            ..content()
        },
        RequestContent {
            path: "/drafts/7",
            ..content()
        },
        RequestContent {
            account: Some("pier"),
            ..content()
        },
        RequestContent {
            account: None,
            ..content()
        },
        RequestContent {
            body: b"{\"bag\": 13}",
            ..content()
        },
    ];

    for other in others {
        assert_ne!(
            RequestDigest::of(&other),
            RequestDigest::of(&content()),
            "{other:?}"
        );
    }
}

// Guards against colliding digests, by which harmless requests would be quarantined: if
// the fields were hashed without their lengths, moving the end of the path to the
// beginning of the body would give the same bytes.
#[test]
fn fields_cannot_be_shifted_into_each_other() {
    let long_path = RequestContent {
        path: "/ab",
        body: b"c",
        ..content()
    };
    let long_body = RequestContent {
        path: "/a",
        body: b"bc",
        ..content()
    };
    let no_account = RequestContent {
        account: None,
        ..content()
    };
    let empty_account = RequestContent {
        account: Some(""),
        ..content()
    };

    assert_ne!(RequestDigest::of(&long_path), RequestDigest::of(&long_body));
    assert_ne!(
        RequestDigest::of(&no_account),
        RequestDigest::of(&empty_account)
    );
}

#[test]
fn a_digest_round_trips_through_its_text() {
    let digest = RequestDigest::of(&content());

    assert_eq!(digest.to_string().parse(), Ok(digest));
}

#[test]
fn an_invalid_text_is_rejected_with_the_expected_format() {
    let error = "beef"
        .parse::<RequestDigest>()
        .expect_err("the text is too short for a digest");

    assert!(
        error.to_string().contains("64 hexadecimal digits"),
        "{error}"
    );
}
