package rushwood.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * Typed access to the fields of a JSON object. Numbers and flags may also be written as strings.
 * The methods that read a field throw {@link InvalidFieldException} with the field's name if it is
 * missing or invalid.
 */
final class JsonFields {
  private JsonFields() {}

  /**
   * Parses one JSON object.
   *
   * @throws MalformedListException if {@code json} is not a JSON object
   */
  static JsonObject parseObject(String json) throws MalformedListException {
    try {
      return JsonParser.parseString(json).getAsJsonObject();
    } catch (JsonParseException | IllegalStateException e) { // invalid JSON, or not an object
      throw new MalformedListException("not a JSON object: " + e.getMessage());
    }
  }

  /** Returns a string, number or flag as text; null and the empty string are invalid. */
  static String requiredText(JsonObject object, String field) {
    JsonElement value = object.get(field);
    if (value == null || !value.isJsonPrimitive() || value.getAsString().isEmpty()) {
      throw InvalidFieldException.missingOrUnreadable(field);
    }
    return value.getAsString();
  }

  /** Returns a number in any notation that {@link Double#parseDouble} accepts. */
  static double requiredNumber(JsonObject object, String field) {
    try {
      return Double.parseDouble(requiredText(object, field));
    } catch (NumberFormatException e) {
      throw InvalidFieldException.missingOrUnreadable(field);
    }
  }

  /** Returns a number, or {@code defaultValue} if the field is absent or null. */
  static double optionalNumber(JsonObject object, String field, double defaultValue) {
    boolean absent = !object.has(field) || object.get(field).isJsonNull();
    return absent ? defaultValue : requiredNumber(object, field);
  }

  /** Returns a flag, which must be {@code true} or {@code false}. */
  static boolean requiredFlag(JsonObject object, String field) {
    return switch (requiredText(object, field)) {
      case "true" -> true;
      case "false" -> false;
      default -> throw InvalidFieldException.missingOrUnreadable(field);
    };
  }
}
