package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;

/** Writes documents as JSON. JSON text is read by {@link YamlDocuments}. */
public final class JsonDocuments {
  private static final JsonFactory FACTORY = new JsonFactory();

  private JsonDocuments() {}

  /** Returns the JSON text of a document. */
  public static String format(Document document) {
    requireNonNull(document, "document is null");
    StringWriter writer = new StringWriter();
    try (JsonGenerator generator = FACTORY.createGenerator(writer)) {
      write(generator, document);
    } catch (IOException e) {
      throw new UncheckedIOException("a string writer refused text", e);
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
