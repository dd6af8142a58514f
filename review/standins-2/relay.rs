//! A relay of TCP connections, of which the open ones can be made silent: they stay open and forward
//! nothing any more, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

pub struct Relay {
    /// Connections opened before this number of silences are silent.
    silences: Arc<AtomicU64>,
}

impl Relay {
    pub fn start(address: SocketAddr, upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let silences = Arc::new(AtomicU64::new(0));
        let count = silences.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(near) = stream else { continue };
                let Ok(far) = TcpStream::connect_timeout(&upstream, Duration::from_secs(1)) else {
                    let _ = near.shutdown(Shutdown::Both);
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let since = count.load(Ordering::Relaxed);
                if let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) {
                    forward(near, far, count.clone(), since);
                    forward(far_copy, near_copy, count.clone(), since);
                }
            }
        });
        Ok(Self { silences })
    }

    /// Makes the open connections silent for good.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, silences: Arc<AtomicU64>, since: u64) {
    std::thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if silences.load(Ordering::Relaxed) != since {
                // Neither bytes nor the end of the connection pass any more.
                std::mem::forget((from, to));
                return;
            }
            match read {
                Ok(read @ 1..) if to.write_all(&buffer[..read]).is_ok() => {}
                _ => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}
