package org.endivemux.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.endivemux.model.gateway.GatewayServer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Gives scripted responses in turn and records the calls. Confined to one request. */
final class ScriptedBackend implements BackendPort {
  private final Deque<Function<Call, Flux<Response>>> responses = new ArrayDeque<>();
  final List<Call> calls = new ArrayList<>();
  final AtomicInteger checks = new AtomicInteger();

  ScriptedBackend then(Function<Call, Flux<Response>> response) {
    responses.add(response);
    return this;
  }

  @Override
  public <T> Flux<T> send(Call call, Function<Response, Flux<T>> reader) {
    calls.add(call);
    return responses.removeFirst().apply(call).concatMap(reader);
  }

  @Override
  public Mono<Boolean> isGone(GatewayServer server) {
    checks.incrementAndGet();
    return Mono.just(false);
  }

  static Function<Call, Flux<Response>> responds(int status, boolean notRun, String... chunks) {
    return call -> {
      call.sendMarker().trySend();
      return Flux.just(response(status, notRun, bytes(chunks)));
    };
  }

  static Function<Call, Flux<Response>> breaksAfter(String... chunks) {
    return call -> {
      call.sendMarker().trySend();
      return Flux.just(
          response(200, false, bytes(chunks).concatWith(Flux.error(new IllegalStateException()))));
    };
  }

  static Flux<Response> unreachable(Call call) {
    return Flux.error(new IllegalStateException(call.server() + " refused"));
  }

  static Flux<Response> connectionReset(Call call) {
    call.sendMarker().trySend();
    return Flux.error(new IllegalStateException("reset"));
  }

  private static Response response(int status, boolean notRun, Flux<byte[]> body) {
    return new Response(
        status, new DefaultHttpHeaders(), notRun, false, false, Duration.ZERO, body);
  }

  private static Flux<byte[]> bytes(String... chunks) {
    return Flux.fromArray(chunks).map(chunk -> chunk.getBytes(StandardCharsets.UTF_8));
  }
}
