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
 * The open connections of clients, and their cancel keys. Keeps connection admission and the
 * descriptor budget up to date. A connection that the router has ended is no longer here, but among
 * the {@link LingeringConnections}.
 */
final class ConnectionRegistry {
  private final ConnectionAdmission admission;
  private final DescriptorBudget descriptorBudget;
  private final RandomGenerator random;
  private final Set<FrontendConnection> connections = new LinkedHashSet<>();
  private final Map<Long, FrontendConnection> connectionsByCancelKey = new HashMap<>();
  private int issuedCancelKeys;

  /** With the source of the secret part of cancel keys. */
  ConnectionRegistry(
      ConnectionAdmission admission, DescriptorBudget descriptorBudget, RandomGenerator random) {
    this.admission = admission;
    this.descriptorBudget = descriptorBudget;
    this.random = random;
  }

  /** A key that no other connection has: a process id, here a running number, and a secret. */
  long nextCancelKey() {
    issuedCancelKeys++;
    long secret = Integer.toUnsignedLong(random.nextInt());
    return (long) issuedCancelKeys << Integer.SIZE | secret;
  }

  /**
   * Adds a new connection, whose client has sent nothing yet; what it does is reported from now on.
   */
  AdmissionReporter add(FrontendConnection connection, long now) {
    connections.add(connection);
    connectionsByCancelKey.put(connection.cancelKey(), connection);
    descriptorBudget.setOpenClientConnections(connections.size());
    return new AdmissionReporter(admission, admission.admit(connection, now));
  }

  /** Returns whether the connection was open until now. */
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

  /** A copy, in the order in which they were accepted: connections may be removed meanwhile. */
  List<FrontendConnection> list() {
    return List.copyOf(connections);
  }

  int size() {
    return connections.size();
  }
}
