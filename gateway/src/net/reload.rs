//! SIGHUP: what of the configuration can change while the gateway runs.

use std::time::Instant;

use tracing::{error, info, warn};
use yewroute_lifecycle::Means;

use super::handover::Handover;
use super::startup::protocol_settings;
use super::Gateway;
use crate::config::Config;

impl Gateway {
    /// Reads the configuration again and takes what can change under way: where discovery is, and the limits.
    /// The list held and all that is out go on. Guards against: a faulty file, which changes nothing.
    pub(super) fn reload(&mut self, now: Instant) {
        let config = match Config::read_again(self.edge_file.clone()) {
            Ok(config) => config,
            Err(error) => {
                error!(%error, "SIGHUP: the configuration in force stays");
                return;
            }
        };
        info!(discovery = %config.discovery, "SIGHUP: configuration read again");
        self.limits = Means { sockets: config.sockets, kib: config.memory_kib };
        if !self.handover.as_ref().is_some_and(Handover::has_predecessor) {
            self.use_means(self.limits);
        }
        self.share(now);
        let (client_protocol, host_protocol) = protocol_settings(&config.edge);
        self.clients.set_protocol(client_protocol);
        self.hosts.set_protocol(host_protocol);
        if (&config.name, config.listen, &config.deployment)
            != (&self.name, self.listen, self.core.deployment())
        {
            warn!("SIGHUP: a new name, listen or settings count from the next start");
        }
        let fleet = config.edge.fleet.as_ref();
        let same = self.fleet.as_ref().map_or(fleet.is_none(), |link| link.is_settled_by(fleet));
        let federation = config.edge.federation.as_ref();
        let first = config.edge.first.to_string();
        let same = same
            && self.federation.as_ref().map_or(federation.is_none(), |link| {
                link.is_settled_by(federation, &first, config.edge.verdicts, config.edge.zones.as_ref())
            });
        if !same {
            warn!("SIGHUP: what the operator's file says of the fleet and of its first table counts from the next start");
        }
        let (discovery, mut context) = self.discovery(now);
        discovery.move_to(config.discovery, &mut context);
    }
}
