//! Guards against demo declarations that the configuration checks reject after a change of the
//! checks or of the file format.

use jujubelb::config::declare::check;

use super::*;

#[test]
fn deployment_passes_all_checks() {
    let deployment = Deployment { net: 40 };
    let config = check(&deployment.files()).unwrap();
    assert_eq!(config.hosts.len(), 7);
    assert_eq!(config.workers.len(), 24);
    assert_eq!(config.shards.len(), 3);
}
