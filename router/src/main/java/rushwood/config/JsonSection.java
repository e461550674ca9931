package rushwood.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;

/**
 * An object of the operator's settings whose fields are all optional. Each method throws an {@link
 * InvalidConfigException} if the field is of another type.
 *
 * @param prefix precedes the field's name in errors: empty, or the object's own path and a dot
 * @param json the object
 */
record JsonSection(String prefix, JsonObject json) {

  /** Throws for the first field that is not one of {@code fields}. */
  void rejectUnknownFields(List<String> fields) throws InvalidConfigException {
    for (String field : json.keySet()) {
      if (!fields.contains(field)) {
        throw invalid(field, "is no setting");
      }
    }
  }

  /** Returns the object of that name, an empty one if there is none. */
  JsonSection section(String field) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value != null && !value.isJsonObject()) {
      throw invalid(field, "is no object");
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
      throw invalid(field, "is no text");
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

  /** Returns a number from 0 to {@code max}. */
  double number(String field, double defaultValue, double max) throws InvalidConfigException {
    JsonElement value = json.get(field);
    if (value == null) {
      return defaultValue;
    }
    boolean isNumber = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
    if (!isNumber || !(value.getAsDouble() >= 0 && value.getAsDouble() <= max)) {
      throw invalid(field, "is no number from 0 to " + (long) max);
    }
    return value.getAsDouble();
  }

  InvalidConfigException invalid(String field, String reason) {
    return new InvalidConfigException(prefix + field, reason);
  }
}
