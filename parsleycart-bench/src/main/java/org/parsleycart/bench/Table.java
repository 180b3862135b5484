package org.parsleycart.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A table of figures whose rows are printed when added and written as comma-separated values. */
final class Table {
  private final List<String> lines = new ArrayList<>();

  private Table(String header) {
    add(header);
  }

  static Table of(String... columns) {
    return new Table(String.join(",", columns));
  }

  /** Adds a row; a {@code Double} gets three decimals, other cells their {@code toString()}. */
  void row(Object... cells) {
    List<String> texts = new ArrayList<>();
    for (Object cell : cells) {
      texts.add(cell instanceof Double number ? "%.3f".formatted(number) : cell.toString());
    }
    add(String.join(",", texts));
  }

  private void add(String line) {
    lines.add(line);
    System.out.println(line);
  }

  /** Writes the table to {@code NAME.csv} in the folder, which is created if it is missing. */
  void write(Path folder, String name) {
    try {
      Files.createDirectories(folder);
      Files.write(folder.resolve(name + ".csv"), lines);
    } catch (IOException e) {
      throw new UncheckedIOException("table " + name + ".csv could not be written to " + folder, e);
    }
  }
}
