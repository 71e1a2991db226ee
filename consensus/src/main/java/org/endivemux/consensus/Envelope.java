package org.endivemux.consensus;

import java.util.Optional;
import org.endivemux.model.DiskId;
import org.endivemux.model.VmId;

/**
 * Holds a message with its sender and receiver.
 *
 * <p>Invariant: with a {@code toDisk} it is only for that life of the receiver's data folder.
 * Immutable and thread-safe.
 */
public record Envelope(
    VmId from, DiskId fromDisk, VmId to, Optional<DiskId> toDisk, Message message) {}
