package rushwood.simulator;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import rushwood.config.DecimalSeconds;

/** One line of the wire, its parts found by name. */
final class WireLine {
  private final String text;
  private final long requiredNumber;
  private int[] fieldStarts = new int[16];
  private int fieldCount;

  WireLine(String text, long number) {
    this.text = text;
    this.requiredNumber = number;
    for (int at = text.indexOf('\t'); at >= 0; at = text.indexOf('\t', at + 1)) {
      if (fieldCount == fieldStarts.length) {
        fieldStarts = Arrays.copyOf(fieldStarts, 2 * fieldCount);
      }
      fieldStarts[fieldCount++] = at + 1;
    }
  }

  String messageType() {
    return fieldCount == 0 ? text : text.substring(0, fieldStarts[0] - 1);
  }

  MalformedMessageException malformed(String field, String why) {
    return new MalformedMessageException(
        "line " + requiredNumber + " (" + messageType() + "): " + field + " " + why);
  }

  /** The value of that name, or null. */
  String optionalText(String name) {
    for (int i = 0; i < fieldCount; i++) {
      int from = fieldStarts[i];
      int equals = from + name.length();
      if (text.startsWith(name, from) && equals < text.length() && text.charAt(equals) == '=') {
        return text.substring(equals + 1, end(i));
      }
    }
    return null;
  }

  private int end(int part) {
    return part + 1 < fieldCount ? fieldStarts[part + 1] - 1 : text.length();
  }

  /** All parts as pairs, in order; the caller skips what it does not know. */
  Map<String, String> fields() {
    Map<String, String> pairs = new LinkedHashMap<>();
    for (int i = 0; i < fieldCount; i++) {
      String part = text.substring(fieldStarts[i], end(i));
      int equals = part.indexOf('=');
      if (equals > 0) {
        pairs.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return pairs;
  }

  String requiredText(String name) {
    String value = optionalText(name);
    if (value == null || value.isEmpty()) {
      throw malformed(name, "is missing");
    }
    return value;
  }

  long requiredNanos(String name) {
    return DecimalSeconds.parseNanos(requiredText(name), () -> malformed(name, "is not a time"));
  }

  double requiredNumber(String name) {
    return DecimalSeconds.parseNumber(requiredText(name), () -> malformed(name, "is not a number"));
  }

  int requiredInt(String name) {
    long value = requiredLong(name);
    if (value != (int) value) {
      throw malformed(name, "is out of range");
    }
    return (int) value;
  }

  long requiredLong(String name) {
    try {
      return Long.parseLong(requiredText(name));
    } catch (NumberFormatException e) {
      throw malformed(name, "is not a whole number");
    }
  }

  boolean optionalFlag(String name) {
    String value = optionalText(name);
    if (value == null || value.equals("0")) {
      return false;
    }
    if (!value.equals("1")) {
      throw malformed(name, "is neither 0 nor 1");
    }
    return true;
  }
}
