package org.endivemux.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * Writes to files, again and again while the disk refuses it.
 *
 * <p>Invariant: a refused write is undone before it is tried again, so that a file never holds a
 * part of it followed by something else. Immutable; as thread-safe as its parts.
 */
record Writes(ToChannel toChannel, WriteFailureHandler refusals) {
  /** Writes bytes at the position of a channel; may write fewer than there are. */
  @FunctionalInterface
  interface ToChannel {
    void write(FileChannel channel, ByteBuffer bytes) throws IOException;
  }

  /** Does something to a file. */
  @FunctionalInterface
  interface Step {
    void run() throws IOException;
  }

  /** Writes all bytes from a position on and leaves the channel's position behind them. */
  void write(Path file, FileChannel channel, long position, ByteBuffer bytes) {
    untilTaken(
        file,
        () -> {
          while (bytes.hasRemaining()) {
            toChannel.write(channel, bytes);
          }
        },
        () -> {
          channel.truncate(position);
          channel.position(position);
          bytes.rewind();
        });
  }

  /** Runs a step until it is taken; an undo that fails is not tried again. */
  void untilTaken(Path file, Step step, Step undo) {
    int tries = 0;
    while (!isTaken(file, step, undo, tries + 1)) {
      tries++;
    }
    if (tries > 0) {
      refusals.onWriteRecovered(file, tries);
    }
  }

  private boolean isTaken(Path file, Step step, Step undo, int tries) {
    try {
      step.run();
      return true;
    } catch (IOException refused) {
      undo(file, undo);
      refusals.onWriteFailed(file, tries, refused);
      return false;
    }
  }

  private static void undo(Path file, Step undo) {
    try {
      undo.run();
    } catch (IOException e) {
      throw new StorageException("The file " + file + " keeps a part of a refused write.", e);
    }
  }
}
