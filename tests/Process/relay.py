"""TCP and UDP relay in front of one node, which can cut the way from single other nodes.

While a way is cut, datagrams are dropped and TCP bytes are held back, as in a network that loses packets: a connection
stays open and goes on after the heal unless an end gives it up.
"""

import os
import select
import socket
import threading
import time

CHUNK = 65536
POLL_S = 0.05


def owner_of_port(port, table, processes):
    """The name of the process that has the local port, found by the socket's inode."""
    inode = None
    with open(f"/proc/net/{table}", encoding="ascii") as lines:
        for line in list(lines)[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port:
                inode = fields[9]
                if inode != "0":
                    break
    for name, pid in processes().items():
        try:
            folder = f"/proc/{pid}/fd"
            if any(os.readlink(f"{folder}/{it}") == f"socket:[{inode}]" for it in os.listdir(folder)):
                return name
        except OSError:
            continue
    return None


class Relay:
    def __init__(self, name, tcp_target, udp_target, processes):
        self.name = name
        self.cut_from = set()
        self.closed = False
        self.processes = processes
        self.tcp_target = ("127.0.0.1", tcp_target)
        self.udp_target = ("127.0.0.1", udp_target)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(("127.0.0.1", 0))
        self.tcp_port = self.listener.getsockname()[1]
        self.udp_port = self.datagrams.getsockname()[1]
        self.threads = [self.start(self.accept), self.start(self.relay_datagrams)]

    def start(self, function, *arguments):
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        thread.start()
        return thread

    def is_cut(self, source):
        return source in self.cut_from

    def wait_while_cut(self, source):
        while self.is_cut(source) and not self.closed:
            time.sleep(POLL_S)

    def accept(self):
        while not self.closed:
            ready, _, _ = select.select([self.listener], [], [], POLL_S)
            if ready:
                connection, address = self.listener.accept()
                self.start(self.connect, connection, address[1])
        self.listener.close()

    def connect(self, connection, port):
        source = owner_of_port(port, "tcp", self.processes)
        self.wait_while_cut(source)
        try:
            onward = socket.create_connection(self.tcp_target, timeout=5)
        except OSError:
            connection.close()
            return
        for it in (connection, onward):
            it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            it.settimeout(None)
        other = self.start(self.pump, connection, onward, source)
        self.pump(onward, connection, source)
        other.join()
        connection.close()
        onward.close()

    def pump(self, reader, writer, source):
        try:
            while not self.closed:
                ready, _, _ = select.select([reader], [], [], POLL_S)
                if not ready:
                    continue
                data = reader.recv(CHUNK)
                self.wait_while_cut(source)
                if not data:
                    break
                writer.sendall(data)
        except (OSError, ValueError):
            pass
        for it in (reader, writer):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def relay_datagrams(self):
        # One socket per sender, so that answers to the datagram's source address find their way back.
        onward = {}
        back = {}
        while not self.closed:
            ready, _, _ = select.select([self.datagrams, *back], [], [], POLL_S)
            for it in ready:
                try:
                    data, address = it.recvfrom(CHUNK)
                except OSError:
                    continue
                if it is self.datagrams:
                    if address not in onward:
                        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                        sender.bind(("127.0.0.1", 0))
                        onward[address] = (sender, owner_of_port(address[1], "udp", self.processes))
                        back[sender] = address
                    sender, source = onward[address]
                    if not self.is_cut(source):
                        sender.sendto(data, self.udp_target)
                elif not self.is_cut(onward[back[it]][1]):
                    self.datagrams.sendto(data, back[it])
        for it in (self.datagrams, *back):
            it.close()

    def close(self):
        self.closed = True
        for it in self.threads:
            it.join()
