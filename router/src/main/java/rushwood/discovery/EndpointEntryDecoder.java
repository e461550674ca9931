package rushwood.discovery;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Optional;
import rushwood.api.Endpoint;
import rushwood.api.GroupId;
import rushwood.api.HostId;
import rushwood.api.ZoneId;
import rushwood.dispatch.EndpointAddress;
import rushwood.dispatch.PartialEndpoint;

/** Decodes one entry of the endpoint list. */
final class EndpointEntryDecoder {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double DEFAULT_WEIGHT = 1;
  private static final String UNKNOWN_ZONE = "";

  private EndpointEntryDecoder() {}

  /**
   * Decodes an entry.
   *
   * @throws InvalidFieldException for the first field that is missing or invalid
   */
  static EndpointAddress decode(JsonObject entry) {
    Endpoint.State state = decodeState(entry);
    double weight = JsonFields.optionalNumber(entry, DiscoveryProtocol.WEIGHT, DEFAULT_WEIGHT);
    if (!(weight > 0)) { // also rejects NaN
      throw InvalidFieldException.missingOrUnreadable(DiscoveryProtocol.WEIGHT);
    }
    boolean primary = decodePrimary(entry);
    Endpoint endpoint =
        new Endpoint(
            decodeId(entry),
            decodeGroup(entry),
            decodeZone(entry),
            weight,
            decodeStartTimeNanos(entry),
            primary,
            state);
    return new EndpointAddress(endpoint, decodeAddress(entry));
  }

  /**
   * Decodes the host ID and the state of an entry that {@link #decode} rejects. The state is null
   * if it is missing or invalid.
   *
   * @return the host and its state; empty if the host ID is missing or invalid
   */
  static Optional<PartialEndpoint> decodePartial(JsonObject entry) {
    HostId id;
    try {
      id = decodeId(entry);
    } catch (InvalidFieldException e) {
      return Optional.empty();
    }
    try {
      return Optional.of(new PartialEndpoint(id, decodeState(entry)));
    } catch (InvalidFieldException e) {
      return Optional.of(new PartialEndpoint(id, null));
    }
  }

  private static InetSocketAddress decodeAddress(JsonObject entry) {
    String address = JsonFields.requiredText(entry, DiscoveryProtocol.ADDRESS);
    return EndpointAddressParser.parse(address)
        .orElseThrow(() -> InvalidFieldException.missingOrUnreadable(DiscoveryProtocol.ADDRESS));
  }

  private static HostId decodeId(JsonObject entry) {
    return new HostId(JsonFields.requiredText(entry, DiscoveryProtocol.ID));
  }

  private static GroupId decodeGroup(JsonObject entry) {
    return new GroupId(
        (int) JsonFields.optionalNumber(entry, DiscoveryProtocol.GROUP, GroupId.UNKNOWN.value()));
  }

  private static ZoneId decodeZone(JsonObject entry) {
    return new ZoneId(
        entry.has(DiscoveryProtocol.ZONE)
            ? JsonFields.requiredText(entry, DiscoveryProtocol.ZONE)
            : UNKNOWN_ZONE);
  }

  private static long decodeStartTimeNanos(JsonObject entry) {
    long startedAtMillis =
        (long) JsonFields.optionalNumber(entry, DiscoveryProtocol.STARTED_AT_MILLIS, 0);
    return startedAtMillis * NANOS_PER_MILLI;
  }

  private static boolean decodePrimary(JsonObject entry) {
    return entry.has(DiscoveryProtocol.ROLE)
        && JsonFields.requiredText(entry, DiscoveryProtocol.ROLE)
            .equals(DiscoveryProtocol.ROLE_PRIMARY);
  }

  private static Endpoint.State decodeState(JsonObject entry) {
    return DiscoveryProtocol.parseState(JsonFields.requiredText(entry, DiscoveryProtocol.STATE));
  }
}
