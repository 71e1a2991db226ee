package org.endivemux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Formats results as tables or as JSON. Stateless and thread-safe. */
final class Output {
  private Output() {}

  static String of(JsonNode result, String format) {
    return format.equals("json") ? result.toPrettyString() : table(result, "");
  }

  private static String table(JsonNode node, String indent) {
    return fields(node)
        .map(field -> row(field.getKey(), field.getValue(), indent))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  private static String row(String name, JsonNode value, String indent) {
    if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
      return indent + name + ":" + System.lineSeparator() + objects(value, indent + "  ");
    }
    if (value.isArray()) {
      List<String> lines =
          StreamSupport.stream(value.spliterator(), false)
              .map(item -> System.lineSeparator() + indent + "  " + item.asText())
              .toList();
      return indent + name + ":" + (lines.isEmpty() ? " none" : String.join("", lines));
    }
    if (value.isObject()) {
      return indent + name + ":" + System.lineSeparator() + table(value, indent + "  ");
    }
    return String.format("%s%-14s %s", indent, name + ":", value.asText());
  }

  private static String objects(JsonNode array, String indent) {
    return StreamSupport.stream(array.spliterator(), false)
        .map(item -> indent + fields(item).map(Output::pair).collect(Collectors.joining("  ")))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  private static String pair(Map.Entry<String, JsonNode> field) {
    JsonNode value = field.getValue();
    String text =
        value.isObject()
            ? "{" + fields(value).map(Output::pair).collect(Collectors.joining(" ")) + "}"
            : value.isArray() ? value.toString() : value.asText();
    return field.getKey() + "=" + text;
  }

  private static Stream<Map.Entry<String, JsonNode>> fields(JsonNode node) {
    return Stream.of(node)
        .map(JsonNode::properties)
        .flatMap(java.util.Set::stream)
        .map(Function.identity());
  }
}
