package org.parsleycart.decision.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SafeRequestHeadTest {
  private static final String HEAD = "GET /a HTTP/1.1\r\nHost: a\r\nX-Any: 1\r\n\r\n";

  private static OptionalInt lengthIn(String text) {
    return SafeRequestHead.lengthIn(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void shouldFindHeadAtPositionWhateverFollows() {
    ByteBuffer buffer =
        ByteBuffer.wrap(("xx" + HEAD + "POST").getBytes(StandardCharsets.ISO_8859_1)).position(2);

    assertThat(SafeRequestHead.lengthIn(buffer)).hasValue(HEAD.length());
    assertThat(buffer.position()).isEqualTo(2);
  }

  @Test
  void shouldFindHeadOfHeadRequest() {
    assertThat(lengthIn("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n")).isPresent();
  }

  @Test
  void shouldFindNoIncompleteHead() {
    assertThat(IntStream.range(0, HEAD.length()).mapToObj(end -> lengthIn(HEAD.substring(0, end))))
        .allMatch(OptionalInt::isEmpty);
  }

  /** Each of these leaves to the server where the request ends, or how the connection goes on. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
        "GET /\r\nHost: a\r\n\r\n",
        "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\ncontent-length: 0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n Transfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\nContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\rContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nno field\r\n\r\n",
      })
  void shouldFindNoHeadThatIsNotPlain(String text) {
    assertThat(lengthIn(text)).isEmpty();
  }
}
