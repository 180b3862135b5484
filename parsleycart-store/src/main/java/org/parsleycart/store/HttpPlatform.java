package org.parsleycart.store;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.parsleycart.link.LinkError;
import org.parsleycart.link.http.HttpAnswer;
import org.parsleycart.link.http.HttpCall;
import org.parsleycart.link.http.HttpClient;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.Problem;
import org.parsleycart.model.document.YamlDocuments;

/**
 * The platform over HTTP with conditional requests: revisions are entity tags, an insert carries
 * {@code If-None-Match: *}, a replacement {@code If-Match}.
 *
 * <p>Only status 404 means absent and only 412 means that a condition failed; every other surprise
 * is an error.
 */
public final class HttpPlatform implements TransactionalTable, ObjectStore {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NO_CONTENT = 204;
  private static final int NOT_FOUND = 404;
  private static final int PRECONDITION_FAILED = 412;
  private static final int SERVER_ERROR = 500;

  private final HttpClient client;
  private final String address;
  private final Duration timeout;

  // -- construction

  /**
   * Creates the adapter.
   *
   * @param client sends the requests
   * @param address the platform, {@code host:port}
   * @param timeout bounds each request
   */
  public HttpPlatform(HttpClient client, String address, Duration timeout) {
    this.client = requireNonNull(client, "client is null");
    this.address = requireNonNull(address, "address is null");
    this.timeout = requireNonNull(timeout, "timeout is null");
  }

  /** Returns this adapter as both services of the platform. */
  public Platform toPlatform() {
    return new Platform(this, this);
  }

  // -- TransactionalTable

  @Override
  public Either<PlatformError, Optional<Row>> read(String key) {
    return send(HttpCall.of("GET", rowPath(key)))
        .flatMap(
            answer -> {
              if (answer.status() == NOT_FOUND) {
                return Either.right(Optional.empty());
              }
              return answer.status() == OK
                  ? revision(answer).map(tag -> Optional.of(Row.of(key, tag, answer.body())))
                  : unexpected(answer);
            });
  }

  @Override
  public Either<PlatformError, Boolean> insertIfAbsent(String key, byte[] value) {
    return conditional(HttpCall.of("PUT", rowPath(key)).header("If-None-Match", "*").body(value));
  }

  @Override
  public Either<PlatformError, Boolean> compareAndSet(String key, long revision, byte[] value) {
    return conditional(
        HttpCall.of("PUT", rowPath(key)).header("If-Match", tag(revision)).body(value));
  }

  @Override
  public Either<PlatformError, Boolean> delete(String key, long revision) {
    return conditional(HttpCall.of("DELETE", rowPath(key)).header("If-Match", tag(revision)));
  }

  @Override
  public Either<PlatformError, List<Row>> scan(String prefix, String after, int limit) {
    String query =
        "/table?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
    return send(HttpCall.of("GET", query))
        .flatMap(answer -> answer.status() == OK ? rows(answer) : unexpected(answer));
  }

  private static Either<PlatformError, List<Row>> rows(HttpAnswer answer) {
    List<Problem> problems = new ArrayList<>();
    return YamlDocuments.parse("platform", answer.text())
        .mapLeft(HttpPlatform::unreadable)
        .flatMap(
            document -> {
              List<Row> rows =
                  MappingReader.of(document, problems)
                      .items("rows", item -> row(MappingReader.of(item, problems)));
              return problems.isEmpty() ? Either.right(rows) : Either.left(unreadable(problems));
            });
  }

  private static Row row(MappingReader reader) {
    return Row.of(
        reader.requiredText("key"),
        reader.requiredNumber("revision", 0, Long.MAX_VALUE),
        value(reader));
  }

  private static byte[] value(MappingReader reader) {
    String text = reader.requiredText("value");
    try {
      return Base64.getDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      reader.report("value", "\"" + text + "\"", "base 64");
      return new byte[0];
    }
  }

  private static PlatformError unreadable(List<Problem> problems) {
    return new PlatformError.Unexpected(problems.toString());
  }

  // -- ObjectStore

  @Override
  public Either<PlatformError, Boolean> put(String name, byte[] content) {
    return conditional(HttpCall.of("PUT", objectPath(name)).body(content));
  }

  @Override
  public Either<PlatformError, Optional<byte[]>> get(String name) {
    return send(HttpCall.of("GET", objectPath(name)))
        .flatMap(
            answer -> {
              if (answer.status() == NOT_FOUND) {
                return Either.right(Optional.empty());
              }
              return answer.status() == OK
                  ? Either.right(Optional.of(answer.body()))
                  : unexpected(answer);
            });
  }

  @Override
  public Either<PlatformError, Boolean> delete(String name) {
    return send(HttpCall.of("DELETE", objectPath(name)))
        .flatMap(
            answer -> {
              boolean known = answer.status() == NO_CONTENT || answer.status() == NOT_FOUND;
              return known ? Either.right(answer.status() == NO_CONTENT) : unexpected(answer);
            });
  }

  // -- exchange

  private Either<PlatformError, Boolean> conditional(HttpCall call) {
    return send(call)
        .flatMap(
            answer ->
                switch (answer.status()) {
                  case OK, CREATED, NO_CONTENT -> Either.right(true);
                  case PRECONDITION_FAILED, NOT_FOUND -> Either.right(false);
                  default -> unexpected(answer);
                });
  }

  private Either<PlatformError, HttpAnswer> send(HttpCall call) {
    return client.send(address, call, timeout).mapLeft(HttpPlatform::fromLink);
  }

  private static PlatformError fromLink(LinkError error) {
    return error instanceof LinkError.Unreachable
        ? new PlatformError.Unreachable(error.message())
        : new PlatformError.NoAnswer(error.message());
  }

  private static <T> Either<PlatformError, T> unexpected(HttpAnswer answer) {
    String cause = "status " + answer.status();
    return Either.left(
        answer.status() >= SERVER_ERROR
            ? new PlatformError.NoAnswer(cause)
            : new PlatformError.Unexpected(cause));
  }

  private static Either<PlatformError, Long> revision(HttpAnswer answer) {
    String tag = answer.header("ETag").orElse("");
    return tag.matches("\"[0-9]{1,18}\"")
        ? Either.right(Long.valueOf(tag.substring(1, tag.length() - 1)))
        : Either.left(new PlatformError.Unexpected("entity tag \"" + tag + "\""));
  }

  private static String tag(long revision) {
    return "\"" + revision + "\"";
  }

  private static String rowPath(String key) {
    return "/table/" + encode(key);
  }

  private static String objectPath(String name) {
    return "/objects/" + encode(name);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
