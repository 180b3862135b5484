package org.parsleycart.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Figures in rows, printed as they come and kept as comma-separated values. */
final class Table {
  private final List<String> lines = new ArrayList<>();

  private Table(String header) {
    add(header);
  }

  static Table of(String... columns) {
    return new Table(String.join(",", columns));
  }

  /** Adds a row; numbers are given as texts in the form that they keep. */
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

  void write(Path folder, String name) {
    try {
      Files.createDirectories(folder);
      Files.write(folder.resolve(name + ".csv"), lines);
    } catch (IOException e) {
      throw new UncheckedIOException("figures could not be written", e);
    }
  }
}
