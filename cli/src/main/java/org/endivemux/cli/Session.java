package org.endivemux.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/**
 * Calls the system, trying its VMs in turn.
 *
 * <p>Every call is idempotent by an id that the command chose, so that trying the next VM after a
 * lost answer is safe. Used by one thread.
 */
final class Session {
  private static final ObjectMapper JSON = JsonMapper.builder().addModule(new Jdk8Module()).build();
  private static final int CONNECT_MILLIS = 1000;
  private static final Duration LIMIT = Duration.ofSeconds(12);
  private static final int FIRST_ERROR = 400;

  private final List<String> servers;
  private final Optional<String> key;

  Session(List<String> servers, Optional<String> key) {
    this.servers = List.copyOf(servers);
    this.key = key;
  }

  JsonNode get(String path) {
    return call(HttpMethod.GET, path, Optional.empty());
  }

  JsonNode post(String path, Object body) {
    return call(HttpMethod.POST, path, Optional.of(body));
  }

  JsonNode delete(String path) {
    return call(HttpMethod.DELETE, path, Optional.empty());
  }

  /** Returns the same session, but for one VM only. */
  Session only(String server) {
    return new Session(List.of(server), key);
  }

  private JsonNode call(HttpMethod method, String path, Optional<Object> body) {
    Reply reply =
        servers.stream()
            .flatMap(server -> tryServer(server, method, path, body).stream())
            .filter(got -> !got.isElsewhere())
            .findFirst()
            .orElseThrow(
                () ->
                    new CliException(
                        ExitStatus.UNREACHABLE,
                        "None of " + servers + " answered; check --servers and the VMs."));
    if (reply.status() >= FIRST_ERROR) {
      JsonNode error = reply.body().path("error");
      throw new CliException(
          ExitStatus.REFUSED,
          error.path("reason").asText("UNKNOWN")
              + ": "
              + error.path("message").asText("")
              + " See "
              + error.path("docs").asText("docs/reasons")
              + " (request "
              + error.path("request_id").asText("unknown")
              + ").");
    }
    return reply.body();
  }

  private Optional<Reply> tryServer(
      String server, HttpMethod method, String path, Optional<Object> body) {
    try {
      return Optional.ofNullable(send(server, method, path, body).block(LIMIT));
    } catch (RuntimeException e) {
      System.err.println("event=try_next server=" + server + " cause=\"" + e.getMessage() + "\"");
      return Optional.empty();
    }
  }

  private Mono<Reply> send(String server, HttpMethod method, String path, Optional<Object> body) {
    return HttpClient.create()
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .headers(
            headers -> {
              key.ifPresent(secret -> headers.set("Authorization", "Bearer " + secret));
              headers.set("Content-Type", "application/json");
            })
        .request(method)
        .uri("http://" + server + path)
        .send(ByteBufFlux.fromString(Mono.justOrEmpty(body).map(Session::write)))
        .responseSingle(
            (response, content) ->
                content
                    .asString()
                    .defaultIfEmpty("{}")
                    .map(text -> new Reply(response.status().code(), read(text))));
  }

  private static String write(Object body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("A request could not be written as JSON.", e);
    }
  }

  private static JsonNode read(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new CliException(ExitStatus.UNREACHABLE, "The answer is no JSON: " + text);
    }
  }

  private record Reply(int status, JsonNode body) {
    /** Returns whether another VM may do better. */
    boolean isElsewhere() {
      String reason = body.path("error").path("reason").asText();
      return Stream.of("STALE_STATE", "DRAINING", "CONTROL_UNAVAILABLE").anyMatch(reason::equals);
    }
  }
}
