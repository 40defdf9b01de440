//! Tests that invalid files are reported by file, item and field, that stores are read from disk, and that the logs of
//! all machines are merged.

use std::path::PathBuf;

use damsonbeam_config_store::consensus::DurableWrite;
use damsonbeam_config_store::consensus::voters::VoterSet;
use damsonbeam_config_store::disk::Disk;
use damsonbeam_control::config::{ConfigChange, ProposalNumber};
use damsonbeam_ctl::{
    check_calls, check_settings, explain::explain, export_store, show_store, verify_store,
};

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("damsonbeam-ctl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        TempFolder(folder)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Returns the error text without the path of the temporary folder, which differs between runs.
fn error_text<T: std::fmt::Debug>(
    result: Result<T, damsonbeam_ctl::CtlError>,
    folder: &TempFolder,
) -> String {
    let error = result.expect_err("an error").to_string();
    error
        .replace(&format!("{}/", folder.0.display()), "")
        .replace(&folder.0.display().to_string(), "DIR")
}

const SERVICE: &str = r#"{"name":"s","health_path":"/health","max_connections":120,"cold_rate_s":20.0,"config_version":"r1"}"#;

fn route(name: &str, prefix: &str, extra_fields: &str) -> String {
    format!(
        r#"{{"name":"{name}","host_name":"a.example","path_prefix":"{prefix}","route_type":"mutating","timeout_ms":3000,"target_latency_ms":500,"target_service":"s","max_attempts":2,"config_version":"r1"{extra_fields}}}"#
    )
}

fn call(routes: &[String]) -> String {
    format!(
        r#"{{"upserts":{{"route_list":[{}],"service_list":[{SERVICE}]}}}}"#,
        routes.join(",")
    )
}

#[test]
fn check_calls_names_file_item_and_field_of_an_invalid_call() {
    let folder = TempFolder::new("calls");
    let valid = folder.file("one.json", &call(&[route("r-1", "/x/", "")]));
    assert_eq!(
        check_calls(std::slice::from_ref(&valid)),
        Ok("valid: 1 routes, 0 tenants, 1 services".into())
    );
    let invalid = [
        (
            "cut.json",
            call(&[route("r-2", "/y/", "")])[..90].to_string(),
        ),
        ("same-place.json", call(&[route("r-2", "/x/", "")])),
        (
            "no-service.json",
            call(&[route(
                "r-2",
                "/y/",
                r#","traffic_split":[{"target_service":"t","weight":1}]"#,
            )]),
        ),
        (
            "kind.json",
            call(&[route("r-2", "/y/", "").replace("mutating", "maybe")]),
        ),
        (
            "timeout.json",
            call(&[route("r-2", "/y/", "").replace("3000", "0")]),
        ),
        (
            "aim.json",
            call(&[route("r-2", "/y/", "").replace(":500", ":63000")]),
        ),
        (
            "version.json",
            call(&[route("r-2", "/y/", "").replace("\"r1\"", "7")]),
        ),
    ];
    let errors: Vec<String> = invalid
        .map(|(name, text)| {
            error_text(
                check_calls(&[valid.clone(), folder.file(name, &text)]),
                &folder,
            )
        })
        .into_iter()
        .collect();
    insta::assert_snapshot!(errors.join("\n"), @r"
    cut.json: not JSON: Syntax at character 0
    same-place.json: r-2: host_name and path_prefix are the same as those of `r-1`
    no-service.json: r-2: target_service: unknown service `t`
    kind.json: r-2: route_type: unknown kind `maybe`
    timeout.json: r-2: timeout_ms: is 0
    aim.json: r-2: target_latency_ms: is a minute or more above timeout_ms
    version.json: r-2: config_version: not `r` and a number
    ");
    // A file with 20,000 routes is accepted too.
    let many: Vec<String> = (0..20_000)
        .map(|number| route(&format!("m{number}"), &format!("/{number}/"), ""))
        .collect();
    assert!(check_calls(&[folder.file("many.json", &call(&many))]).is_ok());
}

#[test]
fn check_settings_names_the_invalid_field() {
    let folder = TempFolder::new("settings");
    let valid = r#"{"node_name":"edge-1","ip_address":"10.1.0.33","zone":"a","region":"x","zones":{"a":"x"},"serves":["edge"],"listen_addresses":{"front":"10.1.0.33:80"},"internal_port_range":[7740,7755],"seed_nodes":["10.1.0.35:8688"],"timing_bounds":["drain_ms=4000","revocation_global=false"],"cloud_api":{"address":"10.200.0.51:8682","rate_per_s":50.0}}"#;
    let path = folder.file("good.json", valid);
    let line = check_settings(&path)
        .expect("valid settings")
        .replace(&format!("{}/", folder.0.display()), "");
    assert_eq!(line, "good.json: edge-1 in a, 1 seeds");
    let invalid = [
        ("ports.json", valid.replace("[7740,7755]", "[7740]")),
        ("seed.json", valid.replace("10.1.0.35:8688", "core-1")),
        (
            "bound.json",
            valid.replace("drain_ms=4000", "drain_ms=soon"),
        ),
        ("rate.json", valid.replace("50.0", "0")),
        ("node.json", valid.replace("node_name", "name")),
        ("cut.json", valid[..200].to_string()),
    ];
    let errors: Vec<String> = invalid
        .map(|(name, text)| error_text(check_settings(&folder.file(name, &text)), &folder))
        .into_iter()
        .collect();
    insta::assert_snapshot!(errors.join("\n"), @r"
    ports.json: internal_port_range: not a list of two ports
    seed.json: seed_nodes: not an address
    bound.json: timing_bounds: `drain_ms`: not a number
    rate.json: cloud_api.rate_per_s: must be above 0
    node.json: node_name: missing
    cut.json: not JSON: Syntax at character 0
    ");
}

#[test]
fn stopped_store_is_shown_verified_and_exported() {
    let folder = TempFolder::new("store");
    assert_eq!(
        error_text(show_store(&folder.0), &folder),
        "DIR: no store found (items.redb)"
    );
    let mut items = ConfigChange::from_json(call(&[route("r-1", "/x/", "")]).into_bytes())
        .expect("reads")
        .items;
    items.iter_mut().for_each(|item| {
        item.proposal_number = ProposalNumber {
            round: 3,
            proposer: 7,
        }
    });
    let store = Disk::open(&folder.0).expect("opens");
    store
        .persist(&[
            DurableWrite::Accepted(items.clone()),
            DurableWrite::Committed(items),
        ])
        .expect("kept");
    drop(store);
    assert!(error_text(verify_store(&folder.0), &folder).contains("has no vote yet"));
    let voters =
        vec![VoterSet::initial(&[[10, 0, 0, 1], [10, 0, 0, 2]]).to_item(ProposalNumber::default())];
    let writes = [
        DurableWrite::Accepted(voters.clone()),
        DurableWrite::Committed(voters),
        DurableWrite::DiskId(0),
    ];
    Disk::open(&folder.0)
        .expect("opens")
        .persist(&writes)
        .expect("kept");
    assert_eq!(
        verify_store(&folder.0),
        Ok("sound: 3 items, 0 not known to be decided".into())
    );
    insta::assert_snapshot!(show_store(&folder.0).expect("shown"), @r"
    has a vote, promised ballot 0.0
    voters of epoch 1: 10.0.0.1, 10.0.0.2
    0 stores known
    backend list of term 0, reading 0: 0 backends
    Route r-1 r1, ballot 3.7
    Service s r1, ballot 3.7
    Voters voters r1, ballot 0.0
    ");
    let exported = folder.file("exported.json", &export_store(&folder.0).expect("exported"));
    assert_eq!(
        check_calls(&[exported]),
        Ok("valid: 1 routes, 0 tenants, 1 services".into())
    );
}

#[test]
fn explain_merges_log_lines_of_all_machines_by_time() {
    let folder = TempFolder::new("logs");
    folder.file(
        "core-a-1.log",
        "2026-12-02T01:00:02Z INFO damsonbeam_registry: main.rs:10 members: 10.0.0.2 is Suspect.\n\
         2026-12-02T01:00:03Z INFO damsonbeam_registry: main.rs:10 members: 10.0.0.21 is Suspect.\nno line of ours\n",
    );
    folder.file(
        "core-b-1.log",
        "2026-12-02T01:00:01Z INFO damsonbeam_config_store: main.rs:10 store: 10.0.0.2 lost.\n",
    );
    let lines = explain("10.0.0.2", &folder.0).expect("read");
    let lines: Vec<String> = lines
        .into_iter()
        .map(|line| format!("{} {}", line.machine, line.text))
        .collect();
    assert_eq!(
        lines,
        [
            "core-b-1 store: 10.0.0.2 lost.",
            "core-a-1 members: 10.0.0.2 is Suspect."
        ]
    );
}
