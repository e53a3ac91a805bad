//! Values that no target writes under its key.

use serde_json::{Value, json};

/// Nearly the largest value that the store takes. Four of them are more than a reader takes in one
/// response.
const LARGE_BYTES: usize = 900_000;

/// Size of a value that is many times that of an entry.
const LONG_BYTES: usize = 60_000;

/// A value of the store, and what is odd about it.
#[derive(Clone, Debug)]
pub struct OddEntry {
    /// What is odd; usable as a part of a key.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

fn odd(name: &str, value: impl Into<Vec<u8>>) -> OddEntry {
    OddEntry {
        name: name.to_owned(),
        value: value.into(),
    }
}

fn entry() -> Value {
    json!({
        "service": "push", "address": "127.0.0.1:9", "zone": "here", "version": "v1",
        "slots": 12, "phase": "ready", "cold-left-ms": 0, "seq": 1,
    })
}

/// A target's entry whose field `name` has this JSON text as its value.
fn with_field(name: &str, json_text: &str) -> String {
    let mut document = entry();
    document[name] = json!("PLACE");
    document.to_string().replace("\"PLACE\"", json_text)
}

fn with_text(name: &str, text: &str) -> String {
    with_field(name, &json!(text).to_string())
}

/// Values that do not describe a target.
#[must_use]
pub fn odd_entries() -> Vec<OddEntry> {
    let many_digits = "9".repeat(400);
    let large_text = "a".repeat(LARGE_BYTES);
    let long_text = "a".repeat(LONG_BYTES);
    let deep_array = "[".repeat(200_000);
    let deep_object = r#"{"a":"#.repeat(100_000);
    let mut entries = vec![
        odd("deep-array", deep_array.clone()),
        odd("deep-object", deep_object.clone()),
        odd(
            "deep-field",
            with_field("more", &format!("{deep_array}{}", "]".repeat(200_000))),
        ),
        odd("empty", ""),
        odd("null", "null"),
        odd("number", "1"),
        odd("not-utf8", vec![0xff, 0xfe, 0x00, 0x80]),
        odd("large-text", large_text.clone()),
        odd("large-string", json!(large_text).to_string()),
        odd("large-address", with_text("address", &large_text)),
        odd("large-zone", with_text("zone", &large_text)),
        odd("long-address", with_text("address", &long_text)),
        odd("long-phase", with_text("phase", &long_text)),
        odd("long-slots", with_text("slots", &long_text)),
        odd("long-service", with_text("service", &long_text)),
        odd("long-zone", with_text("zone", &long_text)),
        odd(
            "long-field-name",
            format!("{{\"{long_text}\":1,\"{long_text}\":2}}"),
        ),
        odd("port-out-of-range", with_text("address", "127.0.0.1:99999")),
        odd(
            "port-of-5000-digits",
            with_text("address", &format!("127.0.0.1:{}", "8".repeat(5_000))),
        ),
    ];
    for field in ["slots", "seq", "cold-left-ms", "born"] {
        let numbers = [
            ("400-digits", &*many_digits),
            ("1e400", "1e400"),
            ("two-to-the-65th", "36893488147419103232"),
            ("list", "[1]"),
        ];
        for (name, number) in numbers {
            // A cold period is a decimal number, which a large integer can be rounded to.
            if !(field == "cold-left-ms" && name == "two-to-the-65th") {
                entries.push(odd(&format!("{field}-{name}"), with_field(field, number)));
            }
        }
    }
    for field in ["service", "address", "zone", "version", "phase"] {
        for (name, value) in [("null", "null"), ("number", "1"), ("object", "{}")] {
            entries.push(odd(&format!("{field}-{name}"), with_field(field, value)));
        }
    }
    entries
}
