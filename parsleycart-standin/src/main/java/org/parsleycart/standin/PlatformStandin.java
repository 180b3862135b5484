package org.parsleycart.standin;

import static java.util.Objects.requireNonNull;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.parsleycart.link.Addresses;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.model.document.MappingReader;
import org.parsleycart.model.document.YamlDocuments;
import org.parsleycart.store.Platform;
import org.parsleycart.store.Row;
import org.xnio.IoUtils;

/** The platform's table and object store over HTTP, in memory, with faults on demand. */
public final class PlatformStandin implements AutoCloseable {
  private static final Duration SLOW_DELAY = Duration.ofMillis(400);
  private static final String TABLE = "/table";
  private static final String OBJECTS = "/objects/";
  private static final int MOST_ROWS = 1000;

  private final Platform memory = Platform.embedded();
  private final Undertow server;
  private final LongAdder reads = new LongAdder();
  private final LongAdder writes = new LongAdder();
  private volatile PlatformFault fault = PlatformFault.NONE;

  // -- construction

  private PlatformStandin(InetSocketAddress address) {
    this.server =
        Undertow.builder()
            .addHttpListener(
                address.getPort(),
                address.getAddress().getHostAddress(),
                exchange -> exchange.dispatch(() -> handle(exchange)))
            .setIoThreads(2)
            .setWorkerThreads(8)
            .setServerOption(UndertowOptions.DECODE_URL, false)
            .build();
  }

  /** Starts a platform; port 0 takes any free port. */
  public static PlatformStandin start(InetSocketAddress address) {
    PlatformStandin standin = new PlatformStandin(requireNonNull(address, "address is null"));
    standin.server.start();
    return standin;
  }

  // -- control

  /** Returns the address, {@code host:port}. */
  public String address() {
    return Addresses.format((InetSocketAddress) server.getListenerInfo().get(0).getAddress());
  }

  /** Sets what is wrong from now on. */
  public void setFault(PlatformFault newFault) {
    fault = requireNonNull(newFault, "newFault is null");
  }

  /** Returns the memory behind the HTTP interface, past all faults. */
  public Platform memory() {
    return memory;
  }

  /** Returns the number of reads so far. */
  public long reads() {
    return reads.sum();
  }

  /** Returns the number of writes so far. */
  public long writes() {
    return writes.sum();
  }

  @Override
  public void close() {
    server.stop();
  }

  // -- requests

  private void handle(HttpServerExchange exchange) {
    PlatformFault current = fault;
    if (exchange.getRequestPath().equals("/faults")) {
      changeFault(exchange);
      return;
    }
    if (exchange.getRequestPath().equals("/counts")) {
      Document counts =
          Document.mapping().with("reads", reads.sum()).with("writes", writes.sum()).build();
      send(exchange, StatusCodes.OK, JsonDocuments.format(counts));
      return;
    }
    if (current.isSlow()) {
      LockSupport.parkNanos(SLOW_DELAY.toNanos());
    }
    if (!current.isEffective()) {
      send(exchange, StatusCodes.SERVICE_UNAVAILABLE, "");
      return;
    }
    Result result = perform(exchange);
    if (!current.isAnswering()) {
      IoUtils.safeClose(exchange.getConnection());
      return;
    }
    result.revision().ifPresent(tag -> exchange.getResponseHeaders().put(Headers.ETAG, tag));
    exchange.setStatusCode(result.status());
    exchange.getResponseSender().send(ByteBuffer.wrap(result.body().toArray()));
  }

  private void changeFault(HttpServerExchange exchange) {
    String wanted = new String(body(exchange).toArray(), StandardCharsets.UTF_8).trim();
    Optional<PlatformFault> found =
        Stream.of(PlatformFault.values())
            .filter(each -> each.toString().equals(wanted))
            .findFirst();
    found.ifPresent(this::setFault);
    int status = found.isPresent() ? StatusCodes.NO_CONTENT : StatusCodes.BAD_REQUEST;
    send(exchange, status, "");
  }

  private static void send(HttpServerExchange exchange, int status, String body) {
    exchange.setStatusCode(status);
    exchange.getResponseSender().send(body);
  }

  /** Bytes of a request or answer. */
  private record Content(List<byte[]> holder) {
    static Content of(byte[] bytes) {
      return new Content(List.of(bytes));
    }

    byte[] toArray() {
      return holder.get(0);
    }
  }

  private record Result(int status, Optional<String> revision, Content body) {
    static Result of(int status) {
      return new Result(status, Optional.empty(), Content.of(new byte[0]));
    }

    static Result when(boolean done, int status) {
      return of(done ? status : StatusCodes.PRECONDITION_FAILED);
    }
  }

  private Result perform(HttpServerExchange exchange) {
    String method = exchange.getRequestMethod().toString();
    (method.equals("GET") ? reads : writes).increment();
    String path = exchange.getRequestPath();
    if (path.equals(TABLE)) {
      return scan(exchange);
    }
    if (path.startsWith(TABLE + "/")) {
      return row(exchange, method, decode(path.substring(TABLE.length() + 1)));
    }
    if (path.startsWith(OBJECTS)) {
      return object(exchange, method, decode(path.substring(OBJECTS.length())));
    }
    return Result.of(StatusCodes.BAD_REQUEST);
  }

  private Result row(HttpServerExchange exchange, String method, String key) {
    String expected = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
    boolean ifAbsent = exchange.getRequestHeaders().contains(Headers.IF_NONE_MATCH);
    return switch (method) {
      case "GET" ->
          memory
              .table()
              .read(key)
              .get()
              .map(PlatformStandin::found)
              .orElse(Result.of(StatusCodes.NOT_FOUND));
      case "PUT" -> {
        byte[] value = body(exchange).toArray();
        yield ifAbsent
            ? Result.when(memory.table().insertIfAbsent(key, value).get(), StatusCodes.CREATED)
            : Result.when(
                memory.table().compareAndSet(key, revision(expected), value).get(), StatusCodes.OK);
      }
      case "DELETE" ->
          Result.when(memory.table().delete(key, revision(expected)).get(), StatusCodes.NO_CONTENT);
      default -> Result.of(StatusCodes.METHOD_NOT_ALLOWED);
    };
  }

  private static Result found(Row row) {
    return new Result(
        StatusCodes.OK, Optional.of("\"" + row.revision() + "\""), Content.of(row.value()));
  }

  private static long revision(String tag) {
    return tag != null && tag.matches("\"[0-9]{1,18}\"")
        ? Long.parseLong(tag.substring(1, tag.length() - 1))
        : -1;
  }

  private Result object(HttpServerExchange exchange, String method, String name) {
    return switch (method) {
      case "GET" ->
          memory
              .objects()
              .get(name)
              .get()
              .map(bytes -> new Result(StatusCodes.OK, Optional.empty(), Content.of(bytes)))
              .orElse(Result.of(StatusCodes.NOT_FOUND));
      case "PUT" -> {
        memory.objects().put(name, body(exchange).toArray());
        yield Result.of(StatusCodes.OK);
      }
      case "DELETE" ->
          Result.of(
              memory.objects().delete(name).get() ? StatusCodes.NO_CONTENT : StatusCodes.NOT_FOUND);
      default -> Result.of(StatusCodes.METHOD_NOT_ALLOWED);
    };
  }

  private Result scan(HttpServerExchange exchange) {
    String prefix = parameter(exchange, "prefix");
    String after = parameter(exchange, "after");
    String limit = parameter(exchange, "limit");
    int count = limit.matches("[0-9]{1,4}") ? Integer.parseInt(limit) : MOST_ROWS;
    List<Document.Mapping> rows =
        memory.table().scan(prefix, after, count).get().stream()
            .map(
                row ->
                    Document.mapping()
                        .with("key", row.key())
                        .with("revision", row.revision())
                        .with("value", Base64.getEncoder().encodeToString(row.value()))
                        .build())
            .toList();
    String body =
        JsonDocuments.format(Document.mapping().with("rows", Document.sequence(rows)).build());
    return new Result(
        StatusCodes.OK, Optional.empty(), Content.of(body.getBytes(StandardCharsets.UTF_8)));
  }

  private static String parameter(HttpServerExchange exchange, String name) {
    return Optional.ofNullable(exchange.getQueryParameters().get(name))
        .map(values -> decode(values.getFirst()))
        .orElse("");
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static Content body(HttpServerExchange exchange) {
    exchange.startBlocking();
    try (InputStream input = exchange.getInputStream()) {
      return Content.of(input.readAllBytes());
    } catch (IOException e) {
      return Content.of(new byte[0]);
    }
  }

  /** Returns the number under a key of an answer of {@code /counts}. */
  static long count(String json, String key) {
    return YamlDocuments.parse("counts", json)
        .map(
            document ->
                MappingReader.of(document, new ArrayList<>())
                    .number(key, 0, Long.MAX_VALUE)
                    .orElse(0L))
        .getOrElse(0L);
  }
}
