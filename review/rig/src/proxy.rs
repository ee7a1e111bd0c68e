//! A link: passes bytes both ways, or holds them up as a partition does, and delivers them
//! once it has healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    pub fn start(ip: &str, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a link");
        let link = Self {
            addr: listener.local_addr().expect("an address"),
            cut: Arc::default(),
        };
        let serving = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = serving.clone();
                thread::spawn(move || link.join(stream, to));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        *self.cut.0.lock().unwrap() = cut;
        self.cut.1.notify_all();
    }

    fn wait_until_healed(&self) {
        let mut cut = self.cut.0.lock().unwrap();
        while *cut {
            cut = self.cut.1.wait(cut).unwrap();
        }
    }

    fn join(&self, near: TcpStream, to: SocketAddr) {
        self.wait_until_healed();
        let Ok(far) = TcpStream::connect(to) else {
            return;
        };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let back = self.clone();
        let answers = thread::spawn(move || back.carry(far2, near2));
        self.carry(near, far);
        let _ = answers.join();
    }

    fn carry(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16384];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            self.wait_until_healed();
            if read == 0 || to.write_all(&buf[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        if to.peer_addr().is_err() {
            let _ = from.shutdown(Shutdown::Both);
        }
    }
}
