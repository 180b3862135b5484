package org.parsleycart.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Guards against a response whose head is none and that the command prints as an answer. */
class MalformedAnswerTest {
  private static final String ANSWER =
      "{\"route\":\"read\",\"deadlineMilliseconds\":800,\"upstreams\":[],\"refusals\":[]}";

  private final StringWriter output = new StringWriter();
  private final StringWriter errors = new StringWriter();
  private ServerSocket troubled;
  private ServerSocket sound;

  @BeforeEach
  void open() throws IOException {
    troubled = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    sound = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    troubled.close();
    sound.close();
  }

  /** Answers each request on a socket with the same fields. */
  private static void answer(ServerSocket server, String fields) {
    byte[] answer =
        "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s"
            .formatted(fields, ANSWER.length(), ANSWER)
            .getBytes(StandardCharsets.ISO_8859_1);
    Thread thread = new Thread(() -> answer(server, answer), "daemon");
    thread.setDaemon(true);
    thread.start();
  }

  private static void answer(ServerSocket server, byte[] answer) {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        while (socket.getInputStream().read() != '\n') {
          // The request line precedes the answer.
        }
        socket.getOutputStream().write(answer);
        while (socket.getInputStream().read() >= 0) {
          // The command closes the connection.
        }
      } catch (IOException e) {
        // The command has closed the connection.
      }
    }
  }

  private int execute(String daemons) {
    CommandLine commandLine =
        CommandMain.commandLine()
            .setOut(new PrintWriter(output, true))
            .setErr(new PrintWriter(errors, true));
    return commandLine.execute(
        "explain", "--daemon", daemons, "--path", "/read", "--output", "json");
  }

  private static String address(ServerSocket server) {
    return "127.0.0.1:" + server.getLocalPort();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: +9",
        "Content-Length: 9",
        "Transfer-Encoding: chunky",
        "no field",
        ": no name",
        "X Field: a",
        "X-Field\u0000: a",
        "X-Field: a\u0000"
      })
  void shouldAskTheNextDaemonWhenAnAnswerIsMalformed(String line) {
    answer(troubled, line);

    assertThat(execute(address(troubled))).isEqualTo(3);
    assertThat(output.toString()).isEmpty();
    assertThat(errors.toString()).contains("malformed response");

    answer(sound, "X-Field: a");

    assertThat(execute(address(troubled) + "," + address(sound))).isZero();
    assertThat(output.toString().strip()).isEqualTo(ANSWER);
  }
}
