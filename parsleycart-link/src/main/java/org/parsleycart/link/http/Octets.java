package org.parsleycart.link.http;

import java.nio.ByteBuffer;
import java.util.Locale;

/** The classes of bytes of which messages consist, each byte as a number from 0 to 255. */
final class Octets {
  static final int HORIZONTAL_TAB = '\t';
  static final int LINE_FEED = '\n';
  static final int CARRIAGE_RETURN = '\r';
  static final int SPACE = ' ';
  private static final int DELETE = 0x7f;
  private static final int COUNT = 256;
  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;
  private static final boolean[] TOKEN = tokenOctets();

  private Octets() {}

  private static boolean[] tokenOctets() {
    boolean[] octets = new boolean[COUNT];
    "!#$%&'*+-.^_`|~0123456789".chars().forEach(octet -> octets[octet] = true);
    for (char letter = 'a'; letter <= 'z'; letter++) {
      octets[letter] = true;
      octets[Character.toUpperCase(letter)] = true;
    }
    return octets;
  }

  /** Returns the byte of a buffer at an index. */
  static int at(ByteBuffer buffer, int index) {
    return Byte.toUnsignedInt(buffer.get(index));
  }

  /** Returns whether a byte may be part of a token, such as the name of a field. */
  static boolean isToken(int octet) {
    return TOKEN[octet];
  }

  /** Returns whether a byte may be part of the value of a field or of a reason phrase. */
  static boolean isText(int octet) {
    return octet >= SPACE ? octet != DELETE : octet == HORIZONTAL_TAB;
  }

  /** Returns whether a byte is optional white space. */
  static boolean isBlank(int octet) {
    return octet == SPACE || octet == HORIZONTAL_TAB;
  }

  static boolean isDigit(int octet) {
    return octet >= '0' && octet <= '9';
  }

  /** Returns the value of a decimal digit. */
  static int digit(int octet) {
    return octet - '0';
  }

  /** Returns the value of a hexadecimal digit, -1 for any other byte. */
  static int hexadecimalDigit(int octet) {
    if (isDigit(octet)) {
      return digit(octet);
    }
    int lowerCase = octet | SPACE;
    return lowerCase >= 'a' && lowerCase < 'a' + HEXADECIMAL - DECIMAL
        ? lowerCase - 'a' + DECIMAL
        : -1;
  }

  /** Returns the byte in a form that can be printed. */
  static String describe(int octet) {
    return String.format(Locale.ROOT, "byte 0x%02x", octet);
  }
}
