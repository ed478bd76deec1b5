//! The commands of a routing trial that need no system.
use std::process::Command;

fn run(args: &[&str], text: &str, name: &str) -> (i32, String) {
    let file = std::env::temp_dir().join(format!("spokebank-{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_spokebank")).args(args).arg(&file).output().unwrap();
    let _ = std::fs::remove_file(&file);
    (out.status.code().unwrap(), String::from_utf8(out.stdout).unwrap())
}

const FILE: &str =
    "id = \"t\"\nname = \"t\"\n[control]\nname = \"a\"\n[candidate]\nname = \"b\"\nstayMs = 1\n\
                    [guardrail]\nprotectedPriority = 0\n";

#[test]
fn check_tells_soundness_and_faults_by_its_exit_code() {
    let (code, said) = run(&["trial", "check"], FILE, "sound");
    assert_eq!(code, 0, "{said}");
    let (code, said) =
        run(&["trial", "check"], &FILE.replace("stayMs = 1", "stayMs = \"x\""), "bad");
    assert!(code == 1 && said.contains("candidate.stayMs: is not a number"), "{said}");
    let (code, said) = run(&["trial", "start"], &FILE.replace("id = \"t\"", ""), "no-settings");
    assert_eq!(code, 2, "no settings: {said}");
    let none = Command::new(env!("CARGO_BIN_EXE_spokebank"))
        .args(["trial", "check", "/nowhere/at/all"])
        .output()
        .unwrap();
    assert_eq!(none.status.code(), Some(2));
}
