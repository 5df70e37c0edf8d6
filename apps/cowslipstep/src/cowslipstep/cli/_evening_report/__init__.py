"""The evening report: whether a day reached its targets, and why."""

from cowslipstep.cli._evening_report._html import render_html
from cowslipstep.cli._evening_report._report import EveningReport, build_report
from cowslipstep.cli._evening_report._text import render_text
