use operator_config::prelude::*;

pub fn good() -> Value {
    serde_json::json!({
        "configVersion": 7,
        "routeTable": [
            {"name": "a", "hostName": "h.example", "pathPrefix": "/x/", "routeKind": "streaming",
             "timeoutMs": 6000, "targetLatencyMs": 200, "priorityLevel": 1, "maxAttempts": 2,
             "weightedSplit": [{"serviceName": "s", "weight": 90}, {"serviceName": "t", "weight": 10}],
             "retained": true, "retentionS": 60.0, "targetGapMs": 400},
            {"name": "b", "hostName": "h.example", "pathPrefix": "/x/y/", "routeKind": "idempotent",
             "timeoutMs": 1500, "serviceName": "t"}],
        "serviceTable": [
            {"name": "s", "healthPath": "/health", "connectionLimit": 480, "protocol": "h1",
             "engine": {"slotCount": 96, "cacheTokens": 1000, "eventStride": 2, "models": [{"name": "m"}]}},
            {"name": "t", "healthPath": "/health", "connectionLimit": 96}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "idleTimeoutMs": 15000}
    })
}

fn faults_with(change: impl FnOnce(&mut Value)) -> Vec<String> {
    let mut v = good();
    change(&mut v);
    match check_config(v.to_string().as_bytes()) {
        Ok(_) => Vec::new(),
        Err(f) => f.iter().map(|f| f.to_string()).collect(),
    }
}

#[test]
fn a_good_one_is_taken_and_the_longest_prefix_wins() {
    let cfg = check_config(good().to_string().as_bytes()).unwrap();
    assert_eq!(cfg.version, 7);
    let t = RouteTable::new(&cfg);
    assert_eq!(t.find("h.example", "/x/y/z").unwrap().name, "b");
    assert_eq!(t.find("H.example:80", "/x/q").unwrap().name, "a");
    assert!(t.find("h.example", "/z").is_none());
    assert!(t.find("g.example", "/x/").is_none());
    let w = t.find("h.example", "/x/q").unwrap();
    assert_eq!((w.choose_service(0.0), w.choose_service(0.95)), ("s", "t"));
}

#[test]
fn every_invalid_form_is_reported_with_its_place() {
    assert!(check_config(b"{\"configVersion\": 7, \"routeTable\"").is_err());
    assert!(check_config(b"[]").is_err());
    let cases: Vec<(Vec<String>, &str)> = vec![
        (faults_with(|v| v["routeTable"][1]["serviceName"] = "u".into()), "unknown service 'u'"),
        (faults_with(|v| v["routeTable"][1]["pathPrefix"] = "/x/".into()), "host and prefix"),
        (
            faults_with(|v| {
                v["routeTable"][0]["weightedSplit"][0]["weight"] = 0.into();
                v["routeTable"][0]["weightedSplit"][1]["weight"] = 0.into();
            }),
            "sum to 0",
        ),
        (faults_with(|v| v["routeTable"][0]["timeoutMs"] = 0.into()), "timeoutMs"),
        (faults_with(|v| v["configVersion"] = 0.into()), "configVersion"),
        (faults_with(|v| v["serviceTable"] = 3.into()), "serviceTable: is not a list"),
        (faults_with(|v| v["routeTable"][0]["routeKind"] = "odd".into()), "routeKind"),
    ];
    for (faults, want) in cases {
        assert!(faults.iter().any(|f| f.contains(want)), "{faults:?} / {want}");
    }
    let two = faults_with(|v| {
        v["routeTable"][0]["timeoutMs"] = 0.into();
        v["routeTable"][1]["timeoutMs"] = 0.into();
    });
    assert_eq!(two.len(), 2);
}
