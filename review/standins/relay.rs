//! Proxy in front of a node's port for other nodes, which can cut machines off.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which a connection that is cut looks for the end of the cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Names of the machines that are cut off from all other machines.
#[derive(Default)]
pub struct Cut {
    machines: Mutex<Vec<String>>,
    any: AtomicBool,
}

impl Cut {
    pub fn begin(&self, machine: &str) {
        let mut machines = self.machines.lock().expect("no panic under the lock");
        machines.push(machine.to_owned());
        self.any.store(true, Ordering::SeqCst);
    }

    pub fn end(&self) {
        self.machines
            .lock()
            .expect("no panic under the lock")
            .clear();
        self.any.store(false, Ordering::SeqCst);
    }

    /// Whether a path between two machines is cut; `hello` are the first bytes of the one that
    /// connects, which contain its name.
    fn covers(&self, hello: &[u8], machine: &str) -> bool {
        if !self.any.load(Ordering::SeqCst) {
            return false;
        }
        let machines = self.machines.lock().expect("no panic under the lock");
        let is_in = |name: &String| {
            let name = name.as_bytes();
            hello.windows(name.len()).any(|part| part == name)
        };
        machines.iter().any(|name| name == machine || is_in(name))
    }
}

/// Forwards connections to `address` to the port `target` of `machine`. While the path is cut, bytes
/// are held up and new connections get no answer.
pub fn start(address: SocketAddr, target: SocketAddr, machine: &str, cut: &Arc<Cut>) {
    let listener = TcpListener::bind(address).expect("the proxy's port");
    let (machine, cut) = (machine.to_owned(), cut.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (machine, cut) = (machine.clone(), cut.clone());
            thread::spawn(move || forward(stream, target, &machine, &cut));
        }
    });
}

fn forward(mut from: TcpStream, target: SocketAddr, machine: &str, cut: &Arc<Cut>) {
    let mut hello = vec![0; 64 * 1024];
    let Ok(length) = from.read(&mut hello) else {
        return;
    };
    hello.truncate(length);
    if cut.covers(&hello, machine) {
        // The connection would not have been established.
        while cut.covers(&hello, machine) {
            thread::sleep(POLL_INTERVAL);
        }
        return;
    }
    let Ok(mut to) = TcpStream::connect(target) else {
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    if to.write_all(&hello).is_err() {
        return;
    }
    let (Ok(from_copy), Ok(to_copy)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let (machine, cut) = (machine.to_owned(), cut.clone());
    let (hello_copy, machine_copy, cut_copy) = (hello.clone(), machine.clone(), cut.clone());
    let back =
        thread::spawn(move || pump(to_copy, from_copy, &hello_copy, &machine_copy, &cut_copy));
    pump(from, to, &hello, &machine, &cut);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, hello: &[u8], machine: &str, cut: &Cut) {
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let length = from.read(&mut chunk).unwrap_or(0);
        while cut.covers(hello, machine) {
            thread::sleep(POLL_INTERVAL);
        }
        if length == 0 || to.write_all(&chunk[..length]).is_err() {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
    }
}
