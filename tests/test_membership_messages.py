"""Tests of the encoding, authentication and transport of datagrams."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from endivesill import errors
from endivesill.membership import UdpDatagramTransport
from endivesill.membership.messages import (
    Datagram,
    DatagramKind,
    Health,
    Phase,
    TargetNotice,
    VmUpdate,
    decode_datagram,
    encode_datagram,
)

NAMES = st.text(min_size=1, max_size=12)
VM_UPDATES = st.builds(
    VmUpdate,
    NAMES,
    NAMES,
    st.integers(0, 2**40),
    st.sampled_from(Phase),
    st.just(Health.OK),
    NAMES,
    NAMES,
    NAMES,
    st.sampled_from([("entry",), ("control",), ("entry", "control")]),
)
NOTICES = st.builds(
    TargetNotice,
    NAMES,
    st.integers(0, 99),
    NAMES,
    st.booleans(),
    st.none() | st.integers(0, 99).map(float),
)


class DatagramJsonTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.sampled_from(DatagramKind),
        st.integers(0, 2**31),
        NAMES,
        st.lists(VM_UPDATES | NOTICES, max_size=4),
    )
    def test_decoding_reverses_encoding(self, kind, sequence, sender, updates):
        datagram = Datagram(kind, sequence, sender, "x", 7, tuple(updates))
        self.assertEqual(datagram, decode_datagram(encode_datagram(datagram)))

    def test_suspect_vm_is_encoded_in_the_short_form(self):
        update = VmUpdate("v", "i", 3, Phase.ALIVE, Health.SUSPECT, "h:1", "a", "r")
        datagram = Datagram(DatagramKind.GOSSIP, 0, "w", updates=(update,))
        decoded = decode_datagram(encode_datagram(datagram)).updates[0]
        self.assertEqual(update.rank(), decoded.rank())
        self.assertEqual("", decoded.address)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
    def test_invalid_data_are_an_error(self, data):
        with self.assertRaises(errors.PeerMessageError):
            decode_datagram(data)

    def test_invalid_updates_are_errors(self):
        for row in (
            '["v","a","b",1,9]',
            '["v","a","b",1,1,"h"]',
            '["t","x"]',
            "3",
            '["x","a","b",1,1]',
            '["v","a","b",1,-1]',
            '["v","a","b",Infinity,1]',
            '["t","a",Infinity,"b",1]',
            '["t","a",1,"b",1,NaN]',
            '["v",["a"],"b",1,1]',
            '"v1111"',
        ):
            text = f'["g",0,"w","",0,{row}]'
            with self.assertRaises(errors.PeerMessageError, msg=row):
                decode_datagram(text.encode())

    def test_a_datagram_whose_numbers_are_no_integers_is_an_error(self):
        for text in ('["p",Infinity,"w","",0]', '["p",0,"w","",NaN]'):
            with self.assertRaises(errors.PeerMessageError, msg=text):
                decode_datagram(text.encode())


class ChecksumTest(unittest.TestCase):
    def test_equal_changes_of_two_vms_do_not_cancel_out(self):
        digests = []
        for incarnation, phase in ((1000, Phase.JOINING), (1001, Phase.ALIVE)):
            one, two = (
                VmUpdate(name, "instance", incarnation, phase, Health.OK)
                for name in ("vm-1", "vm-2")
            )
            digests.append(one.checksum() ^ two.checksum())
        self.assertNotEqual(digests[0], digests[1])


class UdpTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, *keys):
        transport = UdpDatagramTransport("127.0.0.1:0", keys)
        received = asyncio.Queue()
        await transport.open(lambda *pair: received.put_nowait(pair))
        self.addCleanup(transport.close)
        return transport, received

    async def test_datagrams_with_a_shared_key_are_received_with_their_source(self):
        one, _ = await self.open("key-one-0123456789")
        two, received = await self.open("key-new-0123456789", "key-one-0123456789")
        one.send(two.address, b"body")
        self.assertEqual((one.address, b"body"), await received.get())

    async def test_datagrams_with_another_key_or_none_are_dropped(self):
        one, _ = await self.open("key-one-0123456789")
        bad, _ = await self.open("key-bad-0123456789")
        two, received = await self.open("key-one-0123456789")
        bad.send(two.address, b"forged")
        bad._endpoint.sendto(b"short", ("127.0.0.1", int(two.address.split(":")[1])))
        one.send(two.address, b"true")
        self.assertEqual((one.address, b"true"), await received.get())
        self.assertTrue(received.empty())
