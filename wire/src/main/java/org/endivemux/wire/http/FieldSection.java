package org.endivemux.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.BitSet;

/**
 * Checks the bytes of a head or of trailers: lines up to and including the first empty one.
 *
 * <p>The decoder of the HTTP library cuts the name of a field at its first blank and takes a line
 * without a colon for a name, so that its fields no longer show what the server sent. Invariants: a
 * section that was checked to its end has only fields whose name is a token that its colon follows
 * at once, no folded line, and no control character but the tabs in values and the line ends. Not
 * thread-safe.
 */
final class FieldSection implements ByteProcessor {
  private static final String TOKEN_CHARACTERS =
      "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

  private static final BitSet TOKEN = new BitSet();

  static {
    TOKEN_CHARACTERS.chars().forEach(TOKEN::set);
  }

  private static final int NOT_STOPPED = -1;

  private enum State {
    /** Before the status line, where the HTTP library skips blanks and control characters. */
    LEADING_BLANKS,
    LINE_START,
    NAME,
    /** In the value of a field, or in the status line. */
    TEXT,
    END
  }

  private State state;
  private boolean followsCarriageReturn;

  private FieldSection(State state) {
    this.state = state;
  }

  /** Returns a check of a status line and the fields that follow it. */
  static FieldSection ofHead() {
    return new FieldSection(State.LEADING_BLANKS);
  }

  /** Returns a check of fields alone. */
  static FieldSection ofTrailers() {
    return new FieldSection(State.LINE_START);
  }

  /** Returns whether a part of a buffer is a head without a malformed line. */
  static boolean isHead(ByteBuf buffer, int from, int to) {
    FieldSection head = ofHead();
    try {
      head.check(buffer, from, to);
      return head.isAtEnd();
    } catch (ResponseFaultException e) {
      return false;
    }
  }

  /** Returns whether the empty line has been checked. */
  boolean isAtEnd() {
    return state == State.END;
  }

  /**
   * Checks the next bytes, up to the end of the section.
   *
   * @return the index after the last byte that belongs to the section
   * @throws ResponseFaultException if a line is malformed
   */
  int check(ByteBuf buffer, int from, int to) {
    if (isAtEnd()) {
      return from;
    }
    int last = buffer.forEachByte(from, to - from, this);
    return last == NOT_STOPPED ? to : last + 1;
  }

  @Override
  public boolean process(byte value) {
    int character = value & 0xff;
    if (state == State.LEADING_BLANKS) {
      state = isBlankOrControl(character) ? State.LEADING_BLANKS : State.TEXT;
      return true;
    }
    if (character == '\n') {
      endLine();
      return state != State.END;
    }
    if (followsCarriageReturn) {
      throw malformed("A carriage return does not end a line of the response.");
    }
    if (character == '\r' && state != State.NAME) {
      followsCarriageReturn = true;
      return true;
    }
    state = next(character);
    return true;
  }

  private void endLine() {
    if (state == State.NAME) {
      throw malformed("A line of the response has no colon.");
    }
    state = state == State.LINE_START ? State.END : State.LINE_START;
    followsCarriageReturn = false;
  }

  private State next(int character) {
    if (state == State.TEXT) {
      if (isControl(character)) {
        throw malformed("A line of the response has a control character.");
      }
      return State.TEXT;
    }
    if (TOKEN.get(character)) {
      return State.NAME;
    }
    if (state == State.NAME && character == ':') {
      return State.TEXT;
    }
    throw malformed("The name of a field of the response is not a token.");
  }

  private static boolean isBlankOrControl(int character) {
    return character <= ' ' || character == 0x7f;
  }

  private static boolean isControl(int character) {
    return (character < ' ' && character != '\t') || character == 0x7f;
  }

  private static ResponseFaultException malformed(String message) {
    return new ResponseFaultException(ResponseFault.Reason.MALFORMED_LINE, message);
  }
}
