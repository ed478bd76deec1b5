//! The plot is a whole SVG whatever the looks were.
use trial_tool::prelude::*;

const FILE: &str =
    "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                    [guardrail]\nprotectedPriority = 0\n";

#[test]
fn looks_are_drawn_and_none_as_well() {
    let spec = check_spec(FILE).unwrap();
    let mut e = Evidence::default();
    let empty = draw_plot(&spec, &e).unwrap();
    assert!(empty.starts_with("<svg") && empty.trim_end().ends_with("</svg>"));
    assert!(empty.contains("t: candidate less control"), "{empty}");
    let point = |n: u64| Point {
        conversations: n * 100,
        diff: 0.02,
        low: -3.0 / n as f64,
        high: 3.0 / n as f64,
    };
    e.points = (1..100).map(point).collect();
    let full = draw_plot(&spec, &e).unwrap();
    assert!(full.matches("<polyline").count() > empty.matches("<polyline").count());
    assert!(!full.contains("NaN") && !full.contains("inf"));
}
