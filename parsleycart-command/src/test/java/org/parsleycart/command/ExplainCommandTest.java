package org.parsleycart.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.parsleycart.link.FreePorts;
import picocli.CommandLine;

/** Tests the questions of the command against a daemon that gives a fixed answer. */
class ExplainCommandTest {
  private static final String ANSWER =
      "{\"route\":\"read\",\"deadlineMilliseconds\":800,\"upstreams\":["
          + "{\"upstream\":\"u1\",\"zone\":\"abdali\",\"utilization\":0.5,\"perMille\":1000},"
          + "{\"upstream\":\"u2\",\"zone\":\"marka\",\"utilization\":0.1,\"perMille\":0,"
          + "\"excluded\":\"draining\"}],\"refusals\":[]}";

  private final AtomicReference<String> question = new AtomicReference<>("");
  private final StringWriter output = new StringWriter();
  private final StringWriter errors = new StringWriter();
  private int port;
  private Undertow daemon;

  @BeforeEach
  void findPort() throws IOException {
    port = FreePorts.find(1).get(0);
  }

  private void startDaemon(int status, String answer) {
    daemon =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setHandler(
                exchange -> {
                  question.set(exchange.getRequestPath() + "?" + exchange.getQueryString());
                  exchange.setStatusCode(status);
                  exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
                  exchange.getResponseSender().send(answer);
                })
            .build();
    daemon.start();
  }

  @AfterEach
  void stopDaemon() {
    if (daemon != null) {
      daemon.stop();
    }
  }

  private int execute(String... options) {
    CommandLine commandLine =
        CommandMain.commandLine()
            .setOut(new PrintWriter(output, true))
            .setErr(new PrintWriter(errors, true));
    String[] arguments = new String[options.length + 3];
    arguments[0] = "explain";
    arguments[1] = "--daemon";
    arguments[2] = "127.0.0.1:" + port;
    System.arraycopy(options, 0, arguments, 3, options.length);
    return commandLine.execute(arguments);
  }

  @Test
  void shouldPrintTheAnswerAsTablesWhenNoFormatIsGiven() {
    startDaemon(200, ANSWER);

    int exitCode =
        execute(
            "--host",
            "shop.example",
            "--path",
            "/read/1 2",
            "--method",
            "POST",
            "--zone",
            "abdali",
            "--organisation",
            "pulo 780",
            "--deadline",
            "800ms",
            "--tried",
            "u3,u4");

    assertThat(exitCode).isZero();
    assertThat(question.get())
        .isEqualTo(
            "/explain?path=%2Fread%2F1+2&host=shop.example&method=POST&zone=abdali"
                + "&organisation=pulo+780&deadline=800&tried=u3%2Cu4");
    assertThat(output.toString().lines().map(String::strip))
        .contains(
            "route: read",
            "upstream  zone    utilization  perMille  excluded",
            "u1        abdali  0.5          1000",
            "u2        marka   0.1          0         draining");
  }

  @Test
  void shouldPrintTheAnswerAsJson() {
    startDaemon(200, ANSWER);

    assertThat(execute("--path", "/read", "--output", "json")).isZero();

    assertThat(output.toString().strip()).isEqualTo(ANSWER);
  }

  @Test
  void shouldEndWithFiveWhenThereIsNoRoute() {
    startDaemon(
        404, "{\"error\":\"no route for path /none\",\"reason\":\"no-route\",\"details\":[]}");

    assertThat(execute("--path", "/none")).isEqualTo(5);

    assertThat(errors.toString()).contains("no route for path /none");
  }

  /** Guards against an earlier daemon, which knows no such question, being taken for no route. */
  @Test
  void shouldEndWithOneWhenTheDaemonKnowsNoSuchQuestion() {
    startDaemon(404, "{\"error\":\"unsupported request: GET /explain\",\"details\":[]}");

    assertThat(execute("--path", "/read")).isEqualTo(1);

    assertThat(errors.toString()).contains("unsupported request");
  }

  @Test
  void shouldEndWithSixWhenTheDaemonIsNotReady() {
    startDaemon(503, "{\"error\":\"not yet\",\"reason\":\"not-ready\",\"details\":[]}");

    assertThat(execute("--path", "/read")).isEqualTo(6);

    assertThat(errors.toString()).contains("status 503", "not yet");
  }

  @Test
  void shouldEndWithTwoWhenTheQuestionIsMalformed() {
    startDaemon(400, "{\"error\":\"malformed question\",\"details\":[\"path is \\\"x\\\"\"]}");

    assertThat(execute("--path", "x")).isEqualTo(2);
    assertThat(errors.toString()).contains("malformed question", "path is \"x\"");
    assertThat(execute("--host", "shop.example")).isEqualTo(2);
    assertThat(execute("--path", "/read", "--deadline", "soon")).isEqualTo(2);
    assertThat(execute("request-1", "--path", "/read")).isEqualTo(2);
    assertThat(execute()).isEqualTo(2);
  }

  @Test
  void shouldEndWithThreeWhenNoDaemonAnswers() {
    assertThat(execute("--path", "/read")).isEqualTo(3);
  }
}
