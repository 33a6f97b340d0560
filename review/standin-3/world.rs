//! The platform's store and the runners, and the checks of what the runners have seen.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request};
use crate::json::{Json, base64, from_base64, n, obj, s};

pub const STOP_MS: u64 = 200;
pub const GANG_MS: u64 = 3_000;
pub const HOLD_MAX_MS: u64 = 6_000;
pub const HEARTBEAT_MS: u64 = 1_500;

#[derive(Clone)]
pub struct Item {
    pub value: Option<Vec<u8>>,
    pub rev: u64,
    pub created: u64,
    pub lease: u64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Store {
    Up,
    Busy,
    Silent,
    /// Writes are done, and a third of them is not answered.
    Lost,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Mode {
    Up,
    /// Crashed: resets connections.
    Dead,
    /// Crashed, and its machine is silent.
    Dark,
    /// Runs on, but neither answers nor writes.
    Cut,
}

#[derive(Clone, Default)]
pub struct Step {
    pub count: u64,
    pub cpu: u64,
    pub mem: u64,
    pub work_ms: u64,
    pub after: Vec<usize>,
    pub gang: bool,
    pub checkpoints: bool,
    pub lasting: bool,
    pub speculative: bool,
    pub max_per_server: u64,
    pub requirements: String,
    pub target_ms: u64,
    pub fills: bool,
    pub image: String,
    pub may_miss: u64,
}

#[derive(Clone, Default)]
pub struct Job {
    pub id: String,
    pub host: String,
    pub prefix: String,
    pub spec: String,
    pub steps: Vec<Step>,
    pub repeat: u64,
    pub first_ms: u64,
    pub interval_ms: u64,
    pub attempts: u64,
    pub tickets: bool,
    /// Share of the runs that end `failed`, in a thousand.
    pub fail_permille: u64,
    pub accepted: Option<Instant>,
    pub sent: bool,
    pub rejected_only: bool,
    pub cancel_sent: Option<Instant>,
    pub cancelled: Option<Instant>,
    pub last_state: String,
}

impl Job {
    pub fn body(&self) -> String {
        let steps = self.steps.iter().map(|st| {
            let mut f = vec![("count", n(st.count)), ("cpu", n(st.cpu)), ("mem_mb", n(st.mem))];
            f.push(("estimate_ms", n(st.work_ms.max(1_000))));
            if !st.after.is_empty() {
                f.push(("after", Json::Arr(st.after.iter().map(|&a| n(a as u64)).collect())));
            }
            if st.gang { f.push(("gang", Json::Bool(true))); }
            if st.checkpoints { f.push(("checkpoints", Json::Bool(true))); }
            if st.lasting { f.push(("long_running", Json::Bool(true))); }
            if st.speculative { f.push(("speculative", Json::Bool(true))); }
            if st.max_per_server > 0 { f.push(("max_per_server", n(st.max_per_server))); }
            if !st.requirements.is_empty() { f.push(("requirements", s(&st.requirements))); }
            if st.target_ms > 0 { f.push(("target_ms", n(st.target_ms))); }
            if st.fills { f.push(("fills", Json::Bool(true))); }
            if !st.image.is_empty() { f.push(("image", s(&st.image))); }
            if st.may_miss > 0 { f.push(("may_miss", n(st.may_miss))); }
            obj(f)
        });
        let mut f = vec![("spec", s(&self.spec)), ("steps", Json::Arr(steps.collect()))];
        if self.repeat > 0 {
            f.push(("repeat_count", n(self.repeat)));
            f.push(("first_run_ms", n(self.first_ms)));
            f.push(("interval_ms", n(self.interval_ms)));
        }
        obj(f).to_string()
    }
}

#[derive(Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub gang: Option<String>,
    pub members: u64,
    pub began: Instant,
    /// Since when it works; `None` for a member of a gang that waits.
    pub works: Option<Instant>,
    pub resumed_ms: u64,
    pub work_ms: Option<u64>,
    pub checkpoints: bool,
    pub saved: String,
    pub cpu: u64,
    pub mem: u64,
    pub fails_at: Option<u64>,
    pub stops_at: Option<Instant>,
    pub serves: bool,
}

impl Run {
    pub fn done_ms(&self, now: Instant) -> u64 {
        self.resumed_ms + self.works.map_or(0, |w| now.duration_since(w).as_millis() as u64)
    }
}

pub struct Runner {
    pub id: String,
    pub life: u64,
    pub address: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub service: String,
    pub cpu: u64,
    pub mem: u64,
    pub mode: Mode,
    pub until: Option<Instant>,
    /// Whether it comes back under its name.
    pub same_id: bool,
    pub born_ms: u64,
    pub began: Instant,
    pub clock_at_birth: u64,
    pub clock_rate: f64,
    pub token: u64,
    pub lease_ms: Option<f64>,
    pub runs: Vec<Run>,
    pub ended: HashMap<String, u64>,
    pub finished: Vec<(u64, String, u64, &'static str, String)>,
    pub last_n: u64,
    pub acknowledged: u64,
    pub late_permille: u64,
    pub drains_at: Option<Instant>,
    pub sequence: u64,
    pub next_beat: Instant,
    pub last_beat: Instant,
}

impl Runner {
    pub fn clock(&self, now: Instant) -> f64 {
        let passed = now.duration_since(self.began).as_secs_f64() * 1e3;
        self.clock_at_birth as f64 + passed * self.clock_rate
    }

    pub fn alive(&self) -> bool {
        matches!(self.mode, Mode::Up | Mode::Cut)
    }

    fn entry(&self, now: Instant) -> String {
        let labels = self.labels.iter().map(|l| s(l)).collect();
        let mut f = vec![
            ("service", s(&self.service)),
            ("address", s(&self.address)),
            ("zone", s(&self.zone)),
            ("version", s("v1")),
            ("capacity", n(8)),
            ("state", s(if self.drains_at.is_some() { "draining" } else { "ready" })),
            ("cold_remaining_ms", n(0)),
            ("room", obj(vec![("cpu", n(self.cpu)), ("mem_mb", n(self.mem)), ("gpu", n(0))])),
            ("labels", Json::Arr(labels)),
            ("clock_ms", n(self.clock(now) as u64)),
            ("born", n(self.born_ms)),
            ("sequence", n(self.sequence)),
        ];
        if let Some(at) = self.drains_at {
            f.push(("drain_remaining_ms", n(at.saturating_duration_since(now).as_millis() as u64)));
        }
        obj(f).to_string()
    }
}

/// An end `done` of a task.
struct Done {
    runner: usize,
    life: u64,
    number: u64,
    run: u64,
    acked: Option<Instant>,
    /// The runner's lease lapsed, or the runner crashed, before the end was taken note of.
    void: bool,
    /// A start after the end that counts if the end is taken note of.
    start_after: Option<String>,
}

pub struct World {
    pub t0: Instant,
    pub rev: u64,
    pub items: BTreeMap<String, Item>,
    pub history: Vec<(Instant, String, Item)>,
    pub forgotten: u64,
    pub leases: HashMap<u64, (u64, Instant)>,
    pub last_lease: u64,
    pub store: Vec<Store>,
    pub runners: Vec<Runner>,
    pub jobs: HashMap<String, Job>,
    done: HashMap<String, Vec<Done>>,
    /// Tasks of which a run ended `done` or, of a gang, that of a member.
    ended_done: HashMap<String, bool>,
    failed: HashMap<String, u64>,
    saved: HashMap<String, Vec<String>>,
    pub starts: HashMap<String, Vec<(Instant, u64, usize)>>,
    pub record: Vec<String>,
    pub broken: Vec<String>,
    pub rng: u64,
    pub advise_delay: Duration,
    pub advise_refused: u64,
    pub quiet: bool,
    pub late_ms: u64,
    /// The runner whose next start order gets no answer, and when the order is carried out.
    pub hold_next: Option<(usize, Duration)>,
    /// Orders that are carried out later: place, name of the runner, order, when.
    pub held: Vec<(usize, String, Json, Instant)>,
    pub heavy: bool,
    /// When a disruption last was in force.
    pub troubled: Instant,
    /// When each lasting task was last seen to run.
    pub seen: HashMap<String, Instant>,
    /// Whether each heartbeat changes the entry, or only one with news.
    pub every_beat: bool,
}

pub struct Shared {
    pub world: Mutex<World>,
    pub changed: Condvar,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// ID.K.STEP.INDEX of a task.
pub fn parts(task: &str) -> Option<(String, u64, usize, u64)> {
    let mut p = task.split('.');
    let id = p.next()?.to_owned();
    Some((id, p.next()?.parse().ok()?, p.next()?.parse().ok()?, p.next()?.parse().ok()?))
}

impl Shared {
    pub fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn store_call(self: &Arc<Self>, node: usize, rq: Request) -> Answer {
        let mut w = self.lock();
        let mode = w.store[node];
        match mode {
            Store::Busy => {
                return Answer::Reply(503, "{}".into());
            }
            Store::Silent => return Answer::Silent,
            _ => {}
        }
        let body = Json::parse(&rq.body).unwrap_or(Json::Null);
        let write = rq.method != "GET" && rq.path != "/kv-lease" && !rq.path.starts_with("/kv-keep");
        let answer = match (rq.method.as_str(), rq.path.as_str()) {
            ("GET", "/kv-key") => w.kv_key(rq.param("key")),
            ("GET", "/kv-range") => w.kv_range(rq.param("prefix"), rq.param("after")),
            ("GET", "/kv-watch") => {
                let after: u64 = rq.param("after").parse().unwrap_or(0);
                let wait: u64 = rq.param("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    if w.store[node] == Store::Silent {
                        return Answer::Silent;
                    }
                    if after < w.forgotten {
                        return Answer::Reply(410, "{}".into());
                    }
                    let events = w.changes(rq.param("prefix"), after);
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let rev = n(w.rev);
                        let body = obj(vec![("events", Json::Arr(events)), ("store_revision", rev)]);
                        return Answer::Reply(200, body.to_string());
                    }
                    let left = (until - now).min(Duration::from_millis(100));
                    w = match self.changed.wait_timeout(w, left) {
                        Ok((w, _)) => w,
                        Err(e) => e.into_inner().0,
                    };
                }
            }
            ("POST", "/kv-txn") => w.txn(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.num("ttl_ms").unwrap_or(1_000).clamp(1_000, 600_000);
                w.last_lease += 1;
                let id = w.last_lease;
                w.leases.insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
                (200, obj(vec![("lease", n(id)), ("ttl_ms", n(ttl))]).to_string())
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id: u64 = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match w.leases.get_mut(&id) {
                    Some((ttl, ends)) => {
                        *ends = Instant::now() + Duration::from_millis(*ttl);
                        (200, obj(vec![("ttl_ms", n(*ttl))]).to_string())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id: u64 = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = w.leases.remove(&id).is_some();
                w.unlease();
                (if known { 200 } else { 404 }, "{}".into())
            }
            _ => (400, "{}".into()),
        };
        let lost = mode == Store::Lost && write && w.random(3) == 0;
        drop(w);
        self.changed.notify_all();
        if lost {
            return Answer::Silent;
        }
        std::thread::sleep(Duration::from_millis(4));
        Answer::Reply(answer.0, answer.1)
    }

    pub fn advise(&self, rq: Request) -> Answer {
        let body = Json::parse(&rq.body).unwrap_or(Json::Null);
        let step = body.str("step").unwrap_or("").to_owned();
        let workers = body.list("workers").to_vec();
        let delay = {
            let mut w = self.lock();
            let refused = w.advise_refused;
            if refused > 0 && w.random(1000) < refused {
                return Answer::Reply(429, "{}".into());
            }
            w.advise_delay
        };
        std::thread::sleep(delay);
        let granted = workers.iter().filter_map(|id| match id {
            Json::Str(id) if allowed(&step, id) => {
                Some(Json::Arr(vec![s(id), s(&format!("t-{step}-{id}"))]))
            }
            _ => None,
        });
        let body = obj(vec![("granted", Json::Arr(granted.collect())), ("valid_ms", n(3_000))]);
        Answer::Reply(200, body.to_string())
    }

    pub fn runner_call(self: &Arc<Self>, place: usize, rq: Request) -> Answer {
        let body = Json::parse(&rq.body).unwrap_or(Json::Null);
        let mut w = self.lock();
        let r = &w.runners[place];
        let expected = rq.header("expect-instance").map(str::to_owned);
        match r.mode {
            Mode::Up => {}
            Mode::Dead => return Answer::Close,
            Mode::Dark | Mode::Cut => {
                // A call that reaches a silent runner may be carried out later.
                if w.runners[place].late_permille > 0 {
                    self.carry_out_late(&mut w, place, &rq.path, body, expected);
                }
                return Answer::Silent;
            }
        }
        if expected.as_deref().is_some_and(|e| e != r.id) {
            return Answer::Reply(421, "{}".into());
        }
        if let Some((_, after)) = w.hold_next.filter(|(p, _)| *p == place && rq.path == "/run-start") {
            w.hold_next = None;
            let id = w.runners[place].id.clone();
            let task = body.str("task").unwrap_or("").to_owned();
            w.note(format!("start {task} run {:?} on {id}: no answer, will be carried out late", body.num("run")));
            w.held.push((place, id, body, Instant::now() + after));
            return Answer::Silent;
        }
        let late = w.runners[place].late_permille;
        if late > 0 && w.random(1000) < late {
            self.carry_out_late(&mut w, place, &rq.path, body, expected);
            return Answer::Silent;
        }
        match rq.path.as_str() {
            "/run-start" => {
                let (status, text) = w.start(place, &body, false);
                drop(w);
                self.changed.notify_all();
                Answer::Reply(status, text)
            }
            "/run-stop" => {
                let (status, text) = w.stop(place, &body);
                Answer::Reply(status, text)
            }
            "/pace" => {
                let now = Instant::now();
                let clock = w.runners[place].clock(now) as u64;
                Answer::Reply(200, obj(vec![("clock_ms", n(clock))]).to_string())
            }
            "/hold" => {
                if let Some(refused) = w.hold(place, &body) {
                    return Answer::Reply(refused.0, refused.1);
                }
                let life = w.runners[place].life;
                let wait = body.num("wait_ms").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let r = &w.runners[place];
                    if r.life != life || r.mode == Mode::Dead {
                        return Answer::Close;
                    }
                    if r.mode != Mode::Up {
                        return Answer::Silent;
                    }
                    let now = Instant::now();
                    if !r.finished.is_empty() || now >= until {
                        return Answer::Reply(200, w.lists(place, now));
                    }
                    let left = (until - now).min(Duration::from_millis(100));
                    w = match self.changed.wait_timeout(w, left) {
                        Ok((w, _)) => w,
                        Err(e) => e.into_inner().0,
                    };
                }
            }
            _ => Answer::Reply(400, "{}".into()),
        }
    }

    fn carry_out_late(
        self: &Arc<Self>,
        w: &mut World,
        place: usize,
        path: &str,
        body: Json,
        expected: Option<String>,
    ) {
        let delay = Duration::from_millis(2_000 + w.random(w.late_ms));
        let shared = self.clone();
        let path = path.to_owned();
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let mut w = shared.lock();
            let r = &w.runners[place];
            if r.alive() && expected.as_deref().is_none_or(|e| e == r.id) {
                match path.as_str() {
                    "/run-start" => drop(w.start(place, &body, true)),
                    "/run-stop" => drop(w.stop(place, &body)),
                    "/hold" => drop(w.hold(place, &body)),
                    _ => {}
                }
            }
            drop(w);
            shared.changed.notify_all();
        });
    }
}

/// Whether the policy allows a runner to run a step; fixed for both.
pub fn allowed(step: &str, id: &str) -> bool {
    let h = step.bytes().chain(id.bytes()).fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
    h % 3 != 0
}

impl World {
    pub fn random(&mut self, below: u64) -> u64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) % below.max(1)
    }

    pub fn at(&self, t: Instant) -> f64 {
        t.saturating_duration_since(self.t0).as_secs_f64()
    }

    pub fn note(&mut self, text: String) {
        let t = self.at(Instant::now());
        self.record.push(format!("{t:8.3} {text}"));
    }

    pub fn breaks(&mut self, text: String) {
        self.note(format!("BROKEN {text}"));
        let t = self.at(Instant::now());
        self.broken.push(format!("{t:8.3} {text}"));
    }

    // --- store

    fn item_json(key: &str, item: &Item) -> Vec<(&'static str, Json)> {
        match &item.value {
            Some(value) => vec![
                ("key", s(key)),
                ("value", s(&base64(value))),
                ("revision", n(item.rev)),
                ("created", n(item.created)),
                ("lease", n(item.lease)),
            ],
            None => vec![("key", s(key)), ("revision", n(item.rev)), ("tombstone", Json::Bool(true))],
        }
    }

    fn kv_key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => {
                let mut f = Self::item_json(key, item);
                f.push(("store_revision", n(self.rev)));
                (200, obj(f).to_string())
            }
            None => (404, obj(vec![("store_revision", n(self.rev))]).to_string()),
        }
    }

    fn kv_range(&self, prefix: &str, after: &str) -> (u16, String) {
        let all = self.items.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let mut items: Vec<Json> = all.take(501).map(|(k, i)| obj(Self::item_json(k, i))).collect();
        let more = items.len() > 500;
        items.truncate(500);
        let f = vec![("items", Json::Arr(items)), ("has_more", Json::Bool(more)), ("store_revision", n(self.rev))];
        (200, obj(f).to_string())
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<Json> {
        let from = self.history.partition_point(|(_, _, i)| i.rev <= after);
        let found = self.history[from..].iter().filter(|(_, k, _)| k.starts_with(prefix));
        found.map(|(_, k, i)| obj(Self::item_json(k, i))).collect()
    }

    pub fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |i| i.created);
        let item = Item { value: Some(value), rev: self.rev, created, lease };
        self.history.push((Instant::now(), key.to_owned(), item.clone()));
        self.items.insert(key.to_owned(), item);
    }

    pub fn remove(&mut self, key: &str) {
        if let Some(item) = self.items.remove(key) {
            let gone = Item { value: None, rev: self.rev, ..item };
            self.history.push((Instant::now(), key.to_owned(), gone));
        }
    }

    pub fn write(&mut self, key: &str, value: &str) {
        self.rev += 1;
        self.put(key, value.as_bytes().to_vec(), 0);
    }

    pub fn delete(&mut self, key: &str) {
        self.rev += 1;
        self.remove(key);
    }

    fn unlease(&mut self) {
        let gone = |i: &Item| i.lease != 0 && !self.leases.contains_key(&i.lease);
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| gone(i)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn txn(&mut self, body: &Json) -> (u16, String) {
        let expected: Vec<(String, u64)> = body
            .list("expected")
            .iter()
            .filter_map(|e| Some((e.str("key")?.to_owned(), e.num("revision")?)))
            .collect();
        let current = |w: &Self, k: &str| w.items.get(k).map_or(0, |i| i.rev);
        if expected.iter().any(|(k, r)| current(self, k) != *r) {
            let items = expected.iter().filter_map(|(k, _)| Some(obj(Self::item_json(k, self.items.get(k)?))));
            return (412, obj(vec![("items", Json::Arr(items.collect()))]).to_string());
        }
        let puts: Vec<(String, Vec<u8>, u64)> = body
            .list("puts")
            .iter()
            .filter_map(|p| {
                Some((p.str("key")?.to_owned(), from_base64(p.str("value")?), p.num("lease").unwrap_or(0)))
            })
            .collect();
        if puts.iter().any(|(_, _, l)| *l != 0 && !self.leases.contains_key(l)) {
            return (404, "{}".into());
        }
        self.rev += 1;
        for (k, v, l) in puts {
            self.put(&k, v, l);
        }
        for k in body.list("deletes") {
            if let Json::Str(k) = k {
                self.remove(k);
            }
        }
        (200, obj(vec![("revision", n(self.rev))]).to_string())
    }

    // --- runners

    fn refusal(&self, place: usize, reason: &str) -> (u16, String) {
        let clock = self.runners[place].clock(Instant::now()) as u64;
        (409, obj(vec![("clock_ms", n(clock)), ("reason", s(reason))]).to_string())
    }

    fn extend(&mut self, place: usize, deadline: u64) {
        let r = &mut self.runners[place];
        let longest = r.clock(Instant::now()) + HOLD_MAX_MS as f64;
        let wanted = (deadline as f64).min(longest);
        r.lease_ms = Some(r.lease_ms.map_or(wanted, |l| l.max(wanted)));
    }

    fn start(&mut self, place: usize, body: &Json, late: bool) -> (u16, String) {
        let now = Instant::now();
        let (Some(task), Some(run), Some(deadline)) =
            (body.str("task").map(str::to_owned), body.num("run"), body.num("deadline_ms"))
        else {
            return (400, "{}".into());
        };
        let Some((id, k, step_no, index)) = parts(&task) else { return (400, "{}".into()) };
        let token = body.num("fencing_token").unwrap_or(0);
        let r = &mut self.runners[place];
        let ok = obj(vec![("clock_ms", n(r.clock(now) as u64))]).to_string();
        if token < r.token {
            return self.refusal(place, "fence");
        }
        r.token = token;
        if (deadline as f64) <= r.clock(now) {
            return self.refusal(place, "late");
        }
        if r.runs.iter().any(|x| x.task == task && x.run == run) {
            self.extend(place, deadline);
            return (200, ok);
        }
        if r.ended.get(&task).is_some_and(|&e| run <= e) {
            self.extend(place, deadline);
            return self.refusal(place, "old");
        }
        let job = self.jobs.get(&id).cloned();
        let step = job.as_ref().and_then(|j| j.steps.get(step_no).cloned());
        let (cpu, mem) = step.as_ref().map_or((0, 0), |st| (if st.fills { 0 } else { st.cpu }, st.mem));
        let r = &self.runners[place];
        let used = r.runs.iter().fold((cpu, mem), |(c, m), x| (c + x.cpu, m + x.mem));
        if used.0 > r.cpu || used.1 > r.mem {
            self.extend(place, deadline);
            return self.refusal(place, "room");
        }
        if job.as_ref().is_some_and(|j| j.tickets) {
            let (rid, st) = (self.runners[place].id.clone(), format!("{id}.{k}.{step_no}"));
            if body.str("ticket") != Some(&format!("t-{st}-{rid}")) || !allowed(&st, &rid) {
                return self.refusal(place, "ticket");
            }
        }
        self.extend(place, deadline);
        let checkpoint = body.str("checkpoint").unwrap_or("").to_owned();
        let spec = body.str("spec").unwrap_or("").to_owned();
        let rid = self.runners[place].id.clone();
        self.note(format!("start {task} run {run} on {rid}/{} token {token} saved '{checkpoint}'{}", self.runners[place].life, if late { " LATE" } else { "" }));
        self.check_start(place, &task, run, &id, k, step_no, &spec, &checkpoint, job.as_ref(), late);
        let gang = step.as_ref().filter(|st| st.gang).map(|_| format!("{id}.{k}.{step_no}"));
        let resumed_ms = checkpoint.split('-').next().and_then(|t| t.parse().ok()).unwrap_or(0);
        let fails = job.as_ref().map_or(0, |j| j.fail_permille);
        let fails = self.random(1000) < fails;
        let work = step.as_ref().map_or(Some(1_000), |st| (!st.lasting).then_some(st.work_ms));
        let _ = index;
        self.runners[place].runs.push(Run {
            task,
            run,
            members: step.as_ref().map_or(1, |st| st.count),
            works: gang.is_none().then_some(now),
            gang,
            began: now,
            resumed_ms,
            work_ms: work,
            checkpoints: step.as_ref().is_some_and(|st| st.checkpoints),
            saved: checkpoint,
            cpu,
            mem,
            fails_at: fails.then_some(resumed_ms + 300),
            stops_at: None,
            serves: step.as_ref().is_some_and(|st| st.target_ms > 0),
        });
        (200, ok)
    }

    fn stop(&mut self, place: usize, body: &Json) -> (u16, String) {
        let now = Instant::now();
        let (Some(task), Some(run)) = (body.str("task").map(str::to_owned), body.num("run")) else {
            return (400, "{}".into());
        };
        let token = body.num("fencing_token").unwrap_or(0);
        let r = &mut self.runners[place];
        if token < r.token {
            return self.refusal(place, "fence");
        }
        r.token = token;
        let id = r.id.clone();
        match r.runs.iter_mut().find(|x| x.task == task && x.run == run) {
            Some(x) => {
                x.stops_at.get_or_insert(now + Duration::from_millis(STOP_MS / 2));
            }
            None => {
                let e = r.ended.entry(task.clone()).or_default();
                *e = run.max(*e);
            }
        }
        let clock = r.clock(now) as u64;
        self.note(format!("stop {task} run {run} on {id}"));
        (200, obj(vec![("clock_ms", n(clock))]).to_string())
    }

    fn hold(&mut self, place: usize, body: &Json) -> Option<(u16, String)> {
        let token = body.num("fencing_token").unwrap_or(0);
        if token < self.runners[place].token {
            return Some(self.refusal(place, "fence"));
        }
        self.runners[place].token = token;
        if let Some(deadline) = body.num("deadline_ms") {
            self.extend(place, deadline);
        }
        let acked = body.num("acknowledged").unwrap_or(0);
        let r = &mut self.runners[place];
        if acked > r.acknowledged {
            r.acknowledged = acked;
            r.finished.retain(|f| f.0 > acked);
            let life = r.life;
            let now = Instant::now();
            let mut found = Vec::new();
            for (task, ends) in &mut self.done {
                for d in ends.iter_mut() {
                    if d.runner == place && d.life == life && d.number <= acked && d.acked.is_none() && !d.void {
                        d.acked = Some(now);
                        if let Some(start) = &d.start_after {
                            found.push(format!("TWICE {task}: run {} ended done, {start}, then noted", d.run));
                        }
                    }
                }
            }
            for text in found {
                self.breaks(text);
            }
        }
        None
    }

    fn lists(&self, place: usize, now: Instant) -> String {
        let r = &self.runners[place];
        let running = r.runs.iter().map(|x| {
            let percent = match x.work_ms {
                Some(work) => (x.done_ms(now) * 100 / work.max(1)).min(99),
                None => if x.works.is_some_and(|w| now.duration_since(w).as_millis() > 300) { 100 } else { 0 },
            };
            Json::Arr(vec![s(&x.task), n(x.run), s(&x.saved), n(percent), n(if x.serves { 8 } else { x.cpu })])
        });
        let finished = r.finished.iter().take(500).map(|(number, task, run, how, saved)| {
            Json::Arr(vec![n(*number), s(task), n(*run), s(how), s(saved)])
        });
        obj(vec![
            ("clock_ms", n(r.clock(now) as u64)),
            ("born", n(r.born_ms)),
            ("running", Json::Arr(running.collect())),
            ("finished", Json::Arr(finished.collect())),
        ])
        .to_string()
    }

    fn end(&mut self, place: usize, at: usize, how: &'static str) {
        let now = Instant::now();
        let r = &mut self.runners[place];
        let mut x = r.runs.remove(at);
        if how != "done" && x.checkpoints && x.works.is_some() && how == "stopped" {
            x.saved = checkpoint(x.done_ms(now), &x.gang.clone().unwrap_or(x.task.clone()));
        }
        r.last_n += 1;
        let number = r.last_n;
        r.finished.push((number, x.task.clone(), x.run, how, x.saved.clone()));
        let e = r.ended.entry(x.task.clone()).or_default();
        *e = x.run.max(*e);
        let (rid, life) = (r.id.clone(), r.life);
        let owner = x.gang.clone().unwrap_or(x.task.clone());
        if !x.saved.is_empty() {
            self.saved.entry(owner).or_default().push(x.saved.clone());
        }
        self.note(format!("end {} run {} on {rid}/{life}: {how} (number {number})", x.task, x.run));
        match how {
            "done" => {
                let d = Done { runner: place, life, number, run: x.run, acked: None, void: false, start_after: None };
                self.done.entry(x.task.clone()).or_default().push(d);
                self.ended_done.insert(x.task.clone(), true);
            }
            "failed" => *self.failed.entry(x.task.clone()).or_default() += 1,
            _ => {}
        }
        if let Some(gang) = x.gang.filter(|_| how != "done") {
            self.break_gang(&gang, x.run);
        }
    }

    fn break_gang(&mut self, gang: &str, run: u64) {
        for place in 0..self.runners.len() {
            while let Some(at) = self.runners[place]
                .runs
                .iter()
                .position(|x| x.gang.as_deref() == Some(gang) && x.run == run)
            {
                // The nested call finds no further member, since `end` removes each first.
                self.end_member(place, at);
            }
        }
    }

    fn end_member(&mut self, place: usize, at: usize) {
        let gang = self.runners[place].runs[at].gang.take();
        self.runners[place].runs[at].gang = None;
        let (task, run) = (self.runners[place].runs[at].task.clone(), self.runners[place].runs[at].run);
        if let Some(gang) = gang {
            let saved = self.runners[place].runs[at].saved.clone();
            if !saved.is_empty() {
                self.saved.entry(gang).or_default().push(saved);
            }
        }
        let _ = (task, run);
        self.end(place, at, "broken");
    }

    /// A runner crashes: what runs there ends without a trace.
    pub fn crash(&mut self, place: usize, mode: Mode) {
        let r = &mut self.runners[place];
        r.mode = mode;
        r.life += 1;
        let gone: Vec<Run> = std::mem::take(&mut r.runs);
        r.finished.clear();
        r.ended.clear();
        r.token = 0;
        r.lease_ms = None;
        let life = r.life;
        for ends in self.done.values_mut() {
            for d in ends.iter_mut().filter(|d| d.runner == place && d.life < life && d.acked.is_none()) {
                d.void = true;
            }
        }
        let id = self.runners[place].id.clone();
        self.note(format!("crash of {id} ({mode:?}) with {} runs", gone.len()));
        for x in gone {
            if let Some(gang) = x.gang {
                self.break_gang(&gang, x.run);
            }
        }
    }

    /// A runner comes back to life after a crash.
    pub fn revive(&mut self, place: usize, new_id: Option<String>) {
        let now = Instant::now();
        // The clock of a new life starts anew.
        let clock = self.random(50);
        if let Some(id) = &new_id {
            let old = self.runners[place].id.clone();
            self.delete(&format!("servers/{old}"));
            self.runners[place].id = id.clone();
        }
        let r = &mut self.runners[place];
        r.mode = Mode::Up;
        r.until = None;
        r.born_ms = unix_ms();
        r.began = now;
        r.clock_at_birth = clock;
        r.last_n = 0;
        r.acknowledged = 0;
        r.sequence = 0;
        r.drains_at = None;
        r.next_beat = now;
        let id = r.id.clone();
        self.note(format!("runner {id} is up, life {}", self.runners[place].life));
        self.carry_out_held(now);
    }

    /// Carries out the late orders that are due, on the runners that are up.
    fn carry_out_held(&mut self, now: Instant) {
        let mut at = 0;
        while at < self.held.len() {
            let (place, id, _, due) = &self.held[at];
            let r = &self.runners[*place];
            if *due <= now && r.mode == Mode::Up && r.id == *id {
                let (place, _, body, _) = self.held.remove(at);
                let (status, text) = self.start(place, &body, true);
                self.note(format!("late start carried out: {status} {text}"));
            } else {
                at += 1;
            }
        }
    }

    pub fn tick(&mut self) {
        let now = Instant::now();
        self.carry_out_held(now);
        self.leases.retain(|_, (_, ends)| *ends > now);
        self.unlease();
        while self.history.len() > 1 && now.duration_since(self.history[0].0) > Duration::from_secs(20) {
            self.forgotten = self.history[0].2.rev;
            self.history.remove(0);
        }
        for place in 0..self.runners.len() {
            self.tick_runner(place, now);
        }
        self.tick_gangs(now);
    }

    fn tick_runner(&mut self, place: usize, now: Instant) {
        let reaches = self.store.iter().any(|m| *m == Store::Up || *m == Store::Lost);
        let r = &mut self.runners[place];
        if r.mode == Mode::Up && r.next_beat <= now && reaches {
            r.sequence += 1;
            r.next_beat = now + Duration::from_millis(HEARTBEAT_MS);
            r.last_beat = now;
            let (key, value) = (format!("servers/{}", r.id), r.entry(now));
            let again = r.sequence > 1 && r.drains_at.is_none() && self.items.contains_key(&key);
            if self.every_beat || !again {
                self.write(&key, &value);
            }
        } else if reaches && now.duration_since(r.last_beat) > Duration::from_millis(3 * HEARTBEAT_MS) {
            let key = format!("servers/{}", r.id);
            if self.items.contains_key(&key) {
                self.delete(&key);
            }
        }
        let r = &mut self.runners[place];
        if !r.alive() {
            return;
        }
        if r.lease_ms.is_some_and(|l| l <= r.clock(now)) {
            r.lease_ms = None;
            let (id, life) = (r.id.clone(), r.life);
            if !r.runs.is_empty() {
                self.note(format!("lease of {id}/{life} lapses"));
            }
            for ends in self.done.values_mut() {
                for d in ends.iter_mut().filter(|d| d.runner == place && d.life == life && d.acked.is_none()) {
                    d.void = true;
                }
            }
            while !self.runners[place].runs.is_empty() {
                self.end(place, 0, "lapsed");
            }
        }
        let mut at = 0;
        while at < self.runners[place].runs.len() {
            let x = &mut self.runners[place].runs[at];
            let done = x.done_ms(now);
            if x.checkpoints && x.works.is_some() {
                let whole = done / 1_000 * 1_000;
                let last: u64 = x.saved.split('-').next().and_then(|t| t.parse().ok()).unwrap_or(0);
                if whole > last && whole > x.resumed_ms {
                    let owner = x.gang.clone().unwrap_or(x.task.clone());
                    x.saved = checkpoint(whole, &owner);
                    let saved = x.saved.clone();
                    self.saved.entry(owner).or_default().push(saved);
                }
            }
            let x = &self.runners[place].runs[at];
            let how = if x.stops_at.is_some_and(|t| t <= now) {
                Some("stopped")
            } else if x.works.is_some() && x.fails_at.is_some_and(|t| done >= t) {
                Some("failed")
            } else if x.gang.is_none() && x.work_ms.is_some_and(|t| done >= t) {
                Some("done")
            } else if x.gang.is_some() && x.works.is_none()
                && now.duration_since(x.began) >= Duration::from_millis(GANG_MS) {
                Some("alone")
            } else {
                None
            };
            match how {
                Some(how) => self.end(place, at, how),
                None => at += 1,
            }
            if at > self.runners[place].runs.len() {
                break;
            }
        }
    }

    fn tick_gangs(&mut self, now: Instant) {
        let mut gangs: HashMap<(String, u64), Vec<(usize, String)>> = HashMap::new();
        for (place, r) in self.runners.iter().enumerate().filter(|(_, r)| r.alive()) {
            for x in r.runs.iter() {
                if let Some(gang) = &x.gang {
                    gangs.entry((gang.clone(), x.run)).or_default().push((place, x.task.clone()));
                }
            }
        }
        for ((gang, run), members) in gangs {
            let mut tasks: Vec<&String> = members.iter().map(|(_, t)| t).collect();
            tasks.sort();
            tasks.dedup();
            let find = |w: &World, p: usize, t: &str| w.runners[p].runs.iter().position(|x| x.task == *t && x.run == run);
            let first = find(self, members[0].0, &members[0].1);
            let Some(first) = first.map(|i| self.runners[members[0].0].runs[i].clone()) else { continue };
            if tasks.len() as u64 == first.members && first.works.is_none() {
                for (p, t) in &members {
                    if let Some(i) = find(self, *p, t) {
                        self.runners[*p].runs[i].works = Some(now);
                    }
                }
                self.note(format!("gang {gang} run {run} works"));
            } else if first.works.is_some() && first.work_ms.is_some_and(|work| first.done_ms(now) >= work) {
                for (p, t) in &members {
                    if let Some(i) = find(self, *p, t) {
                        self.end(*p, i, "done");
                    }
                }
            }
        }
    }

    // --- checks

    /// Tasks that last and have no run although all was calm.
    pub fn check_lasting(&mut self) {
        let now = Instant::now();
        let disturbed = self.store.iter().any(|m| *m != Store::Up)
            || self.runners.iter().any(|r| r.mode != Mode::Up || r.late_permille > 0);
        if disturbed {
            self.troubled = now;
        }
        let running: Vec<String> = self.runners.iter().filter(|r| r.alive())
            .flat_map(|r| r.runs.iter().map(|x| x.task.clone())).collect();
        for t in running {
            self.seen.insert(t, now);
        }
        if now.duration_since(self.troubled) < Duration::from_secs(7) {
            return;
        }
        let mut found = Vec::new();
        for j in self.jobs.values().filter(|j| j.cancel_sent.is_none() && j.steps[0].lasting) {
            let Some(accepted) = j.accepted else { continue };
            for i in 0..j.steps[0].count {
                let task = format!("{}.0.0.{i}", j.id);
                let last = self.seen.get(&task).copied().unwrap_or(accepted).max(accepted);
                if now.duration_since(last) > Duration::from_millis(9_300) {
                    found.push((task, now.duration_since(last).as_secs_f64()));
                }
            }
        }
        for (task, age) in found {
            if !self.broken.iter().any(|b| b.contains(&task)) {
                self.breaks(format!("LOST {task} lasts and has not run for {age:.1} s, calm for {:.1} s", now.duration_since(self.troubled).as_secs_f64()));
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn check_start(
        &mut self,
        place: usize,
        task: &str,
        run: u64,
        id: &str,
        k: u64,
        step_no: usize,
        spec: &str,
        saved: &str,
        job: Option<&Job>,
        late: bool,
    ) {
        let now = Instant::now();
        let how = if late { " (late)" } else { "" };
        let rid = self.runners[place].id.clone();
        self.starts.entry(task.to_owned()).or_default().push((now, run, place));
        let Some(job) = job else {
            return self.breaks(format!("UNASKED {task}: no such job"));
        };
        let Some(step) = job.steps.get(step_no) else {
            return self.breaks(format!("UNASKED {task}: no such step"));
        };
        if !job.sent || spec != job.spec || k >= job.repeat.max(1) {
            self.breaks(format!("UNASKED {task}: other spec or occurrence"));
        }
        let owner = match step.gang {
            true => format!("{id}.{k}.{step_no}"),
            false => task.to_owned(),
        };
        if !saved.is_empty() && !self.saved.get(&owner).is_some_and(|v| v.iter().any(|x| x == saved)) {
            self.breaks(format!("UNASKED {task}: checkpoint {saved} is not its own"));
        }
        if let Some(at) = job.cancelled
            && !late
            && now.duration_since(at) > Duration::from_millis(3_000)
        {
            self.breaks(format!("UNASKED {task}: start {:.1} s after its cancelling", now.duration_since(at).as_secs_f64()));
        }
        if job.repeat > 0 {
            let due = job.first_ms + k * job.interval_ms;
            if unix_ms() + 250 < due {
                self.breaks(format!("ORDER {task}: {} ms before its time", due - unix_ms()));
            }
        }
        for &a in &step.after {
            let before = &job.steps[a];
            for i in 0..before.count {
                let any = |t: String| self.ended_done.contains_key(&t);
                let ok = match before.gang {
                    true => (0..before.count).any(|i| any(format!("{id}.{k}.{a}.{i}"))),
                    false => any(format!("{id}.{k}.{a}.{i}")),
                };
                if !ok {
                    self.breaks(format!("ORDER {task}: {id}.{k}.{a}.{i} is not done"));
                    break;
                }
            }
        }
        if self.failed.get(task).is_some_and(|&f| f >= job.attempts) && !step.lasting {
            self.note(format!("? BUDGET {task}: start after {} failed runs{how}", self.failed[task]));
        }
        if !step.requirements.is_empty() && !self.runners[place].labels.contains(&step.requirements) {
            self.breaks(format!("ROUTE {task}: {rid} has no label {}", step.requirements));
        }
        if step.max_per_server > 0 {
            let start = format!("{id}.{k}.{step_no}.");
            let here = self.runners[place].runs.iter().filter(|x| x.task.starts_with(&start)).count() as u64;
            if here >= step.max_per_server {
                self.breaks(format!("ROUTE {task}: {here} of the step run on {rid} already{how}"));
            }
        }
        if step.speculative {
            return;
        }
        for other in 0..self.runners.len() {
            let o = &self.runners[other];
            if !o.alive() {
                continue;
            }
            if let Some(x) = o.runs.iter().find(|x| x.task == task) {
                let text = format!("TWICE {task}: run {run} on {rid}{how} beside run {} on {} ({:?})", x.run, o.id, o.mode);
                self.breaks(text);
            }
        }
        let mut found = Vec::new();
        for d in self.done.get_mut(task).into_iter().flatten().filter(|d| !d.void) {
            let text = format!("start of run {run} on {rid}{how}");
            match d.acked {
                Some(at) => found.push(format!("TWICE {task}: {text}, {:.2} s after the end of run {} was noted", now.duration_since(at).as_secs_f64(), d.run)),
                None => d.start_after = Some(text),
            }
        }
        for text in found {
            self.breaks(text);
        }
    }
}

fn checkpoint(done: u64, owner: &str) -> String {
    format!("{done:06}-{owner}")
}

impl World {
    pub fn empty(now: Instant) -> Self {
        World {
            t0: now,
            rev: 100,
            items: BTreeMap::new(),
            history: Vec::new(),
            forgotten: 0,
            leases: HashMap::new(),
            last_lease: 7_000,
            store: Vec::new(),
            runners: Vec::new(),
            jobs: HashMap::new(),
            done: HashMap::new(),
            ended_done: HashMap::new(),
            failed: HashMap::new(),
            saved: HashMap::new(),
            starts: HashMap::new(),
            record: Vec::new(),
            broken: Vec::new(),
            rng: 1,
            advise_delay: Duration::from_millis(30),
            advise_refused: 0,
            quiet: false,
            late_ms: 10_000,
            hold_next: None,
            held: Vec::new(),
            heavy: false,
            troubled: now,
            seen: HashMap::new(),
            every_beat: true,
        }
    }

    pub fn failed_runs(&self, task: &str) -> u64 {
        self.failed.get(task).copied().unwrap_or(0)
    }

    pub fn is_done(&self, task: &str) -> bool {
        self.ended_done.contains_key(task)
    }
}
