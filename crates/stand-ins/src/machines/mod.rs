//! Machines on loopback: a network of their own, free ports, a folder, and settings as the platform
//! writes them.
use crate::prelude::*;
use node_runtime::settings::read_settings;

/// Ports of one network: sixteen in a row that nobody uses, the first eight for the system's own calls.
const PORTS_IN_A_ROW: u16 = 16;
const FRONT_PORT: u16 = 8;
const READINESS_PORT: u16 = 9;
const CONTROL_PORT: u16 = 10;

/// Where the machines of one test are, so that tests which run at once don't meet.
pub struct Network {
    /// Holds the settings and the machines' data.
    pub dir: PathBuf,
    first_port: u16,
    subnet: String,
}

/// What the settings of one machine say.
pub struct Machine<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its class: front, core or storage.
    pub class: &'a str,
    /// The last part of its address.
    pub host: u8,
    /// Its zone.
    pub zone: &'a str,
    /// All zones.
    pub zones: &'a [&'a str],
    /// Hosts of the cells to begin with.
    pub seeds: &'a [u8],
    /// Where the platform's list is served.
    pub cloud: SocketAddr,
}

impl Network {
    /// A folder, a part of loopback and free ports.
    pub fn new(test: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("spokebank-{test}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let subnet = format!("127.{}.{}", fastrand::u8(20..250), fastrand::u8(1..250));
        Network { dir, first_port: free_ports(), subnet }
    }

    /// The address of a host.
    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.subnet)
    }

    /// Where a host answers the system's own calls, on the port at `offset`.
    pub fn inner(&self, host: u8, offset: u16) -> String {
        format!("{}:{}", self.ip(host), self.first_port + offset)
    }

    /// Where a host serves clients.
    pub fn front(&self, host: u8) -> String {
        self.inner(host, FRONT_PORT)
    }

    /// Where a host says whether it is ready.
    pub fn readiness(&self, host: u8) -> String {
        self.inner(host, READINESS_PORT)
    }

    /// Where a host serves operators.
    pub fn control(&self, host: u8) -> String {
        self.inner(host, CONTROL_PORT)
    }

    /// A free port of a host, for what stands outside of the system.
    pub fn outside(&self, host: u8) -> String {
        format!("{}:0", self.ip(host))
    }

    /// The first and the last port of the row.
    pub fn ports(&self) -> (u16, u16) {
        (self.first_port, self.first_port + PORTS_IN_A_ROW - 1)
    }

    /// The settings of where a machine of this class listens, a line each.
    pub fn listen_addresses(&self, class: &str, host: u8) -> String {
        match class {
            "front" => {
                let (front, readiness) = (self.front(host), self.readiness(host));
                format!("front = \"{front}\"\nreadiness = \"{readiness}\"\n")
            }
            "core" => format!("control = \"{}\"\n", self.control(host)),
            _ => String::new(),
        }
    }

    /// Writes a machine's settings file and reads it as its processes do.
    pub fn settings(&self, machine: &Machine<'_>) -> NodeSettings {
        let file = self.dir.join(format!("{}.toml", machine.name));
        std::fs::write(&file, self.text(machine)).unwrap();
        read_settings(&file.display().to_string()).unwrap()
    }

    fn text(&self, machine: &Machine<'_>) -> String {
        let Machine { name, class, host, zone, zones, seeds, cloud } = machine;
        let listen = self.listen_addresses(class, *host);
        let (first_port, last_port) = self.ports();
        let seeds: Vec<String> = seeds.iter().map(|host| self.control(*host)).collect();
        let zones: String = zones.iter().map(|zone| format!("{zone} = \"r\"\n")).collect();
        format!(
            "nodeName = \"{name}\"\nmachineClass = \"{class}\"\nipAddress = \"{}\"\nzone = \"{zone}\"\n\
             internalPortRange = [{first_port}, {last_port}]\nseedAddresses = {seeds:?}\nfirstStart = true\n\
             dataDirectory = \"{}\"\n[zones]\n{zones}[listenAddresses]\n{listen}\
             [limits]\nmemoryMb = 256\nfileDescriptors = 2000\ndiskMb = 64\n\
             [cloudApi]\naddress = \"{cloud}\"\nratePerS = 40.0\nlagMs = 10\n",
            self.ip(*host),
            self.dir.join(name).display(),
        )
    }
}

/// The first of a row of ports that are free on all of loopback, found by binding each. They lie below
/// the ports that the system gives to outgoing connections, so that none of these takes one meanwhile.
fn free_ports() -> u16 {
    loop {
        let first = fastrand::u16(12_000..32_000);
        let free = |port| std::net::TcpListener::bind(("0.0.0.0", port)).is_ok();
        if (first..first + PORTS_IN_A_ROW).all(free) {
            return first;
        }
    }
}
