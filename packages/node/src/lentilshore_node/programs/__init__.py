"""The programs: they assemble the components, start the tasks and stop them.

Settings, signals and operators' calls come in; running servers go out.
"""
