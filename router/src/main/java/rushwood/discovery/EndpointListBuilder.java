package rushwood.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.PartialEndpoint;

/** Collects the decoded entries of one list and the problems found in it. */
final class EndpointListBuilder {
  /** Maximum number of problems reported per list; further ones are usually of the same kind. */
  private static final int MAX_PROBLEMS = 20;

  private static final String INVALID_ELEMENT_PROBLEM =
      DiscoveryProtocol.ENTRIES + " has an element that is not an entry";

  private final List<EndpointAddress> endpoints = new ArrayList<>();
  private final List<PartialEndpoint> partialEndpoints = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();

  /** Decodes and adds an entry; reports text other than a JSON object as a problem. */
  void addEntry(String json) {
    try {
      addEntry(JsonFields.parseObject(json));
    } catch (MalformedListException e) {
      addInvalidElement();
    }
  }

  /** Decodes and adds an entry; reports an element other than an object as a problem. */
  void addEntry(JsonElement element) {
    if (element.isJsonObject()) {
      addEntry(element.getAsJsonObject());
    } else {
      addInvalidElement();
    }
  }

  private void addEntry(JsonObject entry) {
    try {
      endpoints.add(EndpointEntryDecoder.decode(entry));
    } catch (InvalidFieldException e) {
      addProblem(e.getMessage());
      EndpointEntryDecoder.decodePartial(entry).ifPresent(partialEndpoints::add);
    }
  }

  /** Reports an element of the array of entries that is not an entry. */
  void addInvalidElement() {
    addProblem(INVALID_ELEMENT_PROBLEM);
  }

  /**
   * Adds the host and state of a truncated entry, to which the caller has appended a closing brace.
   * Adds nothing if the text is not a JSON object or has no host ID.
   */
  void addTruncatedEntry(String json) {
    try {
      EndpointEntryDecoder.decodePartial(JsonFields.parseObject(json))
          .ifPresent(partialEndpoints::add);
    } catch (MalformedListException e) {
      // The entry was cut off inside a nested value, and nothing of it can be read.
    }
  }

  /** Returns the endpoints added so far that are draining or removed. */
  List<PartialEndpoint> leavingEndpoints() {
    return EndpointList.leavingEndpoints(endpoints, partialEndpoints);
  }

  /**
   * Builds the list from the added entries and the header.
   *
   * @param header the list's object; the content of its array of entries is not read
   * @param completeByDefault whether the list is complete if its flag is missing or invalid
   * @param checksum the list's checksum
   */
  EndpointList build(JsonObject header, boolean completeByDefault, long checksum) {
    OptionalLong version = decodeVersion(header);
    if (version.isEmpty()) {
      addProblem(InvalidFieldException.missingOrUnreadable(DiscoveryProtocol.VERSION).getMessage());
    }
    boolean complete = decodeComplete(header, completeByDefault);
    JsonElement entries = header.get(DiscoveryProtocol.ENTRIES);
    if (entries == null || !entries.isJsonArray()) {
      addProblem(InvalidFieldException.missingOrUnreadable(DiscoveryProtocol.ENTRIES).getMessage());
      complete = false; // a missing array does not mean that there are no endpoints
    }
    return new EndpointList(
        version,
        complete,
        false,
        checksum,
        List.copyOf(endpoints),
        List.copyOf(partialEndpoints),
        List.copyOf(problems));
  }

  /** Returns the list's version; empty if it is missing, not a number or negative. */
  static OptionalLong decodeVersion(JsonObject header) {
    try {
      long version = (long) JsonFields.requiredNumber(header, DiscoveryProtocol.VERSION);
      return version < 0 ? OptionalLong.empty() : OptionalLong.of(version);
    } catch (InvalidFieldException e) {
      return OptionalLong.empty();
    }
  }

  private boolean decodeComplete(JsonObject header, boolean defaultValue) {
    try {
      return JsonFields.requiredFlag(header, DiscoveryProtocol.COMPLETE);
    } catch (InvalidFieldException e) {
      addProblem(e.getMessage());
      return defaultValue;
    }
  }

  private void addProblem(String problem) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(problem);
    }
  }
}
