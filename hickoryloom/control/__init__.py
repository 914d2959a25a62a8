"""Control process: a candidate for the leases of fleet scaling and usage reporting."""

from hickoryloom.control.process import Control, build_control

__all__ = ["Control", "build_control"]
