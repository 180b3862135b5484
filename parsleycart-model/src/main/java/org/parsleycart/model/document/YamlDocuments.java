package org.parsleycart.model.document;

import static java.util.Objects.requireNonNull;

import io.vavr.control.Either;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;
import org.yaml.snakeyaml.representer.Representer;

/** Parses and formats documents as YAML, which includes JSON. */
public final class YamlDocuments {
  private static final int MAXIMUM_CODE_POINTS = 16 * 1024 * 1024;
  private static final int MAXIMUM_DEPTH = 32;

  private YamlDocuments() {}

  // -- reading

  /**
   * Parses one YAML document.
   *
   * @param source the name of the file, used in locations
   * @param text the YAML text; anchors and aliases are rejected
   * @return the document, or all problems with its syntax
   */
  public static Either<List<Problem>, Document> parse(String source, String text) {
    requireNonNull(source, "source is null");
    requireNonNull(text, "text is null");
    SourceLocation root = SourceLocation.ofRoot(source);
    try {
      Node node = new Yaml(loaderOptions()).compose(new StringReader(text));
      return node == null
          ? Either.left(List.of(new Problem(root, "an empty document", "a mapping")))
          : convert(root, node);
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
      Problem problem =
          new Problem(new SourceLocation(source, line, ""), e.getProblem(), "valid YAML");
      return Either.left(List.of(problem));
    } catch (YAMLException e) {
      return Either.left(List.of(new Problem(root, e.getMessage(), "valid YAML")));
    }
  }

  private static LoaderOptions loaderOptions() {
    LoaderOptions options = new LoaderOptions();
    options.setMaxAliasesForCollections(0);
    options.setNestingDepthLimit(MAXIMUM_DEPTH);
    options.setCodePointLimit(MAXIMUM_CODE_POINTS);
    return options;
  }

  private static Either<List<Problem>, Document> convert(SourceLocation root, Node node) {
    List<Problem> problems = new ArrayList<>();
    Document document = toDocument(root, node, problems);
    return problems.isEmpty() ? Either.right(document) : Either.left(problems);
  }

  private static Document toDocument(SourceLocation location, Node node, List<Problem> problems) {
    SourceLocation nodeLocation =
        new SourceLocation(location.source(), node.getStartMark().getLine() + 1, location.path());
    if (node instanceof MappingNode mapping) {
      return toMapping(nodeLocation, mapping, problems);
    }
    if (node instanceof SequenceNode sequence) {
      return toSequence(nodeLocation, sequence, problems);
    }
    return toScalar(nodeLocation, (ScalarNode) node);
  }

  private static Document toMapping(
      SourceLocation nodeLocation, MappingNode mapping, List<Problem> problems) {
    Map<String, Document> entries = new LinkedHashMap<>();
    for (NodeTuple tuple : mapping.getValue()) {
      int line = tuple.getKeyNode().getStartMark().getLine() + 1;
      String key = tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
      SourceLocation child = nodeLocation.child(key, line);
      Document value = toDocument(child, tuple.getValueNode(), problems);
      if (entries.put(key, value) != null) {
        problems.add(new Problem(child, "duplicate key \"" + key + "\"", "each key once"));
      }
    }
    return new Document.Mapping(nodeLocation, entries);
  }

  private static Document toSequence(
      SourceLocation nodeLocation, SequenceNode sequence, List<Problem> problems) {
    List<Document> items = new ArrayList<>();
    for (Node item : sequence.getValue()) {
      int line = item.getStartMark().getLine() + 1;
      items.add(toDocument(nodeLocation.item(items.size(), line), item, problems));
    }
    return new Document.Sequence(nodeLocation, items);
  }

  private static Document toScalar(SourceLocation nodeLocation, ScalarNode scalar) {
    String text = scalar.getValue();
    Tag tag = scalar.getTag();
    if (Tag.BOOL.equals(tag) && (text.equals("true") || text.equals("false"))) {
      return new Document.Scalar(nodeLocation, Boolean.valueOf(text));
    }
    if (Tag.INT.equals(tag) && text.matches("-?[0-9]{1,18}")) {
      return new Document.Scalar(nodeLocation, Long.valueOf(text));
    }
    if (Tag.FLOAT.equals(tag) && text.matches("-?[0-9]+\\.[0-9]+")) {
      return new Document.Scalar(nodeLocation, Double.valueOf(text));
    }
    return new Document.Scalar(nodeLocation, text);
  }

  // -- writing

  /** Formats a document as YAML. */
  public static String format(Document document) {
    requireNonNull(document, "document is null");
    DumperOptions options = new DumperOptions();
    options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
    Yaml yaml = new Yaml(new SafeConstructor(loaderOptions()), new Representer(options), options);
    return yaml.dump(toPlain(document));
  }

  private static Object toPlain(Document document) {
    if (document instanceof Document.Mapping mapping) {
      Map<String, Object> plain = new LinkedHashMap<>();
      mapping.entries().forEach((key, value) -> plain.put(key, toPlain(value)));
      return plain;
    }
    if (document instanceof Document.Sequence sequence) {
      return sequence.items().stream().map(YamlDocuments::toPlain).toList();
    }
    return ((Document.Scalar) document).value();
  }
}
