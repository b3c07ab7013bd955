//! Starts and stops the processes of the cell and sends statements to its operators' interface.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use api::{Outcome, Status};
use model::Resources;
use store::{Host, HostKind};
use uuid::Uuid;

const SHARED_KEY: &str = "the shared key of the example cell";
const DATA_CENTRES: [&str; 2] = ["gt-1", "gt-2"];
const HOSTS_PER_DATA_CENTRE: usize = 2;
const WORKERS_PER_DATA_CENTRE: usize = 3;
const CORES: u32 = 16;
const TIMEOUT: Duration = Duration::from_secs(30);

/// Addresses of one entry host.
#[derive(Clone, Debug)]
pub(crate) struct EntryHost {
    pub(crate) name: String,
    data_centre: &'static str,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    peers: SocketAddr,
    relay: SocketAddr,
}

struct ChildProcess {
    name: String,
    process: Child,
}

/// The running cell.
pub(crate) struct Cell {
    directory: PathBuf,
    children: Vec<ChildProcess>,
    pub(crate) hosts: Vec<EntryHost>,
    pub(crate) workers: usize,
    http: web::Client,
}

/// Returns a loopback address that only this run uses. A port on it that is free, and below the range that the system
/// assigns to outgoing connections, therefore stays free until a component binds it.
fn own_ip() -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1)
}

fn free_addresses<const N: usize>() -> Result<[SocketAddr; N]> {
    // All listeners stay open until the last address is found, so that no two addresses are the same.
    let listeners: Vec<TcpListener> =
        (10_000..=u16::MAX).filter_map(|port| TcpListener::bind((own_ip(), port)).ok()).take(N).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(TcpListener::local_addr).collect::<std::io::Result<_>>()?;
    addresses.try_into().map_err(|_| anyhow::anyhow!("not enough free addresses"))
}

impl Cell {
    /// Starts all processes and waits until every entry host accepts callers' requests.
    pub(crate) async fn start() -> Result<Cell> {
        let directory = std::env::temp_dir().join(format!("walkhook-cell-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let http = web::Client::new(Duration::from_secs(10), 16 * 1024 * 1024).with_bearer(SHARED_KEY);
        let mut cell = Cell { directory, children: Vec::new(), hosts: Vec::new(), workers: 0, http };
        let [platform] = free_addresses()?;
        cell.spawn("platform", &["platform", &platform.to_string()])?;
        cell.wait_until_listening(platform).await?;
        cell.start_workers(platform).await?;
        cell.start_hosts(platform)?;
        for host in cell.hosts.clone() {
            cell.wait_until_listening(host.operators).await?;
        }
        let hosts = cell.hosts.len();
        cell.wait_for_rows("show hosts where state != dead", hosts).await?;
        cell.wait_for_rows("show workers where state = live", cell.workers).await?;
        for host in &cell.hosts {
            cell.wait_until_ready(host.callers).await?;
        }
        Ok(cell)
    }

    fn spawn(&mut self, name: &str, role: &[&str]) -> Result<()> {
        let log = File::create(self.directory.join(format!("{name}.log")))?;
        let process = Command::new(std::env::current_exe()?)
            .arg("--role")
            .args(role)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()
            .with_context(|| format!("can't start {name}"))?;
        self.children.push(ChildProcess { name: name.to_owned(), process });
        Ok(())
    }

    async fn start_workers(&mut self, platform: SocketAddr) -> Result<()> {
        for data_centre in DATA_CENTRES {
            for number in 0..WORKERS_PER_DATA_CENTRE {
                let name = format!("{data_centre}-w{number}");
                let [address] = free_addresses()?;
                self.spawn(&name, &["worker", &address.to_string(), &CORES.to_string()])?;
                self.wait_until_listening(address).await?;
                let host = Host {
                    name,
                    kind: HostKind::Worker,
                    data_centre: data_centre.to_owned(),
                    rack: format!("rack-{}", number % 2),
                    address,
                    capacity: Resources::new(CORES, CORES * 4096, 0),
                    leaving: false,
                };
                self.http.post::<_, ()>(&format!("http://{platform}/list"), &host).await?;
                self.workers += 1;
            }
        }
        Ok(())
    }

    fn start_hosts(&mut self, platform: SocketAddr) -> Result<()> {
        let host_addresses = free_addresses::<{ 4 * HOSTS_PER_DATA_CENTRE * DATA_CENTRES.len() }>()?;
        for (index, addresses) in host_addresses.chunks(4).enumerate() {
            let (data_centre, number) = (DATA_CENTRES[index / HOSTS_PER_DATA_CENTRE], index % HOSTS_PER_DATA_CENTRE);
            let [callers, operators, peers, relay] = [addresses[0], addresses[1], addresses[2], addresses[3]];
            let name = format!("{data_centre}-e{number}");
            self.hosts.push(EntryHost { name, data_centre, callers, operators, peers, relay });
        }
        for host in self.hosts.clone() {
            let file = self.directory.join(format!("{}.yaml", host.name));
            std::fs::write(&file, settings(&host, &self.hosts[0], platform))?;
            self.spawn(&host.name, &["walkhookd", &file.display().to_string()])?;
        }
        Ok(())
    }

    async fn wait_until_listening(&self, address: SocketAddr) -> Result<()> {
        let started_at = Instant::now();
        while tokio::net::TcpStream::connect(address).await.is_err() {
            ensure!(started_at.elapsed() < TIMEOUT, "nothing listens on {address}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Polls the health endpoint, as the load balancer does, until an entry host accepts callers' requests.
    async fn wait_until_ready(&self, callers: SocketAddr) -> Result<()> {
        let started_at = Instant::now();
        while self.http.get::<String>(&format!("http://{callers}/-/health")).await.is_err() {
            ensure!(started_at.elapsed() < TIMEOUT, "the entry host at {callers} does not become ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Sends a statement to the first entry host and fails unless it is carried out.
    pub(crate) async fn execute(&self, statement: &str, plan: Option<&str>) -> Result<Outcome> {
        let command =
            api::Command { statement: statement.to_owned(), command: Uuid::new_v4(), plan: plan.map(str::to_owned) };
        let url = format!("http://{}/v1/statements", self.hosts[0].operators);
        let outcome: Outcome = self.http.post(&url, &command).await?;
        ensure!(outcome.status == Status::Done, "{statement}: {}", outcome.message);
        Ok(outcome)
    }

    /// Repeats a statement until its table has at least `rows` rows.
    pub(crate) async fn wait_for_rows(&self, statement: &str, rows: usize) -> Result<()> {
        let started_at = Instant::now();
        loop {
            let outcome = self.execute(statement, None).await?;
            let found = outcome.table.map_or(0, |table| table.rows.len());
            if found >= rows {
                return Ok(());
            }
            if started_at.elapsed() > TIMEOUT {
                bail!("{statement}: {found} rows, expected at least {rows}; logs in {}", self.directory.display());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) async fn print(&self, statement: &str) -> Result<()> {
        let outcome = self.execute(statement, None).await?;
        println!("\n> {statement}");
        let Some(table) = outcome.table else { return Ok(()) };
        let lines = || std::iter::once(&table.columns).chain(&table.rows);
        let width = |column: usize| lines().map(|row| row.get(column).map_or(0, String::len)).max().unwrap_or(0);
        for row in lines() {
            let cells = row.iter().enumerate().map(|(column, cell)| format!("{cell:<width$}", width = width(column)));
            println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
        }
        Ok(())
    }

    /// Prints the processor time and the resident memory of each process so far.
    pub(crate) fn print_resource_usage(&self) {
        println!("\nprocess    cpu ms  resident KiB");
        for child in &self.children {
            let (cpu, memory) = resource_usage(child.process.id()).unwrap_or_default();
            println!("{:<9} {cpu:>7} {memory:>13}", child.name);
        }
    }

    pub(crate) fn print_commands(&self) {
        println!("\nthe cell keeps running; commands to try from another terminal:");
        println!("  export WALKHOOK_KEY='{SHARED_KEY}'");
        println!("  cargo run --release --bin walkhook -- --entry {} show tasks", self.hosts[0].operators);
        println!("  curl -i -H 'x-team: rail' http://{}/slots/7", self.hosts[0].callers);
        println!("press Ctrl-C to stop the cell");
    }

    /// Stops the entry hosts with SIGTERM, waits for them, and then kills the fake platform and workers.
    pub(crate) async fn stop(&mut self, timeout: Duration) -> Vec<Option<i32>> {
        let names: Vec<&String> = self.hosts.iter().map(|host| &host.name).collect();
        let (hosts, fake_processes): (Vec<ChildProcess>, Vec<ChildProcess>) =
            std::mem::take(&mut self.children).into_iter().partition(|child| names.contains(&&child.name));
        for child in &hosts {
            let _ = Command::new("kill").args(["-TERM", &child.process.id().to_string()]).status();
        }
        let mut codes = Vec::new();
        for mut child in hosts {
            codes.push(exit_code(&mut child.process, timeout).await);
        }
        for mut child in fake_processes {
            let _ = child.process.kill();
            let _ = child.process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
        codes
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.process.kill();
            let _ = child.process.wait();
        }
    }
}

async fn exit_code(process: &mut Child, timeout: Duration) -> Option<i32> {
    let started_at = Instant::now();
    while started_at.elapsed() < timeout {
        if let Ok(Some(status)) = process.try_wait() {
            return status.code();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let _ = process.kill();
    let _ = process.wait();
    None
}

/// Returns the processor time in milliseconds and the resident memory in KiB of a process.
fn resource_usage(id: u32) -> Option<(u64, u64)> {
    let process = Path::new("/proc").join(id.to_string());
    let stat = std::fs::read_to_string(process.join("stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let pages: u64 = std::fs::read_to_string(process.join("statm")).ok()?.split_whitespace().nth(1)?.parse().ok()?;
    Some((ticks * 10, pages * 4))
}

fn settings(host: &EntryHost, seed: &EntryHost, platform: SocketAddr) -> String {
    let EntryHost { name, data_centre, callers, operators, peers, relay } = host;
    let data_centres = DATA_CENTRES.join(", ");
    format!(
        "cell: example
host: {name}
data_centre: {data_centre}
data_centres: [{data_centres}]
listen:
  callers: {callers}
  operators: {operators}
  peers: {peers}
  relay: {relay}
seeds: [{seed}]
platform:
  address: {platform}
shared_key: {SHARED_KEY}
log: debug
classes:
  - name: slot-check
    path: /slots
    service: planner
    priority: urgent
    deadline: 1s
    repeatable: true
  - name: slot-booking
    path: /bookings
    service: planner
    priority: urgent
    deadline: 2s
",
        seed = seed.peers
    )
}
