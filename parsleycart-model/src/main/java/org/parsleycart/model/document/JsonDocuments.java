package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.vavr.control.Either;
import java.io.EOFException;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses and formats documents as JSON. */
public final class JsonDocuments {
  private static final JsonFactory FACTORY = new JsonFactory();
  private static final int MAXIMUM_DEPTH = 32;

  private JsonDocuments() {}

  /**
   * Parses a single JSON value. Entries and items with a null value are omitted.
   *
   * @param source the name of the source, used in locations
   * @param bytes the JSON text in UTF-8
   * @return the document, or the problem with its syntax
   */
  public static Either<List<Problem>, Document> parse(String source, byte[] bytes) {
    requireNonNull(bytes, "bytes is null");
    SourceLocation location = SourceLocation.ofRoot(requireNonNull(source, "source is null"));
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      parser.nextToken();
      Optional<Document> document = read(parser, location, 0);
      boolean isSingleValue = document.isPresent() && parser.nextToken() == null;
      return isSingleValue
          ? Either.right(document.get())
          : Either.left(
              List.of(
                  new Problem(location, "no JSON value or several values", "a single JSON value")));
    } catch (IOException e) {
      return Either.left(
          List.of(new Problem(location, e.getClass().getSimpleName(), "valid JSON")));
    }
  }

  private static Optional<Document> read(JsonParser parser, SourceLocation location, int depth)
      throws IOException {
    JsonToken token = parser.currentToken();
    if (token == null || depth > MAXIMUM_DEPTH) {
      throw new EOFException(
          "JSON value missing, or nesting deeper than " + MAXIMUM_DEPTH + " levels");
    }
    return switch (token) {
      case START_OBJECT -> Optional.of(readMapping(parser, location, depth));
      case START_ARRAY -> Optional.of(readSequence(parser, location, depth));
      case VALUE_NUMBER_INT -> Optional.of(new Document.Scalar(location, parser.getLongValue()));
      case VALUE_NUMBER_FLOAT ->
          Optional.of(new Document.Scalar(location, parser.getDoubleValue()));
      case VALUE_TRUE, VALUE_FALSE ->
          Optional.of(new Document.Scalar(location, parser.getBooleanValue()));
      case VALUE_NULL -> Optional.empty();
      default -> Optional.of(new Document.Scalar(location, parser.getText()));
    };
  }

  private static Document readMapping(JsonParser parser, SourceLocation location, int depth)
      throws IOException {
    Map<String, Document> entries = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      parser.nextToken();
      read(parser, location, depth + 1).ifPresent(value -> entries.put(key, value));
    }
    return new Document.Mapping(location, entries);
  }

  private static Document readSequence(JsonParser parser, SourceLocation location, int depth)
      throws IOException {
    List<Document> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      read(parser, location, depth + 1).ifPresent(items::add);
    }
    return new Document.Sequence(location, items);
  }

  /** Formats a document as JSON. */
  public static String format(Document document) {
    requireNonNull(document, "document is null");
    StringWriter writer = new StringWriter();
    try (JsonGenerator generator = FACTORY.createGenerator(writer)) {
      write(generator, document);
    } catch (IOException e) {
      throw new UncheckedIOException("document could not be written to memory as JSON", e);
    }
    return writer.toString();
  }

  private static void write(JsonGenerator generator, Document document) throws IOException {
    if (document instanceof Document.Mapping mapping) {
      generator.writeStartObject();
      for (Map.Entry<String, Document> entry : mapping.entries().entrySet()) {
        generator.writeFieldName(entry.getKey());
        write(generator, entry.getValue());
      }
      generator.writeEndObject();
    } else if (document instanceof Document.Sequence sequence) {
      generator.writeStartArray();
      for (Document item : sequence.items()) {
        write(generator, item);
      }
      generator.writeEndArray();
    } else if (document instanceof Document.Scalar scalar) {
      writeScalar(generator, scalar.value());
    }
  }

  private static void writeScalar(JsonGenerator generator, Object value) throws IOException {
    if (value instanceof Long number) {
      generator.writeNumber(number);
    } else if (value instanceof Double number) {
      generator.writeNumber(number);
    } else if (value instanceof Boolean flag) {
      generator.writeBoolean(flag);
    } else {
      generator.writeString(value.toString());
    }
  }
}
