import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small mesh on loopback addresses: daemons as separate processes, started with the command of the
 * deploy file, and stand-ins of the platform's store, of servers and of clients in this process.
 */
@SuppressWarnings("try") // Its end may be interrupted.
final class Mesh implements AutoCloseable {
  static final String BOUNDS =
      "seedLagS=3,reuseAfterS=2,touchMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,graceS=6,"
          + "lossSlackMs=200,configMs=2000,backMs=250,outerMs=5000,retryBudgetRatio=0.2,"
          + "budgetWindowS=10,budgetSlack=58,canaryShare=0.1,canarySlack=50,rollbackMs=5000,"
          + "coldMultiplier=1.5,coldSlack=5,evacMs=5000,recoverS=15";

  private static final Set<Integer> TAKEN_PORTS = ConcurrentHashMap.newKeySet();

  final Path root;
  final Path work;
  final Store store = new Store();
  private final PrintWriter record;
  private final long startedAt = System.nanoTime();
  private final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();
  private final List<Process> processes = new CopyOnWriteArrayList<>();

  Mesh(Path root, Path recordFile) throws IOException {
    this.root = root;
    this.work = Files.createTempDirectory("parsleycart-review-");
    this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  // -- record

  long now() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void log(String format, Object... arguments) {
    record.printf("%8d ms  %s%n", now(), String.format(format, arguments));
  }

  // -- time

  static void sleep(long milliseconds) {
    try {
      Thread.sleep(Math.max(0, milliseconds));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  /** Returns whether the condition held within the time. */
  static boolean await(long milliseconds, Condition condition) {
    long end = System.nanoTime() + milliseconds * 1_000_000;
    while (System.nanoTime() < end) {
      try {
        if (condition.holds()) {
          return true;
        }
      } catch (Exception e) {
        // Not yet.
      }
      sleep(50);
    }
    return false;
  }

  /** Returns a free port below those that the system gives to clients, each only once. */
  static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (TAKEN_PORTS.add(socket.getLocalPort())) {
          return port;
        }
      } catch (BindException e) {
        // Taken: try another one.
      }
    }
  }

  // -- daemons

  Daemon daemon(String name, String zone, String zones, String service) throws IOException {
    return new Daemon(name, zone, zones, service);
  }

  /** A daemon of the project. Its addresses stay the same when it starts again. */
  final class Daemon {
    final String name;
    final int callers = freePort();
    final int daemons = freePort();
    final int control = freePort();
    final int operators = freePort();
    final int readiness = freePort();
    final Store.Door door = store.open();
    private final Path settings;
    private final Path output;
    private Process process;

    private Daemon(String name, String zone, String zones, String service) throws IOException {
      this.name = name;
      this.settings = work.resolve(name + ".yaml");
      this.output = work.resolve(name + ".log");
      parts.add(door);
      String text = Files.readString(root.resolve("deploy/settings.yaml.template"));
      text = text.replaceAll("(?s)\\{\\{#cloud\\.address}}.*?\\{\\{/cloud\\.address}}", "");
      text = text.replaceAll("(?s)\\{\\{#zones}}.*?\\{\\{/zones}}", quoted(zones.split(",")));
      text = text.replaceAll("(?s)\\{\\{#bounds}}.*?\\{\\{/bounds}}", quoted(BOUNDS.split(",")));
      text =
          text.replace("{{zone}}", zone)
              .replace("{{service}}", service)
              .replace("{{listen.outbound}}", "127.0.0.1:" + callers)
              .replace("{{listen.inbound}}", "127.0.0.1:" + daemons)
              .replace("{{ip}}:{{portRange.0}}", "127.0.0.1:" + control)
              .replace("{{listen.control}}", "127.0.0.1:" + operators)
              .replace("{{listen.ready}}", "127.0.0.1:" + readiness)
              .replace("{{provider.address}}", "127.0.0.1:" + door.port());
      if (text.contains("{{")) {
        throw new IOException("the settings template has a placeholder that this test lacks");
      }
      Files.writeString(settings, text);
    }

    private String quoted(String[] values) {
      return "\"" + String.join("\",\"", values) + "\"";
    }

    Daemon start() throws IOException {
      String command =
          Files.readAllLines(root.resolve("deploy/system.toml")).stream()
              .filter(line -> line.startsWith("run = "))
              .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
              .findFirst()
              .orElseThrow();
      ProcessBuilder builder = new ProcessBuilder(Arrays.asList(command.split(" +")));
      builder.directory(root.toFile());
      builder.environment().put("PARSLEYCART_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
      process = builder.start();
      processes.add(process);
      log("%s started, process %d", name, process.pid());
      return this;
    }

    boolean awaitReady(long milliseconds) {
      boolean ready =
          await(
              milliseconds,
              () -> {
                try (Connection connection = Connection.open(readiness)) {
                  connection.send("GET /parsleycart/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                  return connection.receive(1_000).status == 200;
                }
              });
      log("%s %s", name, ready ? "is ready" : "is not ready");
      return ready;
    }

    void signal(String signal) throws Exception {
      log("%s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      if (signal.equals("KILL")) {
        process.waitFor(5, TimeUnit.SECONDS);
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    Path output() {
      return output;
    }
  }

  private void endProcesses() {
    processes.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws Exception {
    endProcesses();
    for (Process process : processes) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    for (AutoCloseable part : parts) {
      part.close();
    }
    record.close();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.walk(work)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
      }
    } else {
      System.err.println("logs in " + work);
    }
  }

  // -- configuration

  /** Returns a configuration document. Each route: name, prefix, kind, service, timeout, attempts. */
  static String configuration(int version, String[][] routes, String... services) {
    StringBuilder text = new StringBuilder("{\"version\":\"r" + version + "\",\"routes\":{");
    for (int index = 0; index < routes.length; index++) {
      String[] route = routes[index];
      text.append(index == 0 ? "" : ",")
          .append(
              String.format(
                  "\"%s\":{\"host\":\"mesh.example\",\"prefix\":\"%s\",\"kind\":\"%s\","
                      + "\"timeoutMs\":%s,\"targetLatencyMs\":400,\"priority\":1,"
                      + "\"service\":\"%s\",\"maxAttempts\":%s}",
                  route[0], route[1], route[2], route[4], route[3], route[5]));
    }
    text.append("},\"services\":{");
    for (int index = 0; index < services.length; index++) {
      text.append(index == 0 ? "" : ",")
          .append(
              String.format(
                  "\"%s\":{\"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\","
                      + "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":47.0}",
                  services[index]));
    }
    return text.append(
            "},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"baseVersion\":\"r0\"}")
        .toString();
  }

  // -- the platform's store

  /** The store. Each daemon reaches it through a door of its own, which can be closed. */
  static final class Store {
    private static final long ORIGIN = System.nanoTime();

    record Change(String table, String key, long version, byte[] value) {}

    private final Map<String, TreeMap<String, Change>> tables = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    private long version;

    synchronized long put(String table, String key, String value) {
      version++;
      apply(table, key, value == null ? null : value.getBytes(StandardCharsets.UTF_8));
      notifyAll();
      return version;
    }

    synchronized String value(String table, String key) {
      Change change = tables.getOrDefault(table, new TreeMap<>()).get(key);
      return change == null ? null : new String(change.value, StandardCharsets.UTF_8);
    }

    private void apply(String table, String key, byte[] value) {
      Change change = new Change(table, key, version, value);
      TreeMap<String, Change> rows = tables.computeIfAbsent(table, unused -> new TreeMap<>());
      if (value == null) {
        rows.remove(key);
      } else {
        rows.put(key, change);
      }
      history.add(change);
    }

    Door open() throws IOException {
      return new Door();
    }

    enum Fault {
      NONE,
      /** Calls are refused with 503, and nothing is done. */
      BUSY,
      /** Calls get no answer, and nothing is done. */
      SILENT
    }

    final class Door implements AutoCloseable {
      private final HttpServer server;
      volatile Fault fault = Fault.NONE;

      private Door() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(
            Executors.newCachedThreadPool(
                task -> {
                  Thread thread = new Thread(task, "store");
                  thread.setDaemon(true);
                  return thread;
                }));
        server.createContext("/", this::handle);
        server.start();
      }

      int port() {
        return server.getAddress().getPort();
      }

      private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (fault == Fault.SILENT) {
          sleep(3_000);
          exchange.close();
          return;
        }
        sleep(4);
        Object answer = fault == Fault.BUSY ? (Integer) 503 : answer(exchange, body);
        byte[] bytes = new byte[0];
        int status = 200;
        if (answer instanceof Integer code) {
          status = code;
        } else if (answer instanceof byte[] content) {
          bytes = content;
        } else {
          bytes = answer.toString().getBytes(StandardCharsets.UTF_8);
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
          exchange.getResponseBody().write(bytes);
        }
        exchange.close();
      }

      @Override
      public void close() {
        server.stop(0);
      }
    }

    private Object answer(HttpExchange exchange, byte[] body) {
      String path = exchange.getRequestURI().getPath();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String call = path.replaceFirst("^/parsleycart/", "");
      if (call.equals("rows-get")) {
        return get(query);
      }
      if (call.equals("rows-feed")) {
        return feed(query);
      }
      if (call.equals("rows-tx")) {
        return transact(new String(body, StandardCharsets.UTF_8));
      }
      String name = call.substring(call.indexOf('/') + 1);
      synchronized (this) {
        if (call.startsWith("blob-put/")) {
          objects.put(name, body);
          return 200;
        }
        if (call.startsWith("blob-get/")) {
          return objects.containsKey(name) ? objects.get(name) : (Object) 404;
        }
        return 404;
      }
    }

    private static Map<String, String> query(String raw) {
      Map<String, String> result = new HashMap<>();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        String[] parts = pair.split("=", 2);
        result.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
      return result;
    }

    private synchronized String get(Map<String, String> query) {
      int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
      List<Change> found = new ArrayList<>();
      boolean hasMore = false;
      for (Change change :
          tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
        String to = query.getOrDefault("to", "");
        boolean isInRange =
            change.key.compareTo(query.getOrDefault("from", "")) >= 0
                && (to.isEmpty() || change.key.compareTo(to) < 0);
        if (isInRange && found.size() < limit) {
          found.add(change);
        } else if (isInRange) {
          hasMore = true;
        }
      }
      return rows(found, hasMore);
    }

    private synchronized String feed(Map<String, String> query) {
      long after = Long.parseLong(query.get("after"));
      long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
      while (true) {
        List<Change> found =
            history.stream()
                .filter(change -> change.version > after)
                .filter(change -> change.table.equals(query.get("table")))
                .toList();
        long left = (end - System.nanoTime()) / 1_000_000;
        if (!found.isEmpty() || left <= 0) {
          return rows(found, false);
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    private String rows(List<Change> changes, boolean hasMore) {
      StringBuilder text = new StringBuilder("{\"rows\":[");
      for (Change change : changes) {
        text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
            .append(
                String.format(
                    "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"ver\":%d,%s}",
                    change.table,
                    change.key,
                    change.version,
                    change.value == null
                        ? "\"compacted\":true"
                        : "\"value\":\""
                            + Base64.getEncoder().encodeToString(change.value)
                            + "\""));
      }
      return text + "],\"hasMore\":" + hasMore + tail();
    }

    private String tail() {
      return ",\"ver\":" + version + ",\"nowMs\":" + (System.nanoTime() - ORIGIN) / 1_000_000 + "}";
    }

    @SuppressWarnings("unchecked")
    private synchronized Object transact(String body) {
      Map<String, Object> call = (Map<String, Object>) new Json(body).value();
      for (Object item : (List<Object>) call.getOrDefault("expectedRev", List.of())) {
        Map<String, Object> row = (Map<String, Object>) item;
        Change held = tables.getOrDefault(row.get("table"), new TreeMap<>()).get(row.get("key"));
        long heldVersion = held == null ? 0 : held.version;
        if (heldVersion != ((Number) row.get("ver")).longValue()) {
          return 412;
        }
      }
      version++;
      for (Object item : (List<Object>) call.getOrDefault("put", List.of())) {
        Map<String, Object> row = (Map<String, Object>) item;
        if (row.get("table").equals("op") || row.get("table").equals("servers")) {
          return 403;
        }
        apply(
            (String) row.get("table"),
            (String) row.get("key"),
            Base64.getDecoder().decode((String) row.get("value")));
      }
      for (Object item : (List<Object>) call.getOrDefault("remove", List.of())) {
        Map<String, Object> row = (Map<String, Object>) item;
        apply((String) row.get("table"), (String) row.get("key"), null);
      }
      notifyAll();
      return "{" + tail().substring(1);
    }
  }

  /** Reads JSON texts: objects as maps, arrays as lists. */
  static final class Json {
    private final String text;
    private int position;

    Json(String text) {
      this.text = text;
    }

    Object value() {
      skip();
      char first = text.charAt(position);
      if (first == '{') {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        skip();
        while (text.charAt(position) != '}') {
          String key = (String) value();
          skip();
          position++;
          map.put(key, value());
          skip();
          position += text.charAt(position) == ',' ? 1 : 0;
          skip();
        }
        position++;
        return map;
      }
      if (first == '[') {
        List<Object> list = new ArrayList<>();
        position++;
        skip();
        while (text.charAt(position) != ']') {
          list.add(value());
          skip();
          position += text.charAt(position) == ',' ? 1 : 0;
          skip();
        }
        position++;
        return list;
      }
      if (first == '"') {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
          char character = text.charAt(position++);
          if (character == '\\') {
            char escaped = text.charAt(position++);
            if (escaped == 'u') {
              result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
              position += 4;
            } else {
              result.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped);
            }
          } else {
            result.append(character);
          }
        }
        position++;
        return result.toString();
      }
      int start = position;
      while (position < text.length() && ",]} \n".indexOf(text.charAt(position)) < 0) {
        position++;
      }
      String word = text.substring(start, position);
      return switch (word) {
        case "true" -> Boolean.TRUE;
        case "false" -> Boolean.FALSE;
        case "null" -> null;
        default -> word.contains(".") ? (Object) Double.valueOf(word) : Long.valueOf(word);
      };
    }

    private void skip() {
      while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
        position++;
      }
    }
  }

  // -- HTTP

  /** A message with its head. */
  static final class Message {
    String firstLine = "";
    int status;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    String method() {
      return firstLine.split(" ")[0];
    }

    String path() {
      return firstLine.split(" ")[1];
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String id() {
      return header("Parsleycart-Attempt-Id");
    }
  }

  /** One end of a connection. */
  static final class Connection implements AutoCloseable {
    final Socket socket;
    private final InputStream input;
    private final OutputStream output;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      this.input = new BufferedInputStream(socket.getInputStream());
      this.output = socket.getOutputStream();
    }

    static Connection open(int port) throws IOException {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      return new Connection(socket);
    }

    void send(String text) throws IOException {
      send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
      output.write(bytes);
      output.flush();
    }

    /** Reads a head; returns null at the end of the connection. */
    Message receiveHead(int timeoutMilliseconds) throws IOException {
      socket.setSoTimeout(timeoutMilliseconds);
      Message message = new Message();
      String line = line();
      if (line == null) {
        return null;
      }
      message.firstLine = line;
      if (line.startsWith("HTTP/")) {
        message.status = Integer.parseInt(line.split(" ")[1]);
      }
      for (line = line(); line != null && !line.isEmpty(); line = line()) {
        int colon = line.indexOf(':');
        message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
      }
      return message;
    }

    /** Reads the body of a message; throws if the connection ends within it. */
    void receiveBody(Message message) throws IOException {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
        int size = Integer.parseInt(line().trim(), 16);
        while (size > 0) {
          body.write(exactly(size));
          line();
          size = Integer.parseInt(line().trim(), 16);
        }
        line();
      } else if (!message.header("Content-Length").isEmpty()) {
        body.write(exactly(Integer.parseInt(message.header("Content-Length"))));
      } else if (message.status >= 200 && message.status != 204 && message.status != 304) {
        body.write(input.readAllBytes());
      }
      message.body = body.toByteArray();
    }

    /** Reads a whole message. Throws an exception if the connection ends first. */
    Message receive(int timeoutMilliseconds) throws IOException {
      Message message = receiveHead(timeoutMilliseconds);
      if (message == null) {
        throw new IOException("the connection ended without an answer");
      }
      receiveBody(message);
      return message;
    }

    private byte[] exactly(int count) throws IOException {
      byte[] bytes = input.readNBytes(count);
      if (bytes.length < count) {
        throw new IOException("the connection ended within a body");
      }
      return bytes;
    }

    private String line() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int next = input.read();
      while (next >= 0 && next != '\n') {
        line.write(next);
        next = input.read();
      }
      if (next < 0 && line.size() == 0) {
        return null;
      }
      return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // -- servers

  interface Handler {
    /** Handles one request. Returns whether the connection stays open. */
    boolean handle(Server server, Connection connection, Message head) throws Exception;
  }

  /** A server of a service. It announces itself to the daemon beside it. */
  final class Server implements AutoCloseable {
    final String id;
    final String service;
    final String version;
    final int slots;
    final Daemon beside;
    final long born = System.currentTimeMillis();
    final ServerSocket socket;
    volatile Handler handler;
    volatile boolean isSilent;
    private volatile boolean isClosed;
    private long sequence;

    Server(String id, String service, String version, int slots, Daemon beside, Handler handler)
        throws IOException {
      this.id = id;
      this.service = service;
      this.version = version;
      this.slots = slots;
      this.beside = beside;
      this.handler = handler;
      this.socket = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
      parts.add(this);
      daemonThread("accept-" + id, this::accept);
      daemonThread("heartbeat-" + id, this::beat);
    }

    private void accept() {
      while (!isClosed) {
        try {
          Connection connection = new Connection(socket.accept());
          daemonThread("serve-" + id, () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Connection connection) {
      try (connection) {
        boolean isKept = true;
        while (isKept) {
          Message head = connection.receiveHead(0);
          if (head == null) {
            return;
          }
          String expected = head.header("Parsleycart-Expect-Instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            connection.receiveBody(head);
            answer(connection, head, 421, "Parsleycart-Instance-Id: " + id + "\r\n", "");
          } else {
            isKept = handler.handle(this, connection, head);
          }
        }
      } catch (Exception e) {
        // The connection has ended.
      }
    }

    private void beat() {
      while (!isClosed) {
        if (!isSilent) {
          try {
            heartbeat("ready");
          } catch (IOException e) {
            // The daemon is down: the next heartbeat tries again.
          }
        }
        sleep(870);
      }
    }

    String body(String state, long number) {
      return String.format(
          "{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":"
              + "\"%s\",\"zone\":\"z\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"seq\":%d,"
              + "\"coldLeftMs\":0}}",
          socket.getLocalPort(), born, service, version, slots, state, number);
    }

    synchronized long nextSequence() {
      return ++sequence;
    }

    int heartbeat(String state) throws IOException {
      return post("Instances.Heartbeat", body(state, nextSequence()));
    }

    int deregister() throws IOException {
      return post("Instances.Deregister", "");
    }

    int post(String call, String body) throws IOException {
      try (Connection connection = Connection.open(beside.operators)) {
        connection.send(
            String.format(
                "POST /parsleycart/%s/%s HTTP/1.1\r\nHost: control\r\nContent-Type:"
                    + " application/json\r\nContent-Length: %d\r\n\r\n%s",
                call, id, body.length(), body));
        return connection.receive(1_000).status;
      }
    }

    @Override
    public void close() throws IOException {
      isClosed = true;
      socket.close();
    }
  }

  Server server(
      String id, String service, String version, int slots, Daemon beside, Handler handler)
      throws IOException {
    return new Server(id, service, version, slots, beside, handler);
  }

  /** Sends an answer that echoes the request. */
  static void answer(
      Connection connection, Message request, int status, String headers, String body)
      throws IOException {
    connection.send(
        String.format(
            "HTTP/1.1 %d X\r\nParsleycart-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
            status, request.id(), headers, body.length(), body));
  }

  static void daemonThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  // -- clients

  /** Returns the head of a client's request; the body follows. */
  static String head(String method, String path, String id, long deadline, String more) {
    return String.format(
        "%s %s HTTP/1.1\r\nHost: mesh.example\r\nParsleycart-Attempt-Id: %s\r\n"
            + "Parsleycart-Deadline-Ms: %d\r\n%s\r\n",
        method, path, id, deadline, more);
  }
}
