package org.endivemux.model.gateway;

import java.util.OptionalInt;

/**
 * Holds what a backend server states of its load in a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running requests that run
 * @param waiting requests that wait at the server
 * @param slots requests that may run at the same time
 * @param workPercent how long work takes there now, 100 is as usual; empty if the server does not
 *     say, positive otherwise
 */
public record ServerReport(int running, int waiting, int slots, OptionalInt workPercent) {}
