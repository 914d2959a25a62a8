"""Control: the process that is a candidate for the leases of ordering and usage."""

from hickoryloom.control.process import Control, build_control

__all__ = ["Control", "build_control"]
