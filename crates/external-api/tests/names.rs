use external_api::names::*;

fn load(name: &str) -> serde_json::Value {
    let p = format!("{}/../../openapi/{name}.json", env!("CARGO_MANIFEST_DIR"));
    serde_json::from_str(&std::fs::read_to_string(p).unwrap()).unwrap()
}

#[test]
fn names_stand_in_the_openapi_files() {
    let engine = load("engine").to_string().to_ascii_lowercase();
    for h in [
        REQUEST_ID,
        DEADLINE,
        PREFIX,
        STAMP,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        LOAD,
        NOT_RUN,
        INSTANCE_ID,
        MODEL,
        TOKENS,
        URGENCY,
        WEIGHT_VERSIONS,
        PROGRAM,
        SESSION,
        FINISH,
        BUDGET,
        PREVIOUS,
    ] {
        assert!(engine.contains(&format!("\"{h}\"")), "{h}");
    }
    let op = load("operator");
    for p in [CONFIG_PATH, "/retire/{node}", READINESS_PATH] {
        assert!(op["paths"].get(p).is_some(), "{p}");
    }
    assert!(load("platform")["paths"].get(INSTANCES_PATH).is_some());
    assert!(load("engine")["paths"].get(REPORT_PATH).is_some());
}
