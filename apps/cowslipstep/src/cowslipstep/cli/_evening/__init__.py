"""The evening page: whether a day went well, and why."""

from cowslipstep.cli._evening._html import render_html
from cowslipstep.cli._evening._page import Page, build_page
from cowslipstep.cli._evening._text import render_text
