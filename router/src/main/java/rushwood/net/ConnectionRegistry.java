package rushwood.net;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import rushwood.overload.AdmittedConnection;
import rushwood.overload.ConnectionAdmission;
import rushwood.overload.DescriptorBudget;

/**
 * The open client connections and their cancel keys. Keeps connection admission and the descriptor
 * budget up to date. A connection that the router is closing is no longer registered here but in
 * the {@link LingeringConnections}.
 */
final class ConnectionRegistry {
  private final ConnectionAdmission admission;
  private final DescriptorBudget descriptorBudget;
  private final RandomGenerator random;
  private final Set<FrontendConnection> connections = new LinkedHashSet<>();
  private final Map<Long, FrontendConnection> connectionsByCancelKey = new HashMap<>();
  private int issuedCancelKeys;

  /**
   * Creates an empty registry.
   *
   * @param random the source of the secret part of cancel keys
   */
  ConnectionRegistry(
      ConnectionAdmission admission, DescriptorBudget descriptorBudget, RandomGenerator random) {
    this.admission = admission;
    this.descriptorBudget = descriptorBudget;
    this.random = random;
  }

  /**
   * Returns a unique cancel key: a sequence number in the upper 32 bits, which the protocol calls
   * the process ID, and a random secret in the lower 32 bits.
   */
  long nextCancelKey() {
    issuedCancelKeys++;
    long secret = Integer.toUnsignedLong(random.nextInt());
    return (long) issuedCancelKeys << Integer.SIZE | secret;
  }

  /**
   * Adds a connection that was just accepted and admits it.
   *
   * @return the reporter of its state
   */
  AdmissionReporter add(FrontendConnection connection, long now) {
    connections.add(connection);
    connectionsByCancelKey.put(connection.cancelKey(), connection);
    descriptorBudget.setOpenClientConnections(connections.size());
    return new AdmissionReporter(admission, admission.admit(connection, now));
  }

  /**
   * Removes a connection.
   *
   * @return false if it was not registered
   */
  boolean remove(FrontendConnection connection, AdmittedConnection admitted) {
    if (!connections.remove(connection)) {
      return false;
    }
    connectionsByCancelKey.remove(connection.cancelKey());
    admission.remove(admitted);
    descriptorBudget.setOpenClientConnections(connections.size());
    return true;
  }

  boolean contains(FrontendConnection connection) {
    return connections.contains(connection);
  }

  Optional<FrontendConnection> findByCancelKey(long cancelKey) {
    return Optional.ofNullable(connectionsByCancelKey.get(cancelKey));
  }

  /**
   * Returns a copy of the connections in the order in which they were accepted. Connections may be
   * removed while the copy is iterated over.
   */
  List<FrontendConnection> snapshot() {
    return List.copyOf(connections);
  }

  int size() {
    return connections.size();
  }
}
