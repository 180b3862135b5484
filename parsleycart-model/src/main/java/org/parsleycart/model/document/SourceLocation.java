package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

/**
 * Where a part of a document stands.
 *
 * @param source the file or other origin of the document
 * @param line the line, counted from 1, or 0 when the form has no lines
 * @param path the keys and positions from the root, such as {@code routes[2].service}
 */
public record SourceLocation(String source, int line, String path) {

  // -- construction

  public SourceLocation {
    requireNonNull(source, "source is null");
    requireNonNull(path, "path is null");
  }

  /** Returns the place of the root of a document from the given origin. */
  public static SourceLocation ofRoot(String source) {
    return new SourceLocation(source, 0, "");
  }

  // -- queries

  /** Returns the place of the entry with the given key, on the given line. */
  public SourceLocation child(String key, int childLine) {
    return new SourceLocation(source, childLine, path.isEmpty() ? key : path + "." + key);
  }

  /** Returns the place of the item at the given position, on the given line. */
  public SourceLocation item(int position, int childLine) {
    return new SourceLocation(source, childLine, path + "[" + position + "]");
  }

  // -- Object

  @Override
  public String toString() {
    String lineText = line > 0 ? ":" + line : "";
    return source + lineText + (path.isEmpty() ? "" : " at " + path);
  }
}
