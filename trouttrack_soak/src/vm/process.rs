//! One life of a front: a child process.

use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A process that does not outlive the soak.
pub(super) struct Process(Child);

impl Process {
    /// Starts `program` with a settings file; what it prints is added to `log`.
    ///
    /// # Errors
    ///
    /// The log cannot be opened, or the program cannot be started.
    pub(super) fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self(child))
    }

    /// Its id, to send signals to.
    pub(super) fn pid(&self) -> Pid {
        Pid::from_raw(self.0.id() as i32)
    }

    /// Whether it has ended.
    ///
    /// # Errors
    ///
    /// The system does not say.
    pub(super) fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.0.try_wait()?.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}
