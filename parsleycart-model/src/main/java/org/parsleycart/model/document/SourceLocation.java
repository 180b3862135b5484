package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

/**
 * The location of a node in the source of a document.
 *
 * @param source the file or other origin of the document
 * @param line the line, counted from 1, or 0 if the format has no lines
 * @param path the keys and indexes from the root, such as {@code routes[2].service}
 */
public record SourceLocation(String source, int line, String path) {

  // -- construction

  public SourceLocation {
    requireNonNull(source, "source is null");
    requireNonNull(path, "path is null");
  }

  /** Returns the location of the root of a document. */
  public static SourceLocation ofRoot(String source) {
    return new SourceLocation(source, 0, "");
  }

  // -- queries

  /** Returns the location of an entry of this node, on the given line. */
  public SourceLocation child(String key, int childLine) {
    return new SourceLocation(source, childLine, path.isEmpty() ? key : path + "." + key);
  }

  /** Returns the location of an item of this node, on the given line. */
  public SourceLocation item(int index, int childLine) {
    return new SourceLocation(source, childLine, path + "[" + index + "]");
  }

  // -- Object

  @Override
  public String toString() {
    String lineText = line > 0 ? ":" + line : "";
    return source + lineText + (path.isEmpty() ? "" : " at " + path);
  }
}
