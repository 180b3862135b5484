package org.parsleycart.link.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no response and that the HTTP client takes for one. */
class ResponseReaderTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Field: a\r\nContent-Length: 4\r\n\r\n";
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Bytes that may not follow the last byte of a body, so that its end is seen. */
  private static final String SURPLUS = "\u0000surplus";

  /** The grammar of RFC 9112 for heads without framing fields, apart from the reader. */
  private static final Pattern GRAMMAR =
      Pattern.compile(
          "HTTP/1\\.[0-9] [1-5][0-9]{2} [\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n"
              + "([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n");

  /** Reads bytes in parts of a size; returns how many belong to the response. */
  private static int read(String text, boolean isHead, int partBytes) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    ResponseReader reader = new ResponseReader();
    reader.expectResponse(isHead);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int index = 0;
    int end = 0;
    while (index == end && end < bytes.length) {
      end = Math.min(bytes.length, index + partBytes);
      index = reader.read(buffer, index, end);
    }
    return index;
  }

  private static void assertMalformed(String text) {
    for (int partBytes : new int[] {1, 3, Integer.MAX_VALUE / 2}) {
      assertThatThrownBy(() -> read(text, false, partBytes))
          .as(text)
          .isInstanceOf(MalformedResponseException.class);
    }
  }

  private static void assertEnds(String response, boolean isHead) throws IOException {
    for (int partBytes = 1; partBytes <= response.length() + SURPLUS.length(); partBytes++) {
      assertThat(read(response + SURPLUS, isHead, partBytes))
          .as("%s in parts of %d", response, partBytes)
          .isEqualTo(response.length());
    }
  }

  // -- status lines

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "ICY 200 OK",
        "http/1.1 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1 200 OK",
        "HTTP/1.x 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.1 200",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 200 O\u0000K",
        "HTTP/1.1 200 OK\u007f",
        "HTTP/1.1 200 O\rK",
      })
  void shouldRejectStatusLine(String line) {
    assertMalformed(line + "\r\nContent-Length: 0\r\n\r\n");
  }

  // -- fields

  /** Each byte at each place of a line, beside a proper length. */
  @Test
  void shouldAcceptExactlyTheBytesOfTheGrammarInAField() {
    for (int octet = 0; octet < 256; octet++) {
      String text = String.valueOf((char) octet);
      for (String line :
          new String[] {text + "b: c", "a" + text + "b: c", "ab" + text + ": c", "ab: c" + text}) {
        String head = "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n";
        assertThat(isAccepted(head)).as("%02x in %s", octet, line).isEqualTo(isProper(head));
      }
    }
  }

  /** Returns whether text is accepted as one head and no more. */
  private static boolean isAccepted(String head) {
    try {
      return read(head + SURPLUS, true, Integer.MAX_VALUE / 2) == head.length();
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean isProper(String head) {
    return GRAMMAR.matcher(head).matches();
  }

  /** Heads that were changed at random, compared with the grammar. The seed is fixed. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void shouldAcceptExactlyTheHeadsOfTheGrammar(long seed) {
    Random random = new Random(seed);
    String insertions = "\r\n\t :\u0000\u001b\u007f\u00e9a,;\"";
    int accepted = 0;
    for (int round = 0; round < 20_000; round++) {
      StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nAb: c d\r\nEf:\r\nG-h: i\r\n\r\n");
      for (int change = 0; change < 1 + random.nextInt(3); change++) {
        int index = random.nextInt(head.length());
        String inserted = String.valueOf(insertions.charAt(random.nextInt(insertions.length())));
        head.replace(index, index + random.nextInt(2), random.nextInt(4) == 0 ? "" : inserted);
      }
      String text = head.toString();
      boolean isAccepted = isAccepted(text);
      accepted += isAccepted ? 1 : 0;
      assertThat(isAccepted).as(text).isEqualTo(isProper(text) && !endsEarlier(text));
    }
    assertThat(accepted).isPositive();
  }

  /** Returns whether a head is followed by a body. */
  private static boolean endsEarlier(String head) {
    return IntStream.range(1, head.length())
        .mapToObj(end -> head.substring(0, end))
        .anyMatch(ResponseReaderTest::isProper);
  }

  // -- length of the body

  private static Stream<String> responses() {
    return Stream.of(
        HEAD + "body",
        "HTTP/1.0 200 \nContent-Length:\t4 \n\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\ncontent-length: 04\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + HEAD + "body",
        CHUNKED + "0\r\n\r\n",
        CHUNKED + "4\r\nbody\r\n0\r\n\r\n",
        CHUNKED + "0003;x=\"y\"\r\nbod\r\n1 ;z\r\ny\r\n00\r\n\r\n",
        CHUNKED + "A\r\n0123456789\r\na\r\n0123456789\r\n0;x\r\nX-Trailer: a\r\n\r\n",
        CHUNKED.replace("\r\nT", "\r\nContent-Length: 1\r\nT") + "4\r\nbody\r\n0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("responses")
  void shouldFindTheEndOfAResponse(String response) throws IOException {
    assertEnds(response, false);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD,
        CHUNKED,
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 404 Not Found\r\nContent-Length: 99\r\n\r\n"
      })
  void shouldExpectNoBodyAfterAHeadRequest(String response) throws IOException {
    assertEnds(response, true);
  }

  /** Guards against an informational response that is taken for the final one. */
  @ParameterizedTest
  @CsvSource({"100, 100", "101, 101", "102, 100", "103, 100", "110, 100", "111, 100", "199, 100"})
  void shouldShowOtherInformationalResponsesAsContinue(String sent, String shown)
      throws IOException {
    byte[] bytes = "HTTP/1.1 %s A\r\n\r\n".formatted(sent).getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    ResponseReader reader = new ResponseReader();
    reader.expectResponse(false);

    for (int index = 0; index < bytes.length; index++) {
      reader.read(buffer, index, index + 1);
    }

    assertThat(new String(bytes, StandardCharsets.ISO_8859_1))
        .isEqualTo("HTTP/1.1 %s A\r\n\r\n", shown);
  }

  @Test
  void shouldTakeAllBytesWhenTheBodyEndsWithItsConnection() throws IOException {
    String response = "HTTP/1.1 200 OK\r\n\r\n";

    assertThat(read(response + SURPLUS, false, 5)).isEqualTo(response.length() + SURPLUS.length());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "+4",
        "-4",
        "4,4",
        "4, 4",
        "4 4",
        "0x4",
        "4.0",
        "",
        "four",
        "4\u0000",
        "4\u00a0",
        "\u00b2",
        "9223372036854775808",
        "99999999999999999999",
        "4\r\nContent-Length: 5"
      })
  void shouldRejectLength(String length) {
    assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nbody");
    assertMalformed(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "chunky",
        "chunked, chunked",
        "gzip, chunked",
        "chunked,",
        "chunked;a=b",
        "identity",
        "chunked\r\nTransfer-Encoding: chunked"
      })
  void shouldRejectTransferCoding(String coding) {
    assertMalformed("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n");
  }

  @Test
  void shouldRejectTransferCodingBeforeItsVersion() {
    assertMalformed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  }

  // -- chunks

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\r\n",
        "+4\r\n",
        "-4\r\n",
        "0x4\r\n",
        "4g\r\n",
        " 4\r\n",
        "4 \r\n",
        "4\n",
        "4\rbody",
        ";x\r\n",
        "4;x\u0000\r\n",
        "4;x\n",
        "g\r\n",
        "8000000000000000\r\n",
        "10000000000000000\r\n",
        "4\r\nbodyX",
        "4\r\nbody\n0\r\n\r\n",
        "4\r\nbody\rX",
        "0\r\nno field\r\n\r\n",
        "0\r\nX Y: a\r\n\r\n",
        "0\r\n: a\r\n\r\n",
        "0\r\nX: a\r\n b\r\n",
        "0\r\nX: \u0000\r\n",
        "0\rX"
      })
  void shouldRejectChunks(String chunks) {
    assertMalformed(CHUNKED + chunks);
  }

  // -- bounds

  @Test
  void shouldRejectAHeadOfTooManyLines() {
    String head = "HTTP/1.1 200 OK\r\n" + "X: a\r\n".repeat(FieldSectionReader.MAXIMUM_LINES);

    assertThatThrownBy(() -> read(head, false, 7)).isInstanceOf(OversizedResponseException.class);
  }

  @Test
  void shouldTakeNothingWhenNoResponseIsExpected() throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(HEAD.getBytes(StandardCharsets.ISO_8859_1));

    assertThat(new ResponseReader().read(buffer, 0, HEAD.length())).isZero();
  }
}
