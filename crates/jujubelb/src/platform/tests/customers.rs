//! Customers of the operator's configuration.

use super::super::{KeyDigest, OperatorConfig, decode_config, decode_key};
use crate::model::{Bytes, Resources};

const ROUTES: &str = r#""routes":[{"host":"h","prefix":"/a/","service":"s"},
    {"host":"h","prefix":"/p/","service":"s","public":true}]"#;

fn decode(customers: &str) -> OperatorConfig {
    let text = format!(r#"{{"version":1,{ROUTES}{customers}}}"#);
    decode_config(text.as_bytes()).unwrap()
}

fn needs_key(operator: &OperatorConfig) -> Vec<bool> {
    operator.queues.iter().map(|q| q.needs_key).collect()
}

fn owner<'a>(operator: &'a OperatorConfig, key: &str) -> Option<&'a str> {
    let keys = operator.keys.as_ref().unwrap();
    keys.owner(&KeyDigest::of(key)).map(|name| name.as_str())
}

fn is_complete(operator: &OperatorConfig) -> bool {
    operator.keys.as_ref().unwrap().is_complete()
}

/// Guards against limits in wrong units, a weight of zero that starves a customer, and keys of
/// which only the first works.
#[test]
fn customers_are_decoded_with_their_keys() {
    let operator = decode(
        r#","tenants":[{"name":"one","api_keys":["k1","k2","k1"],"priority":1,"weight":11,
            "max_count":{"cpu":2000,"mem_mb":512,"gpu":0},"allowed_regions":[]},
            {"name":"two","api_keys":["k3"],"weight":0},{"name":"three"}]"#,
    );
    let policy: Vec<_> = operator
        .customers
        .iter()
        .map(|(name, t)| (name.as_str(), t.weight, t.limit))
        .collect();
    let limit = Resources::new(2_000, Bytes::from_mib(512).0, 0);
    let none = Resources::default();
    assert_eq!(
        policy,
        [("one", 11, limit), ("two", 1, none), ("three", 1, none)]
    );
    let owners = ["k1", "k2", "k3", "k4", ""].map(|key| owner(&operator, key));
    assert_eq!(owners, [Some("one"), Some("one"), Some("two"), None, None]);
    assert!(is_complete(&operator));
    assert_eq!(needs_key(&operator), [true, false]);
}

/// Guards against keys that are asked for in a deployment without customers, and against queues
/// that are open to all because the list of customers is empty or can't be read.
#[test]
fn only_a_configuration_without_the_list_asks_for_no_keys() {
    let operator = decode("");
    assert_eq!(
        (operator.keys.as_ref(), needs_key(&operator)),
        (None, vec![false, false])
    );
    for (list, complete) in [("[]", true), ("null", false), ("{}", false), ("7", false)] {
        let operator = decode(&format!(r#","tenants":{list}"#));
        assert_eq!(needs_key(&operator), [true, false], "{list}");
        assert_eq!(is_complete(&operator), complete, "{list}");
    }
}

/// Guards against a configuration that is lost because of one customer, and against a 401 for the
/// keys of that customer.
#[test]
fn a_malformed_customer_affects_no_other() {
    let good = r#"{"name":"good","api_keys":["k1"],"weight":2}"#;
    for bad in [
        r#"{"name":"bad","api_keys":["k2"],"weight":-1}"#,
        r#"{"name":"bad","api_keys":["k2"],"weight":"k2"}"#,
        r#"{"name":"bad","api_keys":["k2"],"max_count":{"cpu":-5}}"#,
        r#"{"name":"bad","api_keys":["k2"],"max_count":[]}"#,
        r#"{"name":"bad","api_keys":["k2"],"max_count":null}"#,
        r#"{"name":"bad","api_keys":"k2"}"#,
        r#"{"name":"bad","api_keys":["k2",7]}"#,
        r#"{"name":7,"api_keys":["k2"]}"#,
        r#"{"name":"","api_keys":["k2"]}"#,
        r#"{"api_keys":["k2"]}"#,
        "7",
    ] {
        let operator = decode(&format!(r#","tenants":[{bad},{good}]"#));
        assert_eq!(owner(&operator, "k1"), Some("good"), "{bad}");
        assert_eq!(owner(&operator, "k2"), None, "{bad}");
        assert!(!is_complete(&operator), "{bad}");
        assert_eq!(
            (operator.customers.len(), operator.unreadable),
            (1, 0),
            "{bad}"
        );
        assert_eq!(operator.queues.len(), 2, "{bad}");
    }
}

/// Guards against a customer that takes over the jobs of another by listing its key.
#[test]
fn a_key_stays_with_the_first_of_two_customers() {
    let operator = decode(
        r#","tenants":[{"name":"one","api_keys":["k1"],"weight":2},{"name":"two","api_keys":["k1","k2"]},
            {"name":"one","api_keys":["k3"],"weight":9}]"#,
    );
    let owners = ["k1", "k2", "k3"].map(|key| owner(&operator, key));
    assert_eq!(owners, [Some("one"), Some("two"), Some("one")]);
    assert_eq!(operator.customers["one"].weight, 2);
}

/// Guards against a key of another scheme that is taken for one of ours, and against a caller that
/// is refused for the case of the scheme, which has no meaning.
#[test]
fn only_keys_of_the_scheme_are_read() {
    let key = Some(KeyDigest::of("k1"));
    for header in ["Token k1", "token  k1 ", " TOKEN k1"] {
        assert_eq!(decode_key(Some(header)), key, "{header}");
    }
    for header in ["", "k1", "Token", "Token ", "Bearer k1", "Tokenk1"] {
        assert_eq!(decode_key(Some(header)), None, "{header}");
    }
    assert_ne!(decode_key(Some("Token K1")), key);
    assert_eq!(decode_key(None), None);
}
