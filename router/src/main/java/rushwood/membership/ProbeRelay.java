package rushwood.membership;

import java.util.Map;
import java.util.TreeMap;

/** Serves ping requests: probes their targets on behalf of the requesters and relays the acks. */
final class ProbeRelay {
  private static final int MAX_RELAYED_PROBES = MemberTable.MAX_MEMBERS;

  private final LocalMember self;
  private final MembershipSettings settings;
  private final MemberTable members;
  private final Outbox outbox;
  private final MembershipTimers timers;
  private final Map<Integer, RelayedProbe> relayedProbes = new TreeMap<>();

  /**
   * A probe on behalf of another member.
   *
   * @param requester the sender of the ping request
   * @param sequenceNumber sequence number of the ping request
   */
  private record RelayedProbe(MemberId requester, int sequenceNumber) {}

  ProbeRelay(
      LocalMember self,
      MembershipSettings settings,
      MemberTable members,
      Outbox outbox,
      MembershipTimers timers) {
    this.self = self;
    this.settings = settings;
    this.members = members;
    this.outbox = outbox;
    this.timers = timers;
  }

  /**
   * Pings the target of a ping request. An ack that arrives within one probe period is relayed to
   * the requester. The request is ignored if its target is not in the peer list or if too many
   * relayed probes are pending.
   */
  void relay(long now, MemberId requester, PeerMessage request) {
    MemberId target = request.target();
    if (!members.contains(target) || relayedProbes.size() >= MAX_RELAYED_PROBES) {
      return;
    }
    int sequenceNumber = outbox.nextSequenceNumber();
    relayedProbes.put(sequenceNumber, new RelayedProbe(requester, request.sequenceNumber()));
    outbox.send(target, PeerMessage.Kind.PING, sequenceNumber, target);
    timers.schedule(now + settings.probePeriodNanos(), () -> relayedProbes.remove(sequenceNumber));
  }

  /** Relays an ack to the requester if it answers a relayed probe that has not expired. */
  void handleAck(int sequenceNumber) {
    RelayedProbe relayed = relayedProbes.remove(sequenceNumber);
    if (relayed != null) {
      outbox.send(relayed.requester(), PeerMessage.Kind.ACK, relayed.sequenceNumber(), self.id());
    }
  }
}
