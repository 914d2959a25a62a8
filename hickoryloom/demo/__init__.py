"""Complete example deployments in one process, with stand-ins and real HTTP on loopback."""

from hickoryloom.demo.deployment import Deployment
from hickoryloom.demo.scenario import run_scenario
from hickoryloom.demo.summary import render_summary

__all__ = ["Deployment", "render_summary", "run_scenario"]
