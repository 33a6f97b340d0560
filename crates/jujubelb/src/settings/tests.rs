use super::*;

const VALID_SETTINGS: &str = "host: host-1
domain: home-a
callers: 10.0.0.1:8080
operators: 10.0.0.1:8081
peers: 10.0.0.1:7001
store: 10.0.0.2:2379
host-list: 10.0.0.2:2380
seeds:
  host-2/entry: 10.0.0.3:7001
keys: [/etc/jujubelb/key]
tokens: [/etc/jujubelb/token]
";

fn parse_error(from: &str, to: &str) -> String {
    assert!(VALID_SETTINGS.contains(from), "{from}");
    let settings = VALID_SETTINGS.replace(from, to);
    Settings::parse(&settings, Role::Entry)
        .unwrap_err()
        .to_string()
}

/// Guards against settings whose values or defaults differ from the file.
#[test]
fn valid_settings_are_read_with_defaults() {
    let settings = Settings::parse(VALID_SETTINGS, Role::Entry).unwrap();
    assert_eq!(settings.node(Role::Entry).as_str(), "host-1/entry");
    assert_eq!(settings.stop, Span::from_secs(60).to_std());
    assert_eq!(settings.notice, Span::from_secs(2).to_std());
    assert_eq!(settings.seeds.len(), 1);
    let scheduler = VALID_SETTINGS.replace("callers: 10.0.0.1:8080\n", "stop: 10s\n");
    assert!(Settings::parse(&scheduler, Role::Scheduler).is_ok());
}

/// Guards against invalid settings that are detected only at run time, and against
/// messages that do not name the field.
#[test]
fn errors_name_the_field() {
    for (from, to, wanted) in [
        ("host: host-1\n", "", "host"),
        ("host: host-1", "host: 'host 1'", "`host`"),
        ("domain: home-a", "domain: ''", "`domain`"),
        ("domain: home-a", "domaim: home-a", "domaim"),
        ("callers: 10.0.0.1:8080\n", "", "`callers`"),
        (
            "callers: 10.0.0.1:8080",
            "callers: 10.0.0.1:8081",
            "`operators`",
        ),
        (
            "callers: 10.0.0.1:8080",
            "callers: '[::1]:8080'",
            "`callers`",
        ),
        (
            "operators: 10.0.0.1:8081",
            "operators: 10.0.0.1",
            "operators",
        ),
        ("peers: 10.0.0.1:7001", "peers: 0.0.0.0:7001", "`peers`"),
        ("store: 10.0.0.2:2379", "store: 10.0.0.2:0", "`store`"),
        ("keys: [/etc/jujubelb/key]", "keys: []", "`keys`"),
        (
            "tokens: [/etc/jujubelb/token]",
            "tokens: [a, b, c]",
            "`tokens`",
        ),
        ("tokens:", "notice: 2min\ntokens:", "`notice`"),
    ] {
        let text = parse_error(from, to);
        assert!(text.contains(wanted), "{to}: {text}");
    }
    let text = Settings::parse(VALID_SETTINGS, Role::Scheduler)
        .unwrap_err()
        .to_string();
    assert!(text.contains("`callers`"), "{text}");
}

/// Guards against a page that lacks a setting.
#[test]
fn the_page_lists_all_settings() {
    let page = include_str!("../../../../docs/settings.md");
    let settings = Settings::parse(VALID_SETTINGS, Role::Entry).unwrap();
    let value = serde_json::to_value(&settings).unwrap();
    for name in value.as_object().unwrap().keys() {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}
