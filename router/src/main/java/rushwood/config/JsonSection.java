package rushwood.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;

/**
 * A JSON object in the operator's settings, all of whose fields are optional. The accessors return
 * a default for a missing field, and throw an {@link InvalidConfigException} if the field has
 * another type.
 *
 * @param prefix the text before a field's name in error messages: empty for the root object,
 *     otherwise the path of the object and a dot
 * @param json the object
 */
record JsonSection(String prefix, JsonObject json) {

  /** Throws an exception for the first field whose name is not in {@code knownFields}. */
  void rejectUnknownFields(List<String> knownFields) throws InvalidConfigException {
    for (String field : json.keySet()) {
      if (!knownFields.contains(field)) {
        throw invalid(field, "is not a known setting");
      }
    }
  }

  /** Returns the nested object of the given name, or an empty one if it is missing. */
  JsonSection section(String field) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value != null && !value.isJsonObject()) {
      throw invalid(field, "is not an object");
    }
    JsonObject object = value == null ? new JsonObject() : value.getAsJsonObject();
    return new JsonSection(prefix + field + ".", object);
  }

  String text(String field, String defaultValue) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
      throw invalid(field, "is not a string");
    }
    return value.getAsString();
  }

  boolean flag(String field, boolean defaultValue) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
      throw invalid(field, "is neither true nor false");
    }
    return value.getAsBoolean();
  }

  /**
   * Returns a number from 0 to {@code max}.
   *
   * @param max a whole number, because error messages print it without decimal places
   */
  double number(String field, double defaultValue, double max) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value == null) {
      return defaultValue;
    }
    boolean isNumber = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
    if (!isNumber || !(value.getAsDouble() >= 0 && value.getAsDouble() <= max)) {
      throw invalid(field, "is not a number from 0 to " + (long) max);
    }
    return value.getAsDouble();
  }

  /** Returns an exception that names the field with its path. */
  InvalidConfigException invalid(String field, String reason) {
    return new InvalidConfigException(prefix + field, reason);
  }
}
