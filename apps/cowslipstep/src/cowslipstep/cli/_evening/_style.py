"""Style sheet of the page."""

STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 62em;
  padding: 0 1em; color: #222; }
h1 { font-size: 1.35em; }
h2 { font-size: 1.1em; margin-top: 2em; }
h3 { font-size: 1em; font-weight: normal; color: #555; }
.answer { padding: .7em 1em; border-left: .4em solid; }
.well { border-color: #2c7a4b; background: #edf6f0; }
.unwell { border-color: #b3372f; background: #fbeeed; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; }
td, th { text-align: left; padding: .2em .9em .2em 0;
  border-bottom: 1px solid #ddd; vertical-align: top;
  font-variant-numeric: tabular-nums; }
.missed { color: #b3372f; font-weight: bold; }
svg { max-width: 100%; height: auto; }
"""
