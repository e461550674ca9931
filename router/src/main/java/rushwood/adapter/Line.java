package rushwood.adapter;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/** One line of the wire, its parts found by name. */
final class Line {
  private final String text;
  private final long number;
  private int[] starts = new int[16];
  private int parts;

  Line(String text, long number) {
    this.text = text;
    this.number = number;
    for (int at = text.indexOf('\t'); at >= 0; at = text.indexOf('\t', at + 1)) {
      if (parts == starts.length) {
        starts = Arrays.copyOf(starts, 2 * parts);
      }
      starts[parts++] = at + 1;
    }
  }

  String message() {
    return parts == 0 ? text : text.substring(0, starts[0] - 1);
  }

  BadLine bad(String field, String why) {
    return new BadLine("line " + number + " (" + message() + "): " + field + " " + why);
  }

  /** The value of that name, or null. */
  String find(String name) {
    for (int i = 0; i < parts; i++) {
      int from = starts[i];
      int equals = from + name.length();
      if (text.startsWith(name, from) && equals < text.length() && text.charAt(equals) == '=') {
        return text.substring(equals + 1, end(i));
      }
    }
    return null;
  }

  private int end(int part) {
    return part + 1 < parts ? starts[part + 1] - 1 : text.length();
  }

  /** All parts as pairs, in order; the caller skips what it does not know. */
  Map<String, String> pairs() {
    Map<String, String> pairs = new LinkedHashMap<>();
    for (int i = 0; i < parts; i++) {
      String part = text.substring(starts[i], end(i));
      int equals = part.indexOf('=');
      if (equals > 0) {
        pairs.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return pairs;
  }

  String need(String name) {
    String value = find(name);
    if (value == null || value.isEmpty()) {
      throw bad(name, "is missing");
    }
    return value;
  }

  long time(String name) {
    return Decimal.nanos(need(name), () -> bad(name, "is not a time"));
  }

  double number(String name) {
    return Decimal.number(need(name), () -> bad(name, "is not a number"));
  }

  int whole(String name) {
    long value = big(name);
    if (value != (int) value) {
      throw bad(name, "is out of range");
    }
    return (int) value;
  }

  long big(String name) {
    try {
      return Long.parseLong(need(name));
    } catch (NumberFormatException e) {
      throw bad(name, "is not a whole number");
    }
  }

  boolean flag(String name) {
    String value = find(name);
    if (value == null || value.equals("0")) {
      return false;
    }
    if (!value.equals("1")) {
      throw bad(name, "is neither 0 nor 1");
    }
    return true;
  }
}
