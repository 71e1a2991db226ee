package org.endivemux.wire.http;

import java.util.ArrayList;
import java.util.List;

/** Keeps what a codec reports. Confined to one thread. */
record RecordingListener(List<StrayBytes> strays, List<ResponseFault> faults)
    implements ExchangeListener {
  RecordingListener() {
    this(new ArrayList<>(), new ArrayList<>());
  }

  @Override
  public void strayBytes(StrayBytes bytes) {
    strays.add(bytes);
  }

  @Override
  public void responseFault(ResponseFault fault) {
    faults.add(fault);
  }
}
