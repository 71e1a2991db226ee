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
import org.endivemux.wire.http.ExchangeCodec;
import org.endivemux.wire.http.ExchangeListener;
import org.endivemux.wire.http.ResponseFault;
import org.endivemux.wire.http.StrayBytes;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Calls the system; attempts its VMs in turn.
 *
 * <p>Every call is idempotent (a call that creates something carries an id that the command chose),
 * so that it is safe to retry it at the next VM after a lost response. Used by one thread.
 */
final class Session {
  private static final ObjectMapper JSON = JsonMapper.builder().addModule(new Jdk8Module()).build();
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(12);
  private static final int MIN_ERROR_STATUS = 400;

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

  /** Returns a session with the same key that calls only the given VM. */
  Session forServer(String server) {
    return new Session(List.of(server), key);
  }

  private JsonNode call(HttpMethod method, String path, Optional<Object> body) {
    Reply reply =
        servers.stream()
            .flatMap(server -> attempt(server, method, path, body).stream())
            .filter(received -> !received.shouldTryNextServer())
            .findFirst()
            .orElseThrow(
                () ->
                    new CliException(
                        ExitStatus.UNREACHABLE,
                        "None of " + servers + " responded; check --servers and the VMs."));
    if (reply.status() >= MIN_ERROR_STATUS) {
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

  private Optional<Reply> attempt(
      String server, HttpMethod method, String path, Optional<Object> body) {
    try {
      return Optional.ofNullable(send(server, method, path, body).block(CALL_TIMEOUT));
    } catch (RuntimeException e) {
      System.err.println("event=try_next server=" + server + " cause=\"" + e.getMessage() + "\"");
      return Optional.empty();
    }
  }

  private Mono<Reply> send(String server, HttpMethod method, String path, Optional<Object> body) {
    HttpClient client = HttpClient.create(ConnectionProvider.newConnection());
    return ExchangeCodec.installWithoutIds(client, new FaultOutput())
        .disableRetry(true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
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
      throw new IllegalStateException("Failed to serialise a request as JSON.", e);
    }
  }

  private static JsonNode read(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new CliException(ExitStatus.UNREACHABLE, "The response is not JSON: " + text);
    }
  }

  private record Reply(int status, JsonNode body) {
    /** Returns whether another VM may be able to serve the request. */
    boolean shouldTryNextServer() {
      String reason = body.path("error").path("reason").asText();
      return Stream.of("STALE_STATE", "DRAINING", "CONTROL_UNAVAILABLE").anyMatch(reason::equals);
    }
  }

  /** Writes what a VM does wrong to the error output. Stateless and thread-safe. */
  private static final class FaultOutput implements ExchangeListener {
    @Override
    public void strayBytes(StrayBytes bytes) {
      System.err.println("event=stray_bytes " + bytes.logFields());
    }

    @Override
    public void responseFault(ResponseFault fault) {
      System.err.println("event=response_fault " + fault.logFields());
    }
  }
}
