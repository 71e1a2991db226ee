package org.endivemux.wire.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks the bytes of a body in chunks: the lines with the sizes of the chunks, and the trailers.
 *
 * <p>Invariant: a body that was checked to its end has only sizes of hexadecimal digits, chunks of
 * the stated sizes and well-formed trailers. The data is skipped. Not thread-safe.
 */
final class ChunkedBody {
  /** Any number of so many digits is a positive long. */
  private static final int MAX_SIZE_DIGITS = 15;

  private static final int HEXADECIMAL = 16;

  private enum State {
    SIZE,
    EXTENSION,
    SIZE_LINE_FEED,
    DATA,
    DATA_END,
    DATA_LINE_FEED,
    TRAILERS
  }

  private final FieldSection trailers = FieldSection.ofTrailers();
  private State state = State.SIZE;
  private int sizeDigits;

  /** While in a size, its value so far; while in data, how many bytes are left of it. */
  private long size;

  /**
   * Checks the next bytes, up to the end of the body.
   *
   * @return the index after the last byte that belongs to the body
   * @throws ResponseFaultException if a line is malformed
   */
  int check(ByteBuf buffer, int from, int to) {
    int index = from;
    while (index < to && state != State.TRAILERS) {
      index = state == State.DATA ? skipData(index, to) : checkLine(buffer.getByte(index), index);
    }
    return state == State.TRAILERS ? trailers.check(buffer, index, to) : index;
  }

  private int skipData(int from, int to) {
    long skipped = Math.min(size, to - from);
    size -= skipped;
    state = size == 0 ? State.DATA_END : State.DATA;
    return from + (int) skipped;
  }

  private int checkLine(byte value, int index) {
    state =
        switch (state) {
          case SIZE -> afterSize(value);
          case EXTENSION -> afterExtension(value);
          case SIZE_LINE_FEED -> afterSizeLine(value);
          case DATA_END -> afterData(value);
          case DATA_LINE_FEED -> afterDataLine(value);
          case DATA, TRAILERS -> throw new IllegalStateException("Not in a line: " + state);
        };
    return index + 1;
  }

  private State afterSize(byte value) {
    int digit = Character.digit(value, HEXADECIMAL);
    if (digit < 0) {
      return sizeDigits == 0 ? malformed() : afterExtension(value, value == ';' || isBlank(value));
    }
    sizeDigits++;
    if (sizeDigits > MAX_SIZE_DIGITS) {
      return malformed();
    }
    size = size * HEXADECIMAL + digit;
    return State.SIZE;
  }

  private State afterExtension(byte value) {
    return afterExtension(value, isBlank(value) || value < 0 || (value > ' ' && value != 0x7f));
  }

  private State afterExtension(byte value, boolean isExtension) {
    return switch (value) {
      case '\r' -> State.SIZE_LINE_FEED;
      case '\n' -> afterSizeLine(value);
      default -> isExtension ? State.EXTENSION : malformed();
    };
  }

  private State afterSizeLine(byte value) {
    if (value != '\n') {
      return malformed();
    }
    sizeDigits = 0;
    return size == 0 ? State.TRAILERS : State.DATA;
  }

  private State afterData(byte value) {
    return value == '\r' ? State.DATA_LINE_FEED : afterDataLine(value);
  }

  private static State afterDataLine(byte value) {
    return value == '\n' ? State.SIZE : malformed();
  }

  private static boolean isBlank(byte value) {
    return value == ' ' || value == '\t';
  }

  private static State malformed() {
    throw new ResponseFaultException(
        ResponseFault.Reason.MALFORMED_LINE, "A line between chunks of the response is malformed.");
  }
}
