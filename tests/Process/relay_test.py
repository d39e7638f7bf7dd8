"""Guards the relay: a cut way must let nothing pass, and a healed one must lose no byte of an open connection."""

import os
import socket
import unittest

from relay import Relay

WAIT_S = 5


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind(("127.0.0.1", 0))
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.client.bind(("127.0.0.1", 0))
        for it in (self.server, self.datagrams, self.client):
            it.settimeout(WAIT_S)
        # This process stands for the node "a" that sends.
        self.relay = Relay("b", self.server.getsockname()[1], self.datagrams.getsockname()[1],
                           lambda: {"a": os.getpid()})

    def tearDown(self):
        self.relay.close()
        for it in (self.server, self.datagrams, self.client):
            it.close()

    def test_datagrams_pass_both_ways_and_are_dropped_while_cut(self):
        address = ("127.0.0.1", self.relay.udp_port)
        self.client.sendto(b"one", address)
        data, sender = self.datagrams.recvfrom(100)
        self.assertEqual(data, b"one")
        self.datagrams.sendto(b"back", sender)
        self.assertEqual(self.client.recvfrom(100), (b"back", address))
        self.relay.cut_from.add("a")
        self.client.sendto(b"two", address)
        self.datagrams.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            self.datagrams.recvfrom(100)
        self.relay.cut_from.clear()
        self.datagrams.settimeout(WAIT_S)
        self.client.sendto(b"three", address)
        self.assertEqual(self.datagrams.recvfrom(100)[0], b"three")

    def test_bytes_are_held_back_while_cut(self):
        with socket.create_connection(("127.0.0.1", self.relay.tcp_port), WAIT_S) as connection:
            accepted, _ = self.server.accept()
            with accepted:
                accepted.settimeout(WAIT_S)
                connection.sendall(b"one")
                self.assertEqual(accepted.recv(100), b"one")
                self.relay.cut_from.add("a")
                connection.sendall(b"two")
                accepted.settimeout(0.3)
                with self.assertRaises(TimeoutError):
                    accepted.recv(100)
                self.relay.cut_from.clear()
                accepted.settimeout(WAIT_S)
                self.assertEqual(accepted.recv(100), b"two")

    def test_new_connection_waits_while_cut(self):
        self.relay.cut_from.add("a")
        with socket.create_connection(("127.0.0.1", self.relay.tcp_port), WAIT_S):
            self.server.settimeout(0.3)
            with self.assertRaises(TimeoutError):
                self.server.accept()

    def test_end_of_connection_is_passed_on(self):
        connection = socket.create_connection(("127.0.0.1", self.relay.tcp_port), WAIT_S)
        accepted, _ = self.server.accept()
        connection.close()
        with accepted:
            accepted.settimeout(WAIT_S)
            self.assertEqual(accepted.recv(100), b"")


if __name__ == "__main__":
    unittest.main()
