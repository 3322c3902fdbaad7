"""A small embedded key-value store: append-only segments, an in-memory index, group commit, compaction.

``frame``, ``manifest``, ``index`` and ``plan`` define formats and decisions and do no I/O; ``disk`` accesses
files. ``segment_log``, ``opening``, ``reader`` and ``compaction`` each implement one task on the files.
``engine`` combines them into a store for a single thread; ``writer`` runs that store in a dedicated thread
next to an event loop.
"""
