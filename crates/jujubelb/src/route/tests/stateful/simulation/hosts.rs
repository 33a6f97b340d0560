//! Hosts, changes of the configuration, heartbeats and time.

use super::*;

impl Simulation {
    pub(super) fn start(&mut self, host: usize) {
        if self.hosts[host].is_some() {
            return;
        }
        self.incarnations += 1;
        let mut router = Router::new(node(host), DOMAINS[0].0.into());
        if let Some(SimulationFault::Router(fault)) = self.fault {
            router.inject_fault(fault);
        }
        let mut holder = Holder::new(self.now, LIFETIME);
        if self.fault == Some(SimulationFault::NoAbstention) {
            holder.set_abstains_until(self.now);
        }
        self.hosts[host] = Some(EntryProcess {
            incarnation: self.incarnations,
            router,
            holder,
            sets: HostSets::new(LIFETIME),
            draining: false,
            declared: IndexSet::new(),
            listed: IndexSet::new(),
            announced: IndexSet::new(),
        });
        self.configure(host);
        self.warm_up(host);
    }

    /// Serves requests without failures, so that there are budgets for retries and hedges
    /// and a latency estimate.
    pub(super) fn warm_up(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        for _ in 0..100 {
            let Ok(ticket) = process.router.admit(self.now, request()) else {
                return;
            };
            let Step::Send(dispatch) = process.router.next_step(self.now, ticket, &mut self.rng)
            else {
                process.router.cancel_request(self.now, ticket);
                return;
            };
            let end = self.now + Span::from_millis(5);
            process.router.attempt_finished(end, dispatch.attempt, OK);
        }
    }

    pub(super) fn kill(&mut self, host: usize) {
        self.hosts[host] = None;
        for call in self.calls.iter_mut().filter(|c| c.host == host) {
            call.open = false;
        }
        for other in self.hosts.iter_mut().flatten() {
            other.router.peer_stopped(self.now, &node(host));
        }
        self.observe("host died");
    }

    pub(super) fn drain(&mut self, host: usize) {
        if let Some(process) = &mut self.hosts[host] {
            process.router.drain(self.now);
            process.draining = true;
        }
    }

    pub(super) fn configure(&mut self, host: usize) {
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        process.router.configure(self.now, &self.config);
        if self.fault == Some(SimulationFault::ForgetSets) {
            process.sets = HostSets::new(LIFETIME);
        }
        process
            .sets
            .configure(self.now, self.config.hosts.keys().cloned());
        let endpoints = &self.config.services["booking"].endpoints;
        let leaving = endpoints.iter().filter(|(_, e)| e.leaving);
        let declared = leaving.map(|(name, _)| name.clone()).collect();
        let before = std::mem::replace(&mut process.declared, declared);
        // A declaration that an endpoint is no longer leaving overrides its announcement.
        let back = |e: &EndpointName| before.contains(e) && !process.declared.contains(e);
        process.announced.retain(|e| !back(e));
    }

    /// Delivers a host list that lists the endpoints that are leaving now.
    pub(super) fn host_list(&mut self, host: usize) {
        let leaving = (0..4).filter(|e| self.endpoints[*e] == 2);
        let listed: IndexSet<_> = leaving.clone().map(address).collect();
        let names = leaving.map(|e| EndpointName::new(format!("e{e}")));
        let names: Vec<_> = names.collect();
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        process.router.update_host_list(self.now, listed);
        process.listed = names.into_iter().collect();
        // The router may consider an endpoint as leaving for longer than this; other
        // tests check when it returns.
        let listed = &process.listed;
        process.announced.retain(|e| listed.contains(e));
    }

    pub(super) fn config_changed(&mut self) {
        self.config.revision = Revision(self.config.revision.0 + 1);
        self.changed = self.now;
    }

    pub(super) fn change_entry_hosts(&mut self, mask: u8) {
        let all = config(HOSTS, SLOTS, &ENDPOINTS).hosts;
        let kept = all.into_iter().enumerate();
        let kept = kept
            .filter(|(i, _)| mask & (1 << i) != 0)
            .map(|(_, host)| host);
        self.config.hosts = kept.collect();
        if self.config.hosts.is_empty() {
            self.config.hosts = config(1, SLOTS, &ENDPOINTS).hosts;
        }
        self.config_changed();
    }

    pub(super) fn heartbeats(&mut self) {
        for from in 0..HOSTS {
            let Some(process) = &self.hosts[from] else {
                continue;
            };
            let loads = process.router.endpoint_loads(self.now);
            for to in self.hosts.iter_mut().flatten() {
                to.router.update_peer_load(self.now, &node(from), &loads);
            }
        }
    }

    /// Advances time in small steps. Configurations are applied within their delay, and
    /// attempts time out after their deadline.
    pub(super) fn advance(&mut self, by: Span) {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + Span::from_millis(500));
            if self.now.since(self.changed) >= CONFIG_DELAY {
                (0..HOSTS).for_each(|host| self.configure(host));
            }
            for position in 0..self.attempts.len() {
                if self.now >= self.attempts[position].deadline + Span::from_millis(500) {
                    self.report(position, AttemptOutcome::TimedOut);
                }
            }
        }
    }
}
