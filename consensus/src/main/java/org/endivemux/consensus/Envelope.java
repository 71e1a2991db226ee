package org.endivemux.consensus;

import java.util.Optional;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Holds a message with its sender and receiver.
 *
 * <p>If {@code toDisk} is present, the message is only for a receiver with that disk id. Immutable
 * and thread-safe.
 */
public record Envelope(
    VmId from, DiskId fromDisk, VmId to, Optional<DiskId> toDisk, Message message) {}
