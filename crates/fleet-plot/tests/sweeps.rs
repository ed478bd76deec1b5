//! Tables of sweeps, as the bench leaves them in the journal.
use fleet_plot::{draw_growth, read_sweep, ChartError, SweepError};
use std::path::PathBuf;

const DIGEST: &str = "\
seen: nothing
day                  own/srv  score
sweep-30              34/299   0.90

middle / busiest or longest, by own machines
                                                          30             100             300  power  at null
control-cell: kB a second                         54.5 / 139       190 / 307     1163 / 1502   1.03  -
turn-store: memory MB                            13.3 / 14.2       8.1 / 8.5       4.5 / 5.1  -0.44  -
config acked, ms                                   140 / 150       131 / 173       530 / 756   0.69  -
";

struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn file(name: &str, text: &str) -> File {
    let path = std::env::temp_dir().join(format!("fleet-plot-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    File(path)
}

fn entry(name: &str, digest: &str) -> File {
    let value = serde_json::json!({ "id": "d9c7f02c", "digest": digest, "cmd": "sweep" });
    file(name, &value.to_string())
}

#[test]
fn a_table_is_read_by_role_with_the_busiest_machine() {
    let entry = entry("read.json", DIGEST);
    let sweep = read_sweep(&entry.0).unwrap();
    assert_eq!((sweep.id.as_str(), &sweep.machines[..]), ("d9c7f02c", &[30.0, 100.0, 300.0][..]));
    let rows: Vec<(&str, &str, &[f64])> =
        sweep.measures.iter().map(|m| (&*m.role, &*m.what, &m.busiest[..])).collect();
    let wanted: [(&str, &str, &[f64]); 2] = [
        ("control-cell", "kB a second", &[139.0, 307.0, 1502.0]),
        ("turn-store", "memory MB", &[14.2, 8.5, 5.1]),
    ];
    assert_eq!(rows, wanted);
}

#[test]
fn what_holds_no_table_is_an_error_that_names_the_file() {
    let none = entry("none.json", "seen: nothing");
    assert!(matches!(read_sweep(&none.0), Err(SweepError::NoTable { .. })));
    let broken = file("broken.json", "{");
    let e = read_sweep(&broken.0).unwrap_err();
    assert!(e.to_string().contains("broken.json"), "{e}");
    assert!(matches!(e, SweepError::NoEntry { .. }));
    let gone = PathBuf::from("/nowhere/entry.json");
    assert!(matches!(read_sweep(&gone), Err(SweepError::Unreadable { .. })));
}

#[test]
fn a_panel_is_drawn_for_each_shared_measure() {
    let sweep = read_sweep(&entry("draw.json", DIGEST).0).unwrap();
    let out = file("out.svg", "");
    draw_growth(&[sweep.clone(), sweep.clone()], &["kB", "memory"], &out.0).unwrap();
    let svg = std::fs::read_to_string(&out.0).unwrap();
    for caption in ["control-cell: kB a second", "turn-store: memory MB"] {
        assert!(svg.contains(caption), "{caption} is missing");
    }
    let nothing = draw_growth(&[sweep], &["syncs"], &out.0);
    assert!(matches!(nothing, Err(ChartError::NothingShared)));
}
