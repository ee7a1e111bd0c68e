//! The project's own processes, started with the settings that the platform writes.

use crate::record::Record;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Bounds of a small deployment.
const BOUNDS: &str = "[bounds]\nrevoke = 5000ms\nrevoke_strict = true\nconfig_apply = 2000ms\n\
                      grace = 8s\n\n[retry]\nratio = 0.2\nextra = 52\nwindow = 10s\n";

pub struct Front {
    pub name: String,
    pub listen: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

fn free_addr(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Front {
    /// Writes the settings of a VM, in the form of the project's template.
    pub fn prepare(
        dir: &Path,
        name: &str,
        zone: &str,
        ip: &str,
        store: SocketAddr,
        record: &Record,
    ) -> Self {
        let listen = free_addr(ip);
        let ready = free_addr(ip);
        let metrics = free_addr(ip);
        let peers = free_addr(ip);
        let settings = dir.join(format!("{name}.ini"));
        let text = format!(
            "[vm]\nname = {name}\nfailure_domain = {zone}\n\n[log]\nformat = json\nlevel = info\n\n\
             [platform]\nurl = http://{store}\n\n[front]\nlisten = {listen}\nready = {ready}\n\
             metrics = {metrics}\npeers = {peers}\n\n{BOUNDS}"
        );
        fs::write(&settings, text).expect("the settings");
        Self {
            name: name.to_owned(),
            listen,
            ready,
            settings,
            log: dir.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        }
    }

    /// Starts the process as the deploy file does.
    pub fn start(&mut self, root: &Path) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/trouttrack_front")
            .arg("--settings")
            .arg(&self.settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(&format!("{} starts, process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        self.record.line(&format!("{} gets SIG{signal}", self.name));
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
    }

    /// Whether the process has ended, with its status.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    fn get(addr: SocketAddr, path: &str) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(300)).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_millis(700)))
            .ok()?;
        let req = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).ok()?;
        let mut text = Vec::new();
        let _ = stream.read_to_end(&mut text);
        Some(String::from_utf8_lossy(&text).into_owned())
    }

    pub fn is_ready(&self) -> bool {
        let answer = Self::get(self.ready, "/readiness");
        answer.is_some_and(|a| a.starts_with("HTTP/1.1 200"))
    }

    pub fn wait_until_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(&format!("{} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The lines of the log that hold a text.
    pub fn logged(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
