package org.endivemux.control.state;

import org.endivemux.control.state.Command.OpenOrder;

/** Order of backend servers from the platform. Immutable and thread-safe. */
public record Order(OpenOrder intent, OrderState state, String detail) {}
