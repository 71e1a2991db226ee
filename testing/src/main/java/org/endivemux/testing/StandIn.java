package org.endivemux.testing;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.BiFunction;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** Serves the HTTP port of a stand-in and writes JSON responses. Stateless and thread-safe. */
final class StandIn {
  static final ObjectMapper JSON = JsonMapper.builder().build();

  private StandIn() {}

  static DisposableServer serve(int port, java.util.function.Consumer<HttpServerRoutes> routes) {
    return HttpServer.create()
        .bindAddress(() -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .route(routes)
        .bindNow();
  }

  /** Returns a handler that reads a JSON body; an empty one is read as {@code {}}. */
  static BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> json(
      BiFunction<HttpServerRequest, JsonNode, Reply> handler) {
    return (request, response) ->
        request
            .receive()
            .aggregate()
            .asString()
            .defaultIfEmpty("{}")
            .map(text -> handler.apply(request, parse(text)))
            .flatMap(reply -> send(response, reply));
  }

  static Mono<Void> send(HttpServerResponse response, Reply reply) {
    return response
        .status(reply.status())
        .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .sendString(Mono.just(write(reply.body())))
        .then();
  }

  static JsonNode parse(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      return JSON.createObjectNode();
    }
  }

  static String write(Object value) {
    try {
      return JSON.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Holds a response. Immutable. */
  record Reply(int status, Object body) {
    static Reply ok(Object body) {
      return new Reply(200, body);
    }
  }
}
