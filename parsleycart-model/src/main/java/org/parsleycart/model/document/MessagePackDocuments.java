package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Parses and formats documents as MessagePack.
 *
 * <p>Parsing accepts untrusted bytes: the nesting depth is limited, element counts are limited by
 * the length of the input, and errors are returned as values.
 */
public final class MessagePackDocuments {
  private static final int MAXIMUM_DEPTH = 32;
  private static final SourceLocation LOCATION = SourceLocation.ofRoot("message");

  private MessagePackDocuments() {}

  // -- writing

  /** Formats a document as MessagePack; equal documents have equal bytes. */
  public static byte[] format(Document document) {
    requireNonNull(document, "document is null");
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, document);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("document could not be written to memory as MessagePack", e);
    }
  }

  private static void write(MessageBufferPacker packer, Document document) throws IOException {
    if (document instanceof Document.Mapping mapping) {
      packer.packMapHeader(mapping.entries().size());
      for (Map.Entry<String, Document> entry : mapping.entries().entrySet()) {
        packer.packString(entry.getKey());
        write(packer, entry.getValue());
      }
    } else if (document instanceof Document.Sequence sequence) {
      packer.packArrayHeader(sequence.items().size());
      for (Document item : sequence.items()) {
        write(packer, item);
      }
    } else if (document instanceof Document.Scalar scalar) {
      writeScalar(packer, scalar.value());
    }
  }

  private static void writeScalar(MessageBufferPacker packer, Object value) throws IOException {
    if (value instanceof Long number) {
      packer.packLong(number);
    } else if (value instanceof Double number) {
      packer.packDouble(number);
    } else if (value instanceof Boolean flag) {
      packer.packBoolean(flag);
    } else {
      packer.packString(value.toString());
    }
  }

  // -- reading

  /**
   * Parses MessagePack bytes.
   *
   * @param bytes any bytes; they need not be valid
   * @return the document, or the problem with its format
   */
  public static Either<Problem, Document> parse(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      Document document = read(unpacker, bytes.length, 0);
      return unpacker.hasNext()
          ? Either.left(
              new Problem(LOCATION, "bytes after the end of the document", "a single document"))
          : Either.right(document);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      String found = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      return Either.left(new Problem(LOCATION, found, "MessagePack"));
    }
  }

  private static Document read(MessageUnpacker unpacker, int documentBytes, int depth)
      throws IOException {
    if (depth > MAXIMUM_DEPTH) {
      throw new IllegalArgumentException("nesting deeper than " + MAXIMUM_DEPTH + " levels");
    }
    ValueType type = unpacker.getNextFormat().getValueType();
    return switch (type) {
      case MAP -> readMapping(unpacker, documentBytes, depth);
      case ARRAY -> readSequence(unpacker, documentBytes, depth);
      case STRING -> new Document.Scalar(LOCATION, unpacker.unpackString());
      case INTEGER -> new Document.Scalar(LOCATION, unpacker.unpackLong());
      case FLOAT -> new Document.Scalar(LOCATION, unpacker.unpackDouble());
      case BOOLEAN -> new Document.Scalar(LOCATION, unpacker.unpackBoolean());
      default -> throw new IllegalArgumentException("unsupported value type " + type);
    };
  }

  private static Document readMapping(MessageUnpacker unpacker, int documentBytes, int depth)
      throws IOException {
    int count = requirePlausibleCount(unpacker.unpackMapHeader(), documentBytes);
    Map<String, Document> entries = new LinkedHashMap<>();
    for (int index = 0; index < count; index++) {
      String key = unpacker.unpackString();
      entries.put(key, read(unpacker, documentBytes, depth + 1));
    }
    return new Document.Mapping(LOCATION, entries);
  }

  private static Document readSequence(MessageUnpacker unpacker, int documentBytes, int depth)
      throws IOException {
    int count = requirePlausibleCount(unpacker.unpackArrayHeader(), documentBytes);
    List<Document> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      items.add(read(unpacker, documentBytes, depth + 1));
    }
    return new Document.Sequence(LOCATION, items);
  }

  private static int requirePlausibleCount(int count, int documentBytes) {
    if (count < 0 || count > documentBytes) {
      throw new IllegalArgumentException(
          "element count " + count + " in a document of " + documentBytes + " bytes");
    }
    return count;
  }
}
