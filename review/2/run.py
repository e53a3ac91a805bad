"""Streams that must not run twice: nothing can be done but wait for their engine."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from preemption import play
from standins import run_case

if __name__ == "__main__":
    run_case(lambda record, trouble, folder: play(record, trouble, folder, resumable=False))
