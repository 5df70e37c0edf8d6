"""The ``cowslipstep`` command-line tool for operators of a fleet."""
