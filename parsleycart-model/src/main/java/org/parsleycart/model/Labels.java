package org.parsleycart.model;

import java.util.Map;
import java.util.TreeMap;

/** Helpers for label sets. */
final class Labels {
  private Labels() {}

  static Map<String, String> withName(Map<String, String> labels, String name) {
    Map<String, String> all = new TreeMap<>(labels);
    all.put("name", name);
    return all;
  }
}
