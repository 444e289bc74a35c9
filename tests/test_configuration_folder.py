"""Tests of reading, validating and merging the operators' folder."""

import pathlib
import tempfile
import unittest

from endivesill import errors
from endivesill.configuration import read_folder
from endivesill.configuration.folder import read_base_revision, write_base_revision

FAULTY_PLACES = """\
region = lost
[data-centre a]
region = r
[data-centre a]
taken_out = perhaps
"""
FAULTY_SERVICES = """\
[service llm]
protocol = engine
queue_limit = -1
colour = red

[target e1]
service = nosuch
url = http://e1
data_centre = a
this line is no key
"""


class FolderCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)

    def write(self, name, text):
        (self.path / name).write_text(text, encoding="utf-8")


class FindingsTest(FolderCase):
    def test_all_faults_of_all_files_are_reported_with_file_and_line(self):
        self.write("10-places.ini", FAULTY_PLACES)
        self.write("20-services.ini", FAULTY_SERVICES)
        with self.assertRaises(errors.FindingsError) as caught:
            read_folder(str(self.path))
        found = {
            (pathlib.Path(f.file).name, f.line): f.text
            for f in caught.exception.findings
        }
        expected = {
            ("10-places.ini", 1),
            ("10-places.ini", 4),
            ("10-places.ini", 5),
            ("20-services.ini", 3),
            ("20-services.ini", 4),
            ("20-services.ini", 6),
            ("20-services.ini", 10),
        }
        self.assertEqual(expected, set(found))
        self.assertIn("no service nosuch", found["20-services.ini", 6])

    def test_the_name_default_has_no_special_meaning(self):
        self.write("1.ini", "[DEFAULT]\nregion = r\n[data-centre a]\nregion = r\n")
        with self.assertRaises(errors.FindingsError) as caught:
            read_folder(str(self.path))
        self.assertEqual([1], [f.line for f in caught.exception.findings])

    def test_two_organisations_with_one_key_are_found(self):
        key = "key_sha256 = " + "0" * 64
        self.write("1.ini", f"[organisation a]\n{key}\n[organisation b]\n{key}\n")
        with self.assertRaises(errors.FindingsError) as caught:
            read_folder(str(self.path))
        self.assertEqual([3], [f.line for f in caught.exception.findings])

    def test_an_empty_folder_is_a_finding(self):
        with self.assertRaises(errors.FindingsError):
            read_folder(str(self.path))


class MergeTest(FolderCase):
    def test_later_files_override_and_each_value_keeps_its_origin(self):
        self.write("10.ini", "[service s]\nprotocol = engine\npriority = 1\n")
        self.write("20.ini", "\n[service s]\npriority = 3\n")
        folder = read_folder(str(self.path))
        self.assertEqual(3, folder.documents["service/s"]["priority"])
        origins = {"protocol": "10.ini:2", "priority": "20.ini:3"}
        self.assertEqual(origins, folder.origin_texts("service/s"))

    def test_the_change_has_only_the_differences(self):
        self.write("1.ini", "[data-centre a]\nregion = r\n[data-centre b]\nregion = s")
        folder = read_folder(str(self.path))
        before = {"data-centre/a": {"region": "r"}, "data-centre/c": {"region": "r"}}
        change = folder.change_from(before)
        self.assertEqual({"data-centre/b": {"region": "s"}}, change.changed)
        self.assertEqual(("data-centre/c",), change.removed)

    def test_the_base_revision_is_kept_beside_the_files(self):
        self.assertIsNone(read_base_revision(str(self.path)))
        write_base_revision(str(self.path), 12)
        self.assertEqual(12, read_base_revision(str(self.path)))
