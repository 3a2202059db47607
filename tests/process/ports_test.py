"""Guards against two tests of one machine starting programs on the same port:
the second program then ends, or its test talks to a program of the first."""

import os
import subprocess
import sys
import unittest

from ports import free_port

# So few that processes that don't know of each other choose the same ones.
FEW_PORTS = range(14900, 14960)
PROCESSES = 4
PORTS_OF_EACH = 10
TAKE_SOME = f"""
import sys
from ports import free_port
for _ in range({PORTS_OF_EACH}):
    print(free_port(range({FEW_PORTS.start}, {FEW_PORTS.stop})))
sys.stdout.flush()
sys.stdin.read()  # Keeps the ports until the test has read all.
"""


class FreePortTest(unittest.TestCase):
    def test_processes_that_choose_at_the_same_time_get_different_ports(self):
        children = [
            subprocess.Popen([sys.executable, "-B", "-c", TAKE_SOME], text=True,
                             stdin=subprocess.PIPE, stdout=subprocess.PIPE,
                             cwd=os.path.dirname(os.path.abspath(__file__)))
            for _ in range(PROCESSES)
        ]
        ports = []
        for child in children:
            ports += [child.stdout.readline().strip() for _ in range(PORTS_OF_EACH)]
        for child in children:
            child.communicate()
        self.assertNotIn("", ports)
        self.assertEqual(len(set(ports)), len(ports))

    def test_one_process_gets_no_port_twice_before_it_is_bound(self):
        ports = [free_port() for _ in range(100)]
        self.assertEqual(len(set(ports)), len(ports))


if __name__ == "__main__":
    unittest.main()
