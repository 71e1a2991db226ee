package org.endivemux.model;

/** Holds the totals of one organisation in one class. Immutable and thread-safe. */
public record UsageLine(OrganisationId organisation, ClassName requestClass, UsageTotals totals) {}
