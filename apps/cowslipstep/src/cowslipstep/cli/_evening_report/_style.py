"""Style sheet of the HTML report."""

STYLE = """
body { font: 15px/1.45 sans-serif; margin: 1.5em auto; max-width: 48em;
  padding: 0 1em; color: #222; }
h1 { font-size: 1.2em; }
h2 { font-size: 1.1em; margin-top: 2em; border-top: 1px solid #ddd;
  padding-top: 1em; }
h3 { font-size: 1em; font-weight: normal; color: #555; }
.answer { padding: .7em 1em; border-left: .4em solid; font-size: 1.1em; }
.answer strong { font-size: 1.8em; margin-right: .3em; }
.answer ul { margin: .4em 0 0; }
.well { border-color: #2c7a4b; background: #edf6f0; }
.unwell { border-color: #b3372f; background: #fbeeed; }
ul { padding-left: 1.2em; }
.scroll { overflow-x: auto; }
details { margin: .8em 0; }
summary { color: #555; cursor: pointer; }
table { border-collapse: collapse; font-size: .93em; }
.measures { width: 100%; }
td, th { text-align: left; padding: .25em .9em .25em 0;
  border-bottom: 1px solid #ddd; vertical-align: top;
  font-variant-numeric: tabular-nums; }
th { color: #555; font-weight: normal; }
.missed { color: #b3372f; font-weight: bold; }
svg { display: block; max-width: 100%; height: auto; }
.narrow { display: none; }
@media (max-width: 46em) {
  .wide { display: none; }
  .narrow { display: block; }
  td, th { padding-right: .5em; }
}
"""
