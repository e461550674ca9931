package rushwood.membership;

import java.util.Map;
import java.util.TreeMap;

/** Probes members for others that got no ack from them, and passes the acks on. */
final class ProbeRelay {
  private static final int MAX_RELAYED_PROBES = MemberTable.MAX_MEMBERS;

  private final LocalMember self;
  private final MembershipSettings settings;
  private final MemberTable members;
  private final Outbox outbox;
  private final MembershipTimers timers;
  private final Map<Integer, RelayedProbe> relayedProbes = new TreeMap<>();

  /** A probe made for {@code requester}, which numbered it {@code sequenceNumber}. */
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

  /** Pings the target of a ping request; an ack within a period is passed on to the requester. */
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

  /** An ack has arrived; passes it on if it is for a relayed probe that has not expired. */
  void ackReceived(int sequenceNumber) {
    RelayedProbe relayed = relayedProbes.remove(sequenceNumber);
    if (relayed != null) {
      outbox.send(relayed.requester(), PeerMessage.Kind.ACK, relayed.sequenceNumber(), self.id());
    }
  }
}
