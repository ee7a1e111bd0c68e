//! A loopback proxy whose connections are delayed, cut, silenced and reset.

use crate::plan::LinkFault;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes read at once.
const READ: usize = 16 * 1024;

/// What a link does now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Condition {
    delay: Duration,
    cut_to_server: bool,
    cut_from_server: bool,
    refuses: bool,
    /// Counts resets: a connection that saw a smaller number is reset.
    resets: u64,
}

impl Condition {
    fn with(mut self, fault: Option<LinkFault>) -> Self {
        let resets = self.resets;
        self = Self {
            resets,
            ..Self::default()
        };
        match fault {
            None => {}
            Some(LinkFault::Delay(delay)) => self.delay = delay,
            Some(LinkFault::CutToServer) => self.cut_to_server = true,
            Some(LinkFault::CutFromServer) => self.cut_from_server = true,
            Some(LinkFault::Silence) => {
                self.cut_to_server = true;
                self.cut_from_server = true;
            }
            Some(LinkFault::Reset) => self.resets += 1,
            Some(LinkFault::Refuse) => {
                self.refuses = true;
                self.resets += 1;
            }
        }
        self
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToServer,
    FromServer,
}

impl Way {
    fn is_cut(self, condition: &Condition) -> bool {
        match self {
            Self::ToServer => condition.cut_to_server,
            Self::FromServer => condition.cut_from_server,
        }
    }
}

/// A proxy before one server.
#[derive(Clone, Debug)]
pub struct Link {
    addr: SocketAddr,
    server: Rc<Cell<SocketAddr>>,
    condition: Rc<watch::Sender<Condition>>,
}

impl Link {
    /// Starts a proxy before a server.
    ///
    /// # Errors
    ///
    /// There is no free port.
    pub async fn before(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self {
            addr: listener.local_addr()?,
            server: Rc::new(Cell::new(server)),
            condition: Rc::new(watch::Sender::new(Condition::default())),
        };
        let serving = link.clone();
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(serving.clone().connection(client));
            }
        });
        Ok(link)
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Puts a fault on the link in place of the one that is there; `None`
    /// mends it.
    pub fn set(&self, fault: Option<LinkFault>) {
        self.condition
            .send_modify(|condition| *condition = condition.with(fault));
    }

    async fn connection(self, client: TcpStream) {
        let mut condition = self.condition.subscribe();
        let now = *condition.borrow_and_update();
        if now.refuses {
            reset(client);
            return;
        }
        let Ok(server) = TcpStream::connect(self.server.get()).await else {
            reset(client);
            return;
        };
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        let resets = now.resets;
        let up = pump(
            from_client,
            to_server,
            Way::ToServer,
            condition.clone(),
            resets,
        );
        let down = pump(
            from_server,
            to_client,
            Way::FromServer,
            condition.clone(),
            resets,
        );
        let ((from_client, to_server), (from_server, to_client)) = tokio::join!(up, down);
        if condition.borrow().resets > now.resets {
            for joined in [
                from_client.reunite(to_client),
                from_server.reunite(to_server),
            ] {
                // Halves of one connection always fit.
                joined.map_or_else(drop, reset);
            }
        }
    }
}

/// Closes so that the peer sees a reset.
fn reset(stream: TcpStream) {
    // The peer may have closed first.
    drop(stream.set_zero_linger());
}

/// Carries bytes one way until the end, or until the link has been reset more
/// often than `resets` times.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut condition: watch::Receiver<Condition>,
    resets: u64,
) -> (OwnedReadHalf, OwnedWriteHalf) {
    let mut was_reset = condition.clone();
    let carrying = async {
        let mut piece = vec![0; READ];
        loop {
            let read = from.read(&mut piece).await.unwrap_or(0);
            let open = condition.wait_for(|c| !way.is_cut(c)).await;
            let Ok(delay) = open.map(|c| c.delay) else {
                return;
            };
            tokio::time::sleep(delay).await;
            if read == 0 || to.write_all(&piece[..read]).await.is_err() {
                // The other way goes on; the peer may be gone already.
                drop(to.shutdown().await);
                return;
            }
        }
    };
    tokio::select! {
        () = carrying => {}
        _ = was_reset.wait_for(|c| c.resets > resets) => {}
    }
    (from, to)
}
