//! Entry hosts: the program of the deploy file, one process each on a loopback address of its own.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

/// All processes that were started, so that all of them are ended.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub struct Host {
    pub front: String,
    pub ready: String,
    pub id: u32,
}

/// Ends all processes.
pub fn end_all() {
    for child in PROCESSES.lock().expect("processes").iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(temporary_path());
    }
}

fn temporary_path() -> PathBuf {
    std::env::temp_dir().join(format!("walkhook-review-{}", std::process::id()))
}

/// A folder for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let folder = temporary_path();
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Starts `count` hosts, which all know the store at `store`.
pub fn start(count: u8, store: &str, root: &Path, folder: &Path) -> Vec<Host> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seed = u64::from(std::process::id()) ^ u64::from(now.subsec_nanos());
    let (a, b) = (100 + (seed % 100) as u8, 1 + (seed / 100 % 250) as u8);
    (1..=count).map(|number| start_one(&format!("127.{a}.{b}.{number}"), number, store, root, folder)).collect()
}

/// Four different ports that are free.
fn free_ports(ip: &str) -> [u16; 4] {
    // All are held until the last one is chosen.
    let held = [(); 4].map(|()| TcpListener::bind((ip, 0)).expect("a port"));
    held.each_ref().map(|listener| listener.local_addr().expect("an address").port())
}

fn start_one(ip: &str, number: u8, store: &str, root: &Path, folder: &Path) -> Host {
    let [front, ready, control, link] = free_ports(ip);
    let settings = format!(
        "NodeName: \"front-z-{number}\"\nRole: \"entry\"\nMachineClass: \"front\"\nServes:\n  - \"front\"\nIp: \"{ip}\"\n\
         Zone: \"z-{number}\"\nRegion: \"z\"\nZones:\n  z-1: \"z\"\n  z-2: \"z\"\n  z-3: \"z\"\nListenAddresses:\n  \
         Front: \"{ip}:{front}\"\n  Ready: \"{ip}:{ready}\"\n  Control: \"{ip}:{control}\"\nInternalPortRange:\n  - {link}\n  - {last}\n\
         Bootstrap: true\nToleranceCounted: false\nLimits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n  \
         MaxFileDescriptors: 4200\n  LinkMbps: 1000.0\n  DiskMb: 0\nDataDirectory: null\nDiscovery: \"platform\"\nEntry: \"vip\"\n\
         HeartbeatMs: 1500\nContracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n  \
         - \"platform\"\n  - \"advice\"\n  - \"upkeep\"\n  - \"sharing\"\nFaultTolerance:\n  Machines: 2\n  Zones: 1\n  Regions: 0\n\
         Bounds:\n  SeedLagS: 3\n  AddressReuseS: 2\n  ContactMs: 3000\n  AckTimeoutMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n  \
         GraceS: 6\n  LossSlackMs: 200\n  ConfigApplyMs: 2000\n  RollbackSlackMs: 250\n  MaxStretchMs: 5000\n  RecoveryS: 12\n  \
         MaxHoldMs: 6000\n  StopTimeoutMs: 400\n  GangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  \
         finish_s: 14\n  status_s: 120\n  RemotePenalty: 1.5\n  CheckpointIntervalS: 2\n  RestoreMs: 250\n  NoticeMs: 4500\n  \
         MigrationS: 1.5\n  MaintenanceS: 2\n  FencingEnforced: false\n  LeaseMs: 3000\n  ThawSlackMs: 300\n  PacingMs: 100\n  \
         ImpactMs: 4000\nOrders: \"invocation\"\nRecommendation: \"{store}\"\nplatform:\n  Address: \"{store}\"\n  form: \"kv\"\n  \
         WritesPerS: 400\n  ReadsPerS: 2000\n  RetentionS: 20\n  MaxValueBytes: 1048576\n  MinTtlMs: 1000\n",
        last = u32::from(link) + 15,
    );
    let path = folder.join(format!("settings-{number}.yaml"));
    std::fs::write(&path, settings).expect("written");
    let log = std::fs::File::create(folder.join(format!("log-{number}.txt"))).expect("a log");
    let child = Command::new(root.join("target/release/walkhook-adapter"))
        .env("WALKHOOK_CONFIG", &path)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the program starts");
    let id = child.id();
    PROCESSES.lock().expect("processes").push(child);
    Host { front: format!("{ip}:{front}"), ready: format!("{ip}:{ready}"), id }
}

impl Host {
    fn is_ready(&self) -> bool {
        let answer = http::send(&self.ready, "host", "GET", "/readiness", "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Waits until all hosts are ready. Returns whether they are.
pub fn wait_ready(hosts: &[Host]) -> bool {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// The last line of each host's log.
pub fn last_lines(folder: &Path) -> String {
    let logs =
        (1..=3).map(|number| std::fs::read_to_string(folder.join(format!("log-{number}.txt"))).unwrap_or_default());
    logs.map(|log| log.lines().last().unwrap_or_default().to_owned()).collect::<Vec<_>>().join("\n")
}
