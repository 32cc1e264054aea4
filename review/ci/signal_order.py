"""Shows why SignalsArriveWhileSettingsAreRead.ASignalDuringAStopIsLogged fails at times.

Sends SIGSTOP, SIGTERM, SIGINT and SIGCONT to a child that waits in sigwait(), as the test does to a node, and counts the
signal that the child takes first. The test expects SIGINT. kill(SIGSTOP) returns before the child has stopped, so the
child can still take SIGTERM before SIGINT is sent. With --wait the parent first waits until the child has stopped.
Run it beside busy processes. usage: signal_order.py [--wait] [COUNT]
"""

import os
import signal
import sys
import time

SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def first_signal(wait):
    ready, tell = os.pipe()
    pid = os.fork()
    if pid == 0:
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        os.write(tell, b"r")
        os._exit(signal.sigwait(SIGNALS))
    os.read(ready, 1)
    os.close(ready)
    os.close(tell)
    time.sleep(0.002)
    os.kill(pid, signal.SIGSTOP)
    if wait:
        os.waitpid(pid, os.WUNTRACED)
    for it in (signal.SIGTERM, signal.SIGINT, signal.SIGCONT):
        os.kill(pid, it)
    return os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])


def main(arguments):
    wait = "--wait" in arguments
    count = int(next((it for it in arguments if it != "--wait"), 2000))
    taken = [first_signal(wait) for _ in range(count)]
    print(f"wait={wait}: SIGINT first {taken.count(signal.SIGINT)}, SIGTERM first {taken.count(signal.SIGTERM)}"
          f" of {count}")


if __name__ == "__main__":
    main(sys.argv[1:])
