"""Streams that may be resumed, as on all our sheets: a run is given up although no other one is to be had."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from preemption import play
from standins import run_case

if __name__ == "__main__":
    run_case(lambda record, trouble, folder: play(record, trouble, folder, resumable=True))
