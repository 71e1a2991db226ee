package org.endivemux.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import org.endivemux.entry.BackendClient.Answer;
import org.endivemux.entry.BackendClient.Call;
import org.endivemux.entry.Tries.OneTry;
import org.endivemux.routing.Assignment;
import reactor.core.publisher.Flux;

/** Holds an answer that was read to its end. The array is handed on and never changed. */
@SuppressWarnings("ArrayRecordComponent") // Bodies are handed on, not compared.
record WholeAnswer(int status, HttpHeaders headers, byte[] body) {
  private static final int MAX_BYTES = 8 << 20;

  /** Sends a request once and reads its answer to the end. */
  static Flux<WholeAnswer> send(
      BackendClient client, Work work, Assignment assignment, OneTry oneTry) {
    Call call =
        new Call(
            work.job().id(),
            assignment.server(),
            work.method(),
            work.path(),
            work.headers(),
            work.body(),
            work.job().repeatable(),
            oneTry.sent());
    return client.send(call, answer -> read(answer, work, oneTry));
  }

  private static Flux<WholeAnswer> read(Answer answer, Work work, OneTry oneTry) {
    boolean busy = answer.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    if (busy && work.job().repeatable()) {
      return Flux.error(new BackendBusyException());
    }
    oneTry.received(0);
    return answer
        .body()
        .reduceWith(ByteArrayOutputStream::new, WholeAnswer::append)
        .map(out -> new WholeAnswer(answer.status(), answer.headers(), out.toByteArray()))
        .doOnNext(whole -> oneTry.completed())
        .flux();
  }

  private static ByteArrayOutputStream append(ByteArrayOutputStream out, byte[] part) {
    if (out.size() + part.length > MAX_BYTES) {
      throw new BrokenAnswerException("The answer is longer than " + MAX_BYTES + " bytes.");
    }
    out.writeBytes(part);
    return out;
  }

  boolean isOk() {
    return status == HttpResponseStatus.OK.code();
  }
}
