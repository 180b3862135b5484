package org.parsleycart.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.parsleycart.model.document.Document;
import org.parsleycart.model.document.JsonDocuments;
import org.parsleycart.model.document.YamlDocuments;

/** The output formats for answers. */
enum OutputFormat {
  /** Lines of keys and values, and a table for each list of mappings. */
  TABLE {
    @Override
    String format(Document document) {
      List<String> lines = new ArrayList<>();
      TableText.addTo(lines, "", document);
      return String.join(System.lineSeparator(), lines);
    }
  },
  JSON {
    @Override
    String format(Document document) {
      return JsonDocuments.format(document);
    }
  },
  YAML {
    @Override
    String format(Document document) {
      return YamlDocuments.format(document);
    }
  };

  abstract String format(Document document);

  @Override
  public String toString() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Formats documents as lines and tables. */
  private static final class TableText {
    private TableText() {}

    static void addTo(List<String> lines, String name, Document document) {
      if (document instanceof Document.Mapping mapping) {
        mapping
            .entries()
            .forEach((key, value) -> addTo(lines, name.isEmpty() ? key : name + "." + key, value));
      } else if (document instanceof Document.Sequence sequence) {
        addTable(lines, name, sequence);
      } else {
        lines.add(name + ": " + text(document));
      }
    }

    private static void addTable(List<String> lines, String name, Document.Sequence sequence) {
      lines.add(name + ":" + (sequence.items().isEmpty() ? " none" : ""));
      List<String> columns =
          sequence.items().stream()
              .flatMap(item -> entries(item).keySet().stream())
              .distinct()
              .toList();
      if (columns.isEmpty()) {
        sequence.items().forEach(item -> lines.add("  " + text(item)));
        return;
      }
      Map<String, Integer> widths =
          columns.stream()
              .collect(Collectors.toMap(column -> column, column -> width(column, sequence)));
      lines.add(row(columns, widths, columns));
      sequence
          .items()
          .forEach(
              item ->
                  lines.add(
                      row(
                          columns,
                          widths,
                          columns.stream().map(column -> cell(item, column)).toList())));
    }

    private static int width(String column, Document.Sequence sequence) {
      return sequence.items().stream()
          .mapToInt(item -> cell(item, column).length())
          .reduce(column.length(), Math::max);
    }

    private static String row(
        List<String> columns, Map<String, Integer> widths, List<String> cells) {
      StringBuilder line = new StringBuilder(" ");
      for (int index = 0; index < columns.size(); index++) {
        line.append(' ').append(cells.get(index));
        line.append(" ".repeat(widths.get(columns.get(index)) - cells.get(index).length() + 1));
      }
      return line.toString().stripTrailing();
    }

    private static String cell(Document item, String column) {
      Document value = entries(item).get(column);
      return value == null ? "" : text(value);
    }

    private static Map<String, Document> entries(Document item) {
      return item instanceof Document.Mapping mapping ? mapping.entries() : Map.of();
    }

    private static String text(Document document) {
      return document instanceof Document.Scalar scalar
          ? scalar.value().toString()
          : JsonDocuments.format(document);
    }
  }
}
