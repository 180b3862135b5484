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
 * Reads and writes documents as MessagePack.
 *
 * <p>Reading survives any bytes: nesting and counts are bounded by what the input can hold, and a
 * fault is a value.
 */
public final class MessagePackDocuments {
  private static final int MAXIMUM_DEPTH = 32;
  private static final SourceLocation PLACE = SourceLocation.ofRoot("message");

  private MessagePackDocuments() {}

  // -- writing

  /** Returns the MessagePack bytes of a document; equal documents give equal bytes. */
  public static byte[] format(Document document) {
    requireNonNull(document, "document is null");
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, document);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("a memory buffer refused bytes", e);
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
   * @param bytes any bytes
   * @return the document, or the fault of its form
   */
  public static Either<Problem, Document> parse(byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      Document document = read(unpacker, bytes.length, 0);
      return unpacker.hasNext()
          ? Either.left(new Problem(PLACE, "more bytes after the end", "one document"))
          : Either.right(document);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      String found = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
      return Either.left(new Problem(PLACE, found, "MessagePack"));
    }
  }

  private static Document read(MessageUnpacker unpacker, int limit, int depth) throws IOException {
    if (depth > MAXIMUM_DEPTH) {
      throw new IllegalArgumentException("nesting above " + MAXIMUM_DEPTH);
    }
    ValueType type = unpacker.getNextFormat().getValueType();
    return switch (type) {
      case MAP -> readMapping(unpacker, limit, depth);
      case ARRAY -> readSequence(unpacker, limit, depth);
      case STRING -> new Document.Scalar(PLACE, unpacker.unpackString());
      case INTEGER -> new Document.Scalar(PLACE, unpacker.unpackLong());
      case FLOAT -> new Document.Scalar(PLACE, unpacker.unpackDouble());
      case BOOLEAN -> new Document.Scalar(PLACE, unpacker.unpackBoolean());
      default -> throw new IllegalArgumentException("a value of type " + type);
    };
  }

  private static Document readMapping(MessageUnpacker unpacker, int limit, int depth)
      throws IOException {
    int count = boundedCount(unpacker.unpackMapHeader(), limit);
    Map<String, Document> entries = new LinkedHashMap<>();
    for (int index = 0; index < count; index++) {
      String key = unpacker.unpackString();
      entries.put(key, read(unpacker, limit, depth + 1));
    }
    return new Document.Mapping(PLACE, entries);
  }

  private static Document readSequence(MessageUnpacker unpacker, int limit, int depth)
      throws IOException {
    int count = boundedCount(unpacker.unpackArrayHeader(), limit);
    List<Document> items = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      items.add(read(unpacker, limit, depth + 1));
    }
    return new Document.Sequence(PLACE, items);
  }

  private static int boundedCount(int count, int limit) {
    if (count < 0 || count > limit) {
      throw new IllegalArgumentException("a count of " + count + " in " + limit + " bytes");
    }
    return count;
  }
}
