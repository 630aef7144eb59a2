"""Child processes of tests and the demo; the kernel kills them with their parent."""

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from datetime import timedelta
from pathlib import Path
from typing import Any

POLL_INTERVAL_S = 0.02
LOG_TAIL_CHARACTERS = 2000
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None)


class StartError(Exception):
    """A process ended early, or a condition did not hold in time."""


def _request_kill_on_parent_exit() -> None:
    # Without this, the children of a launcher that gets SIGKILL would keep running.
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout: timedelta, description: str
) -> None:
    """Poll a condition.

    :param condition: coroutine function that returns True once it holds.
    :param timeout: longest time to wait.
    :param description: name of the condition in the error message.
    :raises StartError: the condition did not hold in time.
    """
    end = time.monotonic() + timeout.total_seconds()
    while not await condition():
        if time.monotonic() >= end:
            seconds = timeout.total_seconds()
            raise StartError(f"not reached within {seconds:g} s: {description}")
        await asyncio.sleep(POLL_INTERVAL_S)


async def run_all(calls: Iterable[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Run coroutines concurrently; if one fails, cancel the others before raising.

    :returns: results in the order of the coroutines.
    """
    tasks = [asyncio.ensure_future(call) for call in calls]
    try:
        return await asyncio.gather(*tasks)
    except BaseException:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        raise


class ManagedProcess:
    """One child process; signals go to its own process id only.

    :param name: name in error messages.
    :param module: Python module to run.
    :param arguments: arguments of the module.
    :param log_file: file to which standard output and error are appended.
    :param environment: variables added to the environment of this process.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        log_file: Path,
        environment: dict[str, str] | None = None,
    ):
        self.name = name
        self.log_file = log_file
        with log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
                env=os.environ | (environment or {}),
                preexec_fn=_request_kill_on_parent_exit,
            )

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while the process runs."""
        return self._process.poll()

    @property
    def running(self) -> bool:
        """Whether the process has not ended; a paused process counts as running."""
        return self.exit_code is None

    def _signal(self, number: signal.Signals) -> None:
        if self.running:
            self._process.send_signal(number)

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP."""
        self._signal(signal.SIGHUP)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    async def wait(self, timeout: timedelta) -> int:
        """Wait until the process has ended.

        :param timeout: longest time to wait.
        :returns: exit code.
        :raises StartError: it still runs after the timeout.
        """

        async def has_ended() -> bool:
            return not self.running

        await wait_until(has_ended, timeout, f"end of {self.name}")
        assert self.exit_code is not None
        return self.exit_code

    def read_log(self) -> str:
        """Return the output so far; undecodable bytes are replaced."""
        return self.log_file.read_text(errors="replace")

    def read_log_tail(self) -> str:
        """Return the end of the output, for error messages."""
        return self.read_log()[-LOG_TAIL_CHARACTERS:]

    def read_file_if_present(self, path: Path) -> bytes:
        """Read the ready file of the process.

        :param path: file that it writes once it is ready.
        :returns: content of the file, empty if it does not exist yet.
        :raises StartError: the process has ended.
        """
        if not self.running:
            text = self.read_log_tail()
            raise StartError(f"{self.name} ended with {self.exit_code}: {text}")
        return path.read_bytes() if path.exists() else b""

    async def wait_for_file(self, path: Path, timeout: timedelta) -> bytes:
        """Wait for the ready file of the process.

        :param path: file that it writes once it is ready.
        :param timeout: longest time to wait.
        :returns: content of the file.
        :raises StartError: the process ended, or the file was not written in time.
        """
        content = b""

        async def is_present() -> bool:
            nonlocal content
            content = self.read_file_if_present(path)
            return bool(content)

        await wait_until(is_present, timeout, f"ready file of {self.name}")
        return content
