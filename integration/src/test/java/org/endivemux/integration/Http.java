package org.endivemux.integration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls VMs over HTTP/1.1 as a caller or an operator does. Thread-safe. */
final class Http {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private Http() {}

  /** A response; status 0 if none was received or it was incomplete. */
  record Response(int status, String body, Map<String, java.util.List<String>> headers) {
    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        throw new AssertionError("Response body is not JSON: " + body, e);
      }
    }

    String reason() {
      return status >= 400 ? json().path("error").path("reason").asText() : "";
    }

    String executionStatus() {
      return json().path("error").path("ran").asText();
    }

    String header(String name) {
      return headers.getOrDefault(name, java.util.List.of("")).get(0);
    }
  }

  static Response call(
      String method, String url, String key, Map<String, String> headers, String body) {
    try {
      HttpResponse<String> response =
          CLIENT.send(
              request(method, url, key, headers, body), HttpResponse.BodyHandlers.ofString());
      return new Response(response.statusCode(), response.body(), response.headers().map());
    } catch (IOException e) {
      return new Response(0, String.valueOf(e.getMessage()), Map.of());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  static CompletableFuture<Response> callAsync(
      String method, String url, String key, Map<String, String> headers, String body) {
    return CLIENT
        .sendAsync(request(method, url, key, headers, body), HttpResponse.BodyHandlers.ofString())
        .handle(
            (response, error) ->
                error == null
                    ? new Response(response.statusCode(), response.body(), response.headers().map())
                    : new Response(0, String.valueOf(error.getMessage()), Map.of()));
  }

  /** Sends a request and returns a response whose body is read as it arrives. */
  static HttpResponse<InputStream> open(String url, String key, String body) {
    try {
      return CLIENT.send(
          request("POST", url, key, Map.of(), body), HttpResponse.BodyHandlers.ofInputStream());
    } catch (IOException e) {
      throw new AssertionError(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError(e);
    }
  }

  /** Sends a request asynchronously; the body of the response is read as it arrives. */
  static CompletableFuture<HttpResponse<InputStream>> openAsync(
      String url, String key, Map<String, String> headers, String body) {
    return CLIENT.sendAsync(
        request("POST", url, key, headers, body), HttpResponse.BodyHandlers.ofInputStream());
  }

  private static HttpRequest request(
      String method, String url, String key, Map<String, String> headers, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (!key.isEmpty()) {
      request.header("Authorization", "Bearer " + key);
    }
    headers.forEach(request::header);
    return request.build();
  }
}
