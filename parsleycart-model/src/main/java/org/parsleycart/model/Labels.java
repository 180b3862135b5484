package org.parsleycart.model;

import java.util.Map;
import java.util.TreeMap;

/** Helper methods for labels. */
final class Labels {
  private Labels() {}

  /** Returns the labels with the name added under the key {@code name}. */
  static Map<String, String> withName(Map<String, String> labels, String name) {
    Map<String, String> all = new TreeMap<>(labels);
    all.put("name", name);
    return all;
  }
}
