package org.endivemux.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.endivemux.model.BackendServerId;
import org.endivemux.model.Declaration.BackendServer;
import org.endivemux.model.FailureDomain;
import org.endivemux.model.RequestId;
import org.endivemux.model.ServerKind;
import org.endivemux.wire.SendMarker;

/** Creates calls to one backend server for tests. Stateless. */
final class TestCalls {
  private TestCalls() {}

  static BackendClient.Call call(String address, String id, byte[] body, boolean isRepeatable) {
    return new BackendClient.Call(
        new RequestId(id),
        new BackendServer(
            new BackendServerId("b-1"),
            address,
            new FailureDomain("d0"),
            ServerKind.STEADY,
            List.of("till"),
            1,
            0,
            false),
        HttpMethod.POST,
        "/",
        new DefaultHttpHeaders(),
        body,
        isRepeatable,
        new SendMarker());
  }
}
