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
  /** Problems reported of one list: the further ones are usually of the same kind. */
  private static final int MAX_PROBLEMS = 20;

  private static final String NON_ENTRY =
      DiscoveryProtocol.ENTRIES + " has an element that is no entry";

  private final List<EndpointAddress> endpoints = new ArrayList<>();
  private final List<PartialEndpoint> partialEndpoints = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();

  /** Decodes the text of an entry. */
  void addEntry(String json) {
    try {
      addEntry(JsonFields.parseObject(json));
    } catch (MalformedListException e) {
      addNonEntry();
    }
  }

  /** Decodes an entry; anything but an object is none. */
  void addEntry(JsonElement element) {
    if (element.isJsonObject()) {
      addEntry(element.getAsJsonObject());
    } else {
      addNonEntry();
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

  /** An element of the array of entries that is no entry. */
  void addNonEntry() {
    addProblem(NON_ENTRY);
  }

  /** Takes host and state of an entry that was cut off and closed; nothing if that is no JSON. */
  void addTruncatedEntry(String json) {
    try {
      EndpointEntryDecoder.decodePartial(JsonFields.parseObject(json))
          .ifPresent(partialEndpoints::add);
    } catch (MalformedListException e) {
      // Cut inside a nested value: nothing of the entry can be told.
    }
  }

  /** The endpoints decoded so far that are draining or removed. */
  List<PartialEndpoint> leavingEndpoints() {
    return EndpointList.leavingEndpoints(endpoints, partialEndpoints);
  }

  /**
   * Builds the list from what was added and from its other fields.
   *
   * @param header the list's object; of its array of entries only the presence counts
   * @param completeExpected whether the list is complete if it does not say so itself
   */
  EndpointList build(JsonObject header, boolean completeExpected, long checksum) {
    OptionalLong version = decodeVersion(header);
    if (version.isEmpty()) {
      addProblem(InvalidFieldException.missingOrUnreadable(DiscoveryProtocol.VERSION).getMessage());
    }
    boolean complete = decodeComplete(header, completeExpected);
    JsonElement entries = header.get(DiscoveryProtocol.ENTRIES);
    if (entries == null || !entries.isJsonArray()) {
      addProblem(InvalidFieldException.missingOrUnreadable(DiscoveryProtocol.ENTRIES).getMessage());
      complete = false; // without an array it does not say that no endpoint is left
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

  /** The list's version; empty if it is missing, no number or negative. */
  static OptionalLong decodeVersion(JsonObject header) {
    try {
      long version = (long) JsonFields.requiredNumber(header, DiscoveryProtocol.VERSION);
      return version < 0 ? OptionalLong.empty() : OptionalLong.of(version);
    } catch (InvalidFieldException e) {
      return OptionalLong.empty();
    }
  }

  private boolean decodeComplete(JsonObject header, boolean expected) {
    try {
      return JsonFields.requiredFlag(header, DiscoveryProtocol.COMPLETE);
    } catch (InvalidFieldException e) {
      addProblem(e.getMessage());
      return expected;
    }
  }

  private void addProblem(String problem) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(problem);
    }
  }
}
