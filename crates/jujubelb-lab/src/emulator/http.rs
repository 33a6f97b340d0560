//! HTTP/1.1 server on one address, with a link that can be disturbed. It reads from the
//! socket itself, since a disturbed link has to lose answers and keep connections open
//! without one.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr};
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Longest head of a request; callers of the emulator send a few hundred bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Longest body of a request, four times the largest value of the store.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How long a connection without an answer stays open if its peer doesn't close it. Longer
/// than any timeout of a caller.
const SILENCE: Duration = Duration::from_secs(60);

/// Locks a mutex. A panic of another holder is reported by the task that panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request as it was received.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: IndexMap<String, String>,
    /// Headers by their names in lower case.
    pub(crate) headers: IndexMap<String, String>,
    pub(crate) body: Vec<u8>,
    /// Whether the request is carried out later than it arrived.
    pub(crate) late: bool,
}

/// The response to a request.
#[derive(Debug, Clone)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Reply {
    pub(crate) fn new(status: u16, body: &serde_json::Value) -> Self {
        let body = body.to_string();
        Self { status, body }
    }

    /// A response without content.
    pub(crate) fn empty(status: u16) -> Self {
        let body = "{}".to_owned();
        Self { status, body }
    }
}

/// What answers the requests of a server. Changes of state are made before the first await,
/// so that a request whose connection is cut has either had its effect or had none.
pub(crate) trait Service: Send + Sync + 'static {
    fn serve(&self, request: Request) -> impl Future<Output = Reply> + Send;
}

/// How a link treats a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Treatment {
    /// The request is answered.
    Pass,
    /// The connection is reset, before the request has an effect.
    Reset,
    /// The response has this status, and the request has no effect.
    Refuse(u16),
    /// The request has no effect, and the connection stays open without a response.
    Silence,
    /// The request has its effect, and the connection stays open without a response.
    LoseAnswer,
    /// As `LoseAnswer`, and the effect comes after this time.
    Late(Duration),
    /// The request and the response are each delayed by this time.
    Delay(Duration),
}

/// The link to a server: what happens to a share of the requests on it.
#[derive(Debug)]
pub(crate) struct Link {
    state: Mutex<LinkState>,
    /// Notified when open requests have to be cut.
    cut: Notify,
    /// How often the open connections have gone silent.
    silences: watch::Sender<u64>,
}

#[derive(Debug)]
struct LinkState {
    treatment: Treatment,
    /// Share of the requests that are treated so; the others pass.
    share: f64,
    random: StdRng,
}

impl Link {
    pub(crate) fn new(seed: u64) -> Self {
        let random = StdRng::seed_from_u64(seed);
        Self {
            state: Mutex::new(LinkState {
                treatment: Treatment::Pass,
                share: 0.0,
                random,
            }),
            cut: Notify::new(),
            silences: watch::Sender::new(0),
        }
    }

    /// Makes the open connections silent for good, without a reset; new ones work.
    pub(crate) fn silence_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }

    /// Sets the treatment of a share of the requests. Requests that are being answered
    /// are cut if new ones would get no answer.
    pub(crate) fn set(&self, treatment: Treatment, share: f64) {
        let mut state = lock(&self.state);
        (state.treatment, state.share) = (treatment, share);
        if matches!(treatment, Treatment::Reset | Treatment::Silence) && share >= 1.0 {
            self.cut.notify_waiters();
        }
    }

    fn draw(&self) -> Treatment {
        let mut state = lock(&self.state);
        let drawn = state.random.random::<f64>();
        match drawn < state.share {
            true => state.treatment,
            false => Treatment::Pass,
        }
    }
}

/// Serves requests on an address until the runtime ends.
pub(crate) async fn listen<S: Service>(
    address: SocketAddr,
    link: Arc<Link>,
    service: Arc<S>,
) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))?;
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(stream, link.clone(), service.clone()));
                }
                Err(error) => log::warn!("connection on {address} not accepted: {error}"),
            }
        }
    });
    Ok(())
}

async fn serve_connection<S: Service>(mut stream: TcpStream, link: Arc<Link>, service: Arc<S>) {
    let mut buffer = Vec::new();
    let mut silences = link.silences.subscribe();
    // The option only saves time; the connection works without it.
    let _ = stream.set_nodelay(true);
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        if matches!(silences.has_changed(), Ok(true)) {
            return stay_silent(stream).await;
        }
        let mut delay = Duration::ZERO;
        match link.draw() {
            Treatment::Pass => {}
            Treatment::Reset => return reset(&stream),
            Treatment::Refuse(status) => {
                if write_reply(&mut stream, &Reply::empty(status))
                    .await
                    .is_err()
                {
                    return;
                }
                continue;
            }
            Treatment::Silence => return stay_silent(stream).await,
            Treatment::LoseAnswer => {
                service.serve(request).await;
                return stay_silent(stream).await;
            }
            Treatment::Late(after) => {
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    let late = true;
                    service.serve(Request { late, ..request }).await
                });
                return stay_silent(stream).await;
            }
            Treatment::Delay(time) => delay = time,
        }
        tokio::time::sleep(delay).await;
        let reply = tokio::select! {
            reply = service.serve(request) => reply,
            () = link.cut.notified() => return reset(&stream),
            _ = silences.changed() => return stay_silent(stream).await,
        };
        tokio::time::sleep(delay).await;
        if write_reply(&mut stream, &reply).await.is_err() {
            return;
        }
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("connection closed without a reset: {error}");
    }
}

/// Keeps a connection open without a response until its peer closes it.
async fn stay_silent(mut stream: TcpStream) {
    let mut bytes = [0; 1024];
    let closed = async { while matches!(stream.read(&mut bytes).await, Ok(1..)) {} };
    // Both outcomes end the connection.
    let _ = tokio::time::timeout(SILENCE, closed).await;
}

/// Reads one request. Returns `None` if the connection ended or what arrived is no request.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..head_end].to_vec()).ok()?;
    let mut request = parse_head(&head)?;
    let length = match request.headers.get("content-length") {
        Some(text) => text.parse().ok().filter(|&l: &usize| l <= MAX_BODY_BYTES)?,
        None => 0,
    };
    buffer.drain(..head_end + 4);
    while buffer.len() < length {
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

fn parse_head(head: &str) -> Option<Request> {
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?, words.next()?);
    let url = reqwest::Url::parse(&format!("http://emulator{target}")).ok()?;
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    });
    Some(Request {
        method: method.to_owned(),
        path: url.path().to_owned(),
        query: url.query_pairs().into_owned().collect(),
        headers: headers.collect(),
        body: Vec::new(),
        late: false,
    })
}

async fn write_reply(stream: &mut TcpStream, reply: &Reply) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        reply.status,
        reply.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(reply.body.as_bytes());
    stream.write_all(&bytes).await
}
