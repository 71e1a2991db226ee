package org.endivemux.wire.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Finds the head of the response to a request among bytes that belong to no request.
 *
 * <p>What precedes the head may be a response to an earlier request, whole or broken off anywhere,
 * or bytes that are no response. Their own headers don't tell where they end, so every status line
 * is a possible start of the response, even within what looks like a header of another head. That
 * assumes that no header of a server quotes a status line.
 *
 * <p>Invariants: a head that was found has one status line, and each id in it is that of the
 * request. A malformed head without an id counts as the request's, be it interim or not: a server
 * that sends it is in trouble, and nothing else may follow. Immutable and thread-safe.
 */
final class ResponseHeads {
  /** More than a decoder of responses accepts. */
  private static final int MAX_HEAD_BYTES = 64 << 10;

  /** Also with a malformed status, whose response is not to be awaited any longer. */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [-+]?\\d[0-9A-Za-z]{0,5}[ \r\n]");

  private static final int MIN_STATUS_LINE_BYTES = "HTTP/1.1 2 ".length();
  private static final int MAX_STATUS_LINE_BYTES = "HTTP/1.1 +200200 ".length();
  private static final Pattern INTERIM_STATUS = Pattern.compile("1\\d\\d[ \r\n]");
  private static final int STATUS_INDEX = "HTTP/1.1 ".length();
  private static final int NOT_FOUND = -1;

  private final Pattern idHeader;

  /**
   * @param idHeader name of the header in which a response names its request
   */
  ResponseHeads(String idHeader) {
    this.idHeader = Pattern.compile("(?dim)^" + Pattern.quote(idHeader) + "[ \t]*:(.*)$");
  }

  /**
   * Skips all bytes that cannot belong to the response to a request.
   *
   * @param request id of the request; without one, the response must not name any
   * @return whether the buffer now starts with the whole head of that response
   */
  boolean skipTo(ByteBuf buffer, Optional<String> request) {
    int start = statusLine(buffer, buffer.readerIndex(), buffer.writerIndex());
    while (start != NOT_FOUND) {
      buffer.readerIndex(start);
      int end = endOfHead(buffer);
      int next = end == NOT_FOUND ? buffer.writerIndex() : end;
      int last = lastStatusLine(buffer, start, next);
      buffer.readerIndex(last);
      if (end == NOT_FOUND && buffer.readableBytes() <= MAX_HEAD_BYTES) {
        return false;
      }
      if (end != NOT_FOUND && belongsTo(request, buffer, last, end)) {
        return true;
      }
      buffer.readerIndex(next);
      start = statusLine(buffer, next, buffer.writerIndex());
    }
    int incomplete = Math.min(buffer.readableBytes(), MAX_STATUS_LINE_BYTES - 1);
    buffer.readerIndex(buffer.writerIndex() - incomplete);
    return false;
  }

  private boolean belongsTo(Optional<String> request, ByteBuf buffer, int from, int to) {
    String head = text(buffer, from, to);
    Set<String> named =
        idHeader.matcher(head).results().map(id -> id.group(1).strip()).collect(Collectors.toSet());
    boolean isNamed = named.equals(request.map(Set::of).orElse(Set.of()));
    if (isNamed && !isInterim(head)) {
      return true;
    }
    boolean isMalformed =
        !ResponseStatus.isValid(status(head)) || !FieldSection.isHead(buffer, from, to);
    return isMalformed && (isNamed || named.isEmpty());
  }

  private static boolean isInterim(String head) {
    return INTERIM_STATUS.matcher(head).region(STATUS_INDEX, head.length()).lookingAt();
  }

  private static String status(String head) {
    return head.substring(STATUS_INDEX).split("[ \r\n]", 2)[0];
  }

  /** Returns where the first whole status line in a part of the buffer starts. */
  private static int statusLine(ByteBuf buffer, int from, int to) {
    int start = buffer.indexOf(from, to, (byte) 'H');
    while (start != NOT_FOUND && start + MIN_STATUS_LINE_BYTES <= to) {
      if (isStatusLine(buffer, start, to)) {
        return start;
      }
      start = buffer.indexOf(start + 1, to, (byte) 'H');
    }
    return NOT_FOUND;
  }

  /** Returns where the last status line after a first one starts. */
  private static int lastStatusLine(ByteBuf buffer, int first, int to) {
    int last = first;
    int next = first;
    while (next != NOT_FOUND) {
      last = next;
      next = statusLine(buffer, last + 1, to);
    }
    return last;
  }

  private static boolean isStatusLine(ByteBuf buffer, int start, int to) {
    if (buffer.getByte(start + 1) != 'T') {
      return false;
    }
    int end = Math.min(to, start + MAX_STATUS_LINE_BYTES);
    return STATUS_LINE.matcher(text(buffer, start, end)).lookingAt();
  }

  /** Returns the index after the empty line that ends the head at the reader index. */
  private static int endOfHead(ByteBuf buffer) {
    int end = buffer.writerIndex();
    int lineFeed = buffer.indexOf(buffer.readerIndex(), end, (byte) '\n');
    while (lineFeed != NOT_FOUND) {
      int next = lineFeed + 1;
      if (next < end && buffer.getByte(next) == '\r') {
        next++;
      }
      if (next < end && buffer.getByte(next) == '\n') {
        return next + 1;
      }
      lineFeed = buffer.indexOf(lineFeed + 1, end, (byte) '\n');
    }
    return NOT_FOUND;
  }

  private static String text(ByteBuf buffer, int from, int to) {
    return buffer.toString(from, to - from, StandardCharsets.ISO_8859_1);
  }
}
