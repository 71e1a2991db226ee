package org.endivemux.wire.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Finds the head of the response to a request among bytes that belong to no request.
 *
 * <p>What precedes the head may be a response to an earlier request, whole or broken off anywhere,
 * or bytes that are no response. Their own headers don't tell where they end, so every status line
 * is a possible start of the response, even within what looks like a header of another head.
 *
 * <p>Invariants: a head that was found has one status line, and each id in it is that of the
 * request. Immutable and thread-safe.
 */
final class ResponseHeads {
  /** More than a decoder of responses accepts. */
  private static final int MAX_HEAD_BYTES = 64 << 10;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9]\\d\\d[ \r\n]");
  private static final int STATUS_LINE_BYTES = "HTTP/1.1 200 ".length();
  private static final int STATUS_INDEX = "HTTP/1.1 ".length();
  private static final int NOT_FOUND = -1;

  private final Pattern idHeader;

  /**
   * @param idHeader name of the header in which a response names its request
   */
  ResponseHeads(String idHeader) {
    this.idHeader = Pattern.compile("(?dim)^" + Pattern.quote(idHeader) + ":[ \t]*(.*?)[ \t]*\r?$");
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
      boolean isWhole = end != NOT_FOUND;
      if (!isWhole && buffer.readableBytes() <= MAX_HEAD_BYTES) {
        return false;
      }
      int next = statusLine(buffer, start + 1, isWhole ? end : buffer.writerIndex());
      if (next == NOT_FOUND && isWhole) {
        if (belongsTo(request, text(buffer, start, end))) {
          return true;
        }
        buffer.readerIndex(end);
        next = statusLine(buffer, end, buffer.writerIndex());
      }
      start = next;
    }
    int incomplete = Math.min(buffer.readableBytes(), STATUS_LINE_BYTES - 1);
    buffer.readerIndex(buffer.writerIndex() - incomplete);
    return false;
  }

  private boolean belongsTo(Optional<String> request, String head) {
    if (head.charAt(STATUS_INDEX) == '1') {
      return false;
    }
    Set<String> named =
        idHeader.matcher(head).results().map(id -> id.group(1)).collect(Collectors.toSet());
    return named.equals(request.map(Set::of).orElse(Set.of()));
  }

  /** Returns where the first whole status line in a part of the buffer starts. */
  private static int statusLine(ByteBuf buffer, int from, int to) {
    int start = buffer.indexOf(from, to, (byte) 'H');
    while (start != NOT_FOUND && start + STATUS_LINE_BYTES <= to) {
      if (isStatusLine(buffer, start)) {
        return start;
      }
      start = buffer.indexOf(start + 1, to, (byte) 'H');
    }
    return NOT_FOUND;
  }

  private static boolean isStatusLine(ByteBuf buffer, int start) {
    if (buffer.getByte(start + 1) != 'T') {
      return false;
    }
    Matcher matcher = STATUS_LINE.matcher(text(buffer, start, start + STATUS_LINE_BYTES));
    return matcher.matches();
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
