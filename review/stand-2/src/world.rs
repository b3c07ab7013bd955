//! A small deployment: a store, minions, and entry hosts as processes of the project's own program.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{HeaderValue, Method, StatusCode, header};
use serde_json::{Value, json};

use crate::minion::{Minion, Seen, Work};
use crate::record::Record;
use crate::store::Store;

/// Port of the operators' API, which the program binds on its own address.
const CONSOLE_PORT: u16 = 9464;
/// The program, as the deploy file starts it.
const PROGRAM: &str = "target/release/walkhook-adapter";
pub const SERVICE: &str = "huvo11a";
/// Time limit of a client.
pub const TIME_LIMIT: Duration = Duration::from_secs(3);
/// Longest time until the hosts are ready.
const START_LIMIT: Duration = Duration::from_secs(20);

pub type Case<T> = Result<T, String>;

/// An entry host.
pub struct Host {
    pub name: String,
    ip: String,
    front: u16,
    ready: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    fn front(&self) -> String {
        format!("{}:{}", self.ip, self.front)
    }

    fn spawn(&mut self) -> Case<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .env("WALKHOOK_CONFIG", &self.settings)
            .stdout(Stdio::from(log))
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.child = Some(child);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A free loopback network of its own: 127.A.B.
fn network() -> Case<String> {
    for attempt in 0..200u32 {
        let number = std::process::id().wrapping_mul(7).wrapping_add(attempt * 97);
        let network = format!("127.{}.{}", 20 + number % 200, 1 + (number / 200) % 250);
        let is_free =
            |host: usize| TcpListener::bind((format!("{network}.{}", host + 1).as_str(), CONSOLE_PORT)).is_ok();
        if (0..4).all(is_free) {
            return Ok(network);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Ports that are free on an address.
fn free_ports<const N: usize>(ip: &str) -> Case<[u16; N]> {
    let listeners: Vec<TcpListener> =
        (0..N).map(|_| TcpListener::bind((ip, 0))).collect::<Result<_, _>>().map_err(|error| error.to_string())?;
    let mut ports = [0; N];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr().map_err(|error| error.to_string())?.port();
    }
    Ok(ports)
}

pub struct World {
    pub hosts: Vec<Host>,
    pub minions: Vec<Arc<Minion>>,
    pub store: Arc<Store>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub record: Arc<Record>,
    pub client: Client,
}

/// Clients of the deployment.
#[derive(Clone)]
pub struct Client {
    web: web::Client,
    fronts: Vec<String>,
    record: Arc<Record>,
}

impl World {
    /// Starts `hosts` entry hosts and `minions` minions, with this configuration in the store.
    pub async fn start(
        hosts: usize,
        minions: usize,
        config: &Value,
        works: Arc<dyn Fn(&str) -> Work + Send + Sync>,
        record: Arc<Record>,
        folder: &std::path::Path,
    ) -> Case<World> {
        let network = network()?;
        let store = Store::new();
        store.write("op/config", config);
        let seen = Arc::new(Mutex::new(Vec::new()));
        let mut world = World {
            hosts: Vec::new(),
            minions: Vec::new(),
            store: store.clone(),
            seen: seen.clone(),
            record: record.clone(),
            client: Client { web: web::Client::new(TIME_LIMIT, 1 << 20), fronts: Vec::new(), record: record.clone() },
        };
        for number in 0..minions {
            let (works, seen, store, record) = (works.clone(), seen.clone(), store.clone(), record.clone());
            let ip = format!("{network}.{}", 100 + number);
            world.minions.push(Minion::start(&ip, number, SERVICE, works, seen, store, record).await);
        }
        for number in 0..hosts {
            let ip = format!("{network}.{}", 1 + number);
            let address = store.listen(&ip, number).await;
            let [front, ready, control, link] = free_ports(&ip)?;
            let name = format!("front-z1-{}", number + 1);
            let settings = folder.join(format!("{name}.yaml"));
            std::fs::write(&settings, settings_text(&name, &ip, address, front, ready, control, link))
                .map_err(|error| error.to_string())?;
            let log = folder.join(format!("{name}.log"));
            let mut host = Host { name, ip, front, ready, settings, log, child: None };
            host.spawn()?;
            world.client.fronts.push(host.front());
            world.hosts.push(host);
        }
        world.wait_ready().await?;
        Ok(world)
    }

    async fn wait_ready(&self) -> Case<()> {
        let end = Instant::now() + START_LIMIT;
        for host in &self.hosts {
            while !self.is_ready(host).await {
                if Instant::now() > end {
                    return Err(format!("{} doesn't become ready", host.name));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.record.write("all entry hosts are ready");
        Ok(())
    }

    async fn is_ready(&self, host: &Host) -> bool {
        let url = format!("http://{}:{}/readiness", host.ip, host.ready);
        let Ok(request) = web::request(Method::GET, &url, Default::default()) else { return false };
        self.client.web.send(request, Duration::from_secs(1)).await.is_ok_and(|(status, _)| status == StatusCode::OK)
    }

    /// SIGKILL for the host that last wrote to the store under a condition; it is started again after `down`.
    pub async fn kill_last_writer(&mut self, down: Duration) -> Case<()> {
        let number = self.store.last_writer().ok_or("nobody wrote to the store")?;
        let host = &mut self.hosts[number];
        host.kill();
        self.record.write(&format!("SIGKILL for {}, which last wrote to the store under a condition", host.name));
        tokio::time::sleep(down).await;
        self.hosts[number].spawn()?;
        self.record.write(&format!("{} is started again", self.hosts[number].name));
        Ok(())
    }

    /// Ends the process of the host that last wrote to the store under a condition, as if its machine was removed.
    pub fn remove_last_writer(&mut self) -> Case<()> {
        let number = self.store.last_writer().ok_or("nobody wrote to the store")?;
        self.hosts[number].kill();
        self.record
            .write(&format!("{}, which last wrote to the store under a condition, is gone", self.hosts[number].name));
        Ok(())
    }

    /// What was seen on minions so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("what was seen").clone()
    }

    /// How often something was seen on minions so far.
    pub fn count(&self, what: &str) -> usize {
        self.seen().iter().filter(|seen| seen.what == what).count()
    }

    /// Whether a task of a job runs on any minion.
    pub fn runs_any(&self, job: &str) -> bool {
        self.minions.iter().any(|minion| minion.running().iter().any(|task| task.starts_with(job)))
    }

    /// Thousandths of a core in use on all minions.
    pub fn used_cpu(&self) -> u64 {
        self.minions.iter().map(|minion| minion.used_cpu()).sum()
    }
}

impl Client {
    /// Sends one request to a host. Returns the status and the body; `None` without an answer.
    pub async fn send(&self, host: usize, method: Method, name: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        let url = format!("http://{}{path}", self.fronts[host % self.fronts.len()]);
        let mut request = web::request(method, &url, body.to_owned().into()).ok()?;
        request.headers_mut().insert(header::HOST, HeaderValue::from_str(name).ok()?);
        request.headers_mut().insert("walkhook-deadline-ms", HeaderValue::from(TIME_LIMIT.as_millis() as u64));
        let (status, bytes) = self.web.send(request, TIME_LIMIT).await.ok()?;
        Some((status.as_u16(), serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
    }

    /// Hands a job in, again at the next host without an answer, after 502 and 504, and a second later after 503.
    /// Returns whether it was accepted.
    pub async fn submit(&self, first: usize, name: &str, path: &str, body: &str, tries: usize) -> bool {
        for attempt in 0..tries {
            let answer = self.send(first + attempt, Method::POST, name, path, body).await;
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record.write(&format!("POST {path} ({} bytes) -> {}", body.len(), shown(status)));
            match status {
                Some(200) => return true,
                Some(429 | 503) => tokio::time::sleep(Duration::from_secs(1)).await,
                None | Some(502 | 504) => {}
                Some(_) => return false,
            }
        }
        false
    }

    /// Asks for a job's state, at one host after the other until one answers.
    pub async fn state(&self, name: &str, path: &str) -> (Option<u16>, String) {
        let mut last = (None, String::new());
        for host in 0..self.fronts.len() {
            let Some((status, body)) = self.send(host, Method::GET, name, path, "").await else { continue };
            last = (Some(status), body["State"].as_str().unwrap_or_default().to_owned());
            if status == 200 || status == 410 {
                break;
            }
        }
        last
    }
}

pub fn shown(status: Option<u16>) -> String {
    status.map_or("no answer".to_owned(), |status| status.to_string())
}

/// A route of a configuration; further fields are added to the usual ones.
pub fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": 3000,
        "TargetLatencyMs": 250, "Priority": 0, "Service": SERVICE, "MaxAttempts": 3, "Stretch": 1.5})
}

pub fn config(version: u64, routes: Vec<Value>) -> Value {
    json!({"Version": version, "Routes": routes,
        "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false,
            "AdmissionCheck": false, "Headroom": false}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
}

/// A settings file like that of `DEPLOY.md`, with the bounds of the small deployments.
fn settings_text(name: &str, ip: &str, store: SocketAddr, front: u16, ready: u16, control: u16, link: u16) -> String {
    let bounds: BTreeMap<&str, &str> = [
        ("SeedLagS", "3"),
        ("ContactMs", "3000"),
        ("AckTimeoutMs", "4000"),
        ("DrainMs", "2000"),
        ("GraceS", "6"),
        ("ConfigApplyMs", "2000"),
        ("RollbackSlackMs", "250"),
        ("RecoveryS", "12"),
        ("MaxHoldMs", "6000"),
        ("StopTimeoutMs", "400"),
        ("GangTimeoutMs", "3000"),
        ("cancel_ms", "3000"),
        ("visible_ms", "3000"),
        ("early_ms", "250"),
        ("finish_s", "14"),
        ("status_s", "120"),
    ]
    .into();
    let bounds: String = bounds.iter().map(|(name, value)| format!("  {name}: {value}\n")).collect();
    format!(
        "NodeName: \"{name}\"\nRole: \"entry\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\nIp: \"{ip}\"\n\
         Zone: \"z1\"\nRegion: \"r1\"\nZones:\n  z1: \"r1\"\nListenAddresses:\n  Front: \"{ip}:{front}\"\n  \
         Ready: \"{ip}:{ready}\"\n  Control: \"{ip}:{control}\"\nInternalPortRange:\n  - {link}\n  - {link}\n\
         Bootstrap: true\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  MaxFileDescriptors: 4200\n  \
         LinkMbps: 1000.0\n  DiskMb: 0\nDataDirectory: null\nDiscovery: \"platform\"\nEntry: \"vip\"\n\
         HeartbeatMs: 1500\nContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"recover\"\n  - \"sched\"\n  \
         - \"platform\"\nBounds:\n{bounds}Orders: \"invocation\"\nplatform:\n  Address: \"{store}\"\n  form: \"kv\"\n  \
         WritesPerS: 400\n  ReadsPerS: 2000\n  RetentionS: 20\n  MaxValueBytes: 1048576\n  MinTtlMs: 1000\n"
    )
}
