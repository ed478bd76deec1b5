//! The canonical text of a configuration, against serde_json's own tree.
use arbtest::arbitrary::{Result, Unstructured};
use control_cell::prelude::*;
use control_cell::state::canonical_json;

const KEYS: [&str; 6] = ["a", "b", "aa", "\u{e9}", "q\"", ""];

/// A value's text, with blanks, keys in any order and some of them twice.
fn text(u: &mut Unstructured, depth: u32, out: &mut String) -> Result<()> {
    let blank = ["", " ", "\n\t"];
    out.push_str(u.choose(&blank)?);
    match u.int_in_range(0..=if depth == 0 { 4 } else { 6 })? {
        0 => out.push_str(u.choose(&["null", "true", "false"])?),
        1 => out.push_str(&u.arbitrary::<i64>()?.to_string()),
        2 => out.push_str(&u.arbitrary::<u64>()?.to_string()),
        3 => out.push_str(u.choose(&["0.5", "-0.0", "1e3", "2.50", "1.0"])?),
        4 => out.push_str(&Value::from(*u.choose(&KEYS)?).to_string()),
        5 => {
            out.push('[');
            for i in 0..u.int_in_range(0..=3)? {
                out.push_str(if i > 0 { "," } else { "" });
                text(u, depth - 1, out)?;
            }
            out.push(']');
        }
        _ => {
            out.push('{');
            for i in 0..u.int_in_range(0..=5)? {
                out.push_str(if i > 0 { "," } else { "" });
                out.push_str(&Value::from(*u.choose(&KEYS)?).to_string());
                out.push(':');
                text(u, depth - 1, out)?;
            }
            out.push('}');
        }
    }
    out.push_str(u.choose(&blank)?);
    Ok(())
}

#[test]
fn texts_of_one_value_have_one_canonical_text() {
    arbtest::arbtest(|u| {
        let mut given = String::new();
        text(u, 4, &mut given)?;
        let value: Value = serde_json::from_str(&given).unwrap();
        let canonical = canonical_json(given.as_bytes()).unwrap();
        // It says the same, and it is that of the tree's own texts, short and pretty.
        assert_eq!(serde_json::from_slice::<Value>(&canonical).unwrap(), value);
        let pretty = serde_json::to_vec_pretty(&value).unwrap();
        assert_eq!(canonical_json(value.to_string().as_bytes()).as_ref(), Some(&canonical));
        assert_eq!(canonical_json(&pretty).as_ref(), Some(&canonical));
        Ok(())
    })
    .size_min(512)
    .budget_ms(2000);
}

#[test]
fn what_is_no_json_has_none() {
    for text in ["", "{", "[1,]", "{\"a\":1} 2", "nul", "{\"a\" 1}"] {
        assert_eq!(canonical_json(text.as_bytes()), None, "{text}");
    }
}
