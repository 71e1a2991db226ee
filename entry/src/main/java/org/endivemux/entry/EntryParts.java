package org.endivemux.entry;

/** Holds the handlers of an entry and what they share. Immutable and thread-safe. */
record EntryParts(
    ChatHandler chat,
    ServiceHandler services,
    OperatorHandler operators,
    EntriesHandler entries,
    Admission admission,
    Counters counters,
    Limits limits) {}
