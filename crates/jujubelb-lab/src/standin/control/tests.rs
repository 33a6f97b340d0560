use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use indexmap::IndexMap;
use jujubelb::config::declare;
use jujubelb::store::Store;

use super::{Command, execute};
use crate::standin::platform::{Addresses, Platform, Reality};

fn free_address() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn platform() -> Arc<Platform> {
    let text = format!(
        "regions: [home]
domains: [{{ name: home-a, region: home }}]
racks:
  - name: rack-1
    domain: home-a
    shard: home-a-1
    workers: [{{ name: worker-1, address: '{}', cpu: 8, memory: 32 GiB }}]
",
        free_address()
    );
    let files = IndexMap::from([("all.yaml".to_owned(), text)]);
    let config = declare::check(&files).unwrap();
    let addresses = Addresses {
        store: free_address(),
        hosts: free_address(),
    };
    Arc::new(Platform::start(addresses, &config, &Reality::default()).unwrap())
}

fn send(platform: &Platform, text: &str) -> Result<String, String> {
    let command: Command = serde_json::from_str(text).map_err(|e| e.to_string())?;
    execute(platform, &command).map_err(|(_, text)| text)
}

/// Guards against commands that are accepted and have no effect.
#[test]
fn commands_take_effect() {
    let platform = platform();
    let worker = "worker-1".into();
    send(&platform, r#"{"cut-worker": "worker-1"}"#).unwrap();
    assert!(platform.network.is_cut(&worker));
    send(&platform, r#"{"connect-worker": "worker-1"}"#).unwrap();
    assert!(!platform.network.is_cut(&worker));
    send(&platform, r#"{"break-worker": "worker-1"}"#).unwrap();
    assert!(platform.worker(&worker).unwrap().facts().broken);
    send(&platform, r#"{"store": {"down": true}}"#).unwrap();
    assert!(platform.store.get("a").is_err());
    send(&platform, r#"{"store": {}}"#).unwrap();
    assert!(platform.store.get("a").is_ok());
}

/// Guards against a misspelt name or fault that changes nothing and looks like success.
#[test]
fn unknown_names_and_commands_are_refused() {
    let platform = platform();
    let error = send(&platform, r#"{"cut-worker": "worker-9"}"#).unwrap_err();
    assert_eq!(error, "no worker worker-9 is declared\n");
    assert!(send(&platform, r#"{"endpoint-leaves": "nowhere"}"#).is_err());
    assert!(send(&platform, r#"{"stop-worker": "worker-1"}"#).is_err());
    assert!(send(&platform, r#"{"store": {"dwon": true}}"#).is_err());
}
