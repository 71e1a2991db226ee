package org.endivemux.daemon;

import java.util.Arrays;
import org.endivemux.wire.MessagePackCodec;
import org.endivemux.wire.WireException;

/**
 * Encodes one-way messages between VMs, prefixed with a byte for their kind. Stateless and
 * thread-safe.
 */
final class PeerPayload {
  static final byte CONSENSUS = 1;
  static final byte DIGEST = 2;

  private PeerPayload() {}

  static byte[] encode(byte kind, Object message) {
    byte[] body = MessagePackCodec.encode(message);
    byte[] payload = new byte[body.length + 1];
    payload[0] = kind;
    System.arraycopy(body, 0, payload, 1, body.length);
    return payload;
  }

  static byte kindOf(byte[] payload) {
    if (payload.length == 0) {
      throw new WireException("A message between VMs is empty; it has no kind.");
    }
    return payload[0];
  }

  static <T> T decode(byte[] payload, Class<T> type) {
    return MessagePackCodec.decode(Arrays.copyOfRange(payload, 1, payload.length), type);
  }
}
